package keystore

import (
	"os"
	"slices"
)

// Sweep requests that segments whose records have all expired are dropped, and that exited processes are detected.
// The cost of a sweep grows with the number of segments and of dropped records. It does not wait.
func (s *Store) Sweep() {
	select {
	case s.sweeps <- make(chan struct{}):
	default: // an earlier request is still queued
	}
}

// sweep carries out a request of Sweep. The caller holds both locks.
func (s *Store) sweep() {
	now := s.opts.Now().UnixNano()
	for name, number := range s.peers.processes {
		if !s.peers.dead[number] && s.folder.hasExited(name) {
			s.peers.dead[number] = true
		}
	}
	s.ownSegments = slices.DeleteFunc(s.ownSegments, func(seg *segment) bool {
		if seg.expiresAt >= now {
			return false
		}
		seg.closeFile()
		_ = os.Remove(seg.path)
		return true
	})
	s.forgetProcesses(s.dropPeerSegments(now))
	for key := range s.watchers {
		if claim, ok := s.peers.table.Lookup(key, now); !ok || s.peers.dead[claim.Owner] {
			s.notifyWatchers(key)
		}
	}
	if len(s.peers.segments) == 0 {
		s.readBuffer = nil
	}
}

// dropPeerSegments drops the expired segments of other processes to which nothing is added any more, and removes the
// files of those whose process has exited. It returns the names of the processes that have segments left.
func (s *Store) dropPeerSegments(now int64) (remaining map[string]bool) {
	remaining = map[string]bool{}
	for number, seg := range s.peers.segments {
		dead := s.peers.dead[s.peers.processes[seg.owner]]
		if dead && seg.file != nil { // a record that was truncated when its process exited will not be completed
			if err := s.readSegment(seg); err != nil {
				s.log.Warn("key records of another process not readable", err)
			}
		}
		if seg.expiresAt >= now || seg.foreignVersion || !dead && !s.peers.superseded(seg) && seg.exists() {
			remaining[seg.owner] = true
			continue
		}
		seg.closeFile()
		s.peers.table.ForgetSegment(number)
		delete(s.peers.segments, number)
		if dead {
			_ = os.Remove(seg.path)
		}
	}
	return remaining
}

// forgetProcesses removes the exited processes that have no segments left.
func (s *Store) forgetProcesses(remaining map[string]bool) {
	for name, number := range s.peers.processes {
		if s.peers.dead[number] && !remaining[name] {
			s.folder.removeAliveFile(name)
			delete(s.peers.processes, name)
			delete(s.peers.dead, number)
		}
	}
}
