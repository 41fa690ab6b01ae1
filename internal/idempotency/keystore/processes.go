package keystore

import (
	"os"
	"path/filepath"
	"time"
)

// ExchangeNotes leaves a note of at most limits.KeyStore.NoteBytes bytes where the other processes find it, and
// returns the notes of those that live; a process that has left none yet has an empty one. It costs one write, and
// one read for each other process.
func (s *Store) ExchangeNotes(note []byte) (others [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if _, err := s.folder.alive.WriteAt(note[:min(len(note), s.opts.Limits.NoteBytes)], 0); err != nil {
		s.log.Warn("note to the node's other processes was not written", err)
	}
	s.refresh()
	for name, number := range s.peers.processes {
		if s.peers.dead[number] {
			continue
		}
		text, err := os.ReadFile(filepath.Join(s.folder.dir, name+aliveSuffix))
		if err != nil {
			continue // it has exited
		}
		others = append(others, text[:min(len(text), s.opts.Limits.NoteBytes)])
	}
	return others
}

// LiveProcesses returns the number of the node's other processes that live. It sweeps to find out, and waits for that
// at most the given time; then the number is that of the last sweep.
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
