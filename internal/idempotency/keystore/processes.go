package keystore

import (
	"os"
	"path/filepath"
	"time"
)

// ExchangeNotes stores a note of at most limits.KeyStore.NoteBytes bytes for the other processes, and returns the
// notes of those that are alive. The note of a process that has not stored one yet is empty. A call costs one
// write, and one read for each other process.
func (s *Store) ExchangeNotes(note []byte) (others [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if _, err := s.folder.aliveFile.WriteAt(note[:min(len(note), s.opts.Limits.NoteBytes)], 0); err != nil {
		s.log.Warn("note to the node's other processes not written", err)
	}
	s.refresh()
	for name, number := range s.peers.processes {
		if s.peers.dead[number] {
			continue
		}
		text, err := os.ReadFile(filepath.Join(s.folder.dir, name+aliveSuffix))
		if err != nil {
			continue // the process has exited
		}
		others = append(others, text[:min(len(text), s.opts.Limits.NoteBytes)])
	}
	return others
}

// LiveProcesses returns the number of the node's other live processes. It requests a sweep and waits for it up to
// the given time; after that, it returns the number as of the last sweep.
func (s *Store) LiveProcesses(wait time.Duration) (n int) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	swept := make(chan struct{})
	select {
	case s.sweeps <- swept:
		select {
		case <-swept:
		case <-timeout.C:
		}
	case <-timeout.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, number := range s.peers.processes {
		if !s.peers.dead[number] {
			n++
		}
	}
	return n
}
