package raftlog

import (
	"encoding/json"
	"fmt"
	"hash/crc64"
	"time"
)

// sink writes a snapshot. It implements raft.SnapshotSink and is not safe for concurrent use.
type sink struct {
	log         *Log
	description description
	part        []byte // bytes not yet written to the ledger
	finished    bool
}

// ID returns the snapshot's id.
func (s *sink) ID() string { return s.description.ID }

// Write buffers p and stores each part that is complete.
func (s *sink) Write(p []byte) (int, error) {
	if s.finished {
		return 0, fmt.Errorf("raftlog: %w", ErrSnapshotFinished)
	}
	s.description.Checksum = crc64.Update(s.description.Checksum, crcTable, p)
	s.description.Size += int64(len(p))
	for rest := p; len(rest) > 0; {
		n := min(len(rest), s.log.limits.SnapshotPartBytes-len(s.part))
		s.part, rest = append(s.part, rest[:n]...), rest[n:]
		if len(s.part) == s.log.limits.SnapshotPartBytes {
			if err := s.writePart(); err != nil {
				return 0, err
			}
		}
	}
	return len(p), nil
}

func (s *sink) writePart() error {
	key := partKey(s.description.ID, s.description.Parts)
	err := s.log.ledger.Put(key, s.part, time.Time{})
	s.description.Parts++
	s.part = nil
	return err
}

// Close completes the snapshot, and removes the older ones that are no longer kept.
func (s *sink) Close() error {
	if s.finished {
		return nil
	}
	defer s.finish() // also on an error: the next removeStaleSnapshots then removes the parts
	if len(s.part) > 0 {
		if err := s.writePart(); err != nil {
			return err
		}
	}
	text, err := json.Marshal(s.description)
	if err != nil {
		return err
	}
	if err := s.log.ledger.Put(descriptionKey(s.description.ID), text, time.Time{}); err != nil {
		return err
	}
	s.finish()
	return s.log.removeStaleSnapshots()
}

// Cancel removes the parts that were stored.
func (s *sink) Cancel() error {
	s.finish()
	return s.log.removeStaleSnapshots()
}

// finish marks the snapshot as no longer being written, so that removeStaleSnapshots removes its parts unless it is
// complete.
func (s *sink) finish() {
	s.finished = true
	s.log.mu.Lock()
	delete(s.log.openSnapshots, s.description.ID)
	s.log.mu.Unlock()
}
