package keystore

import (
	"errors"
	"fmt"

	"sloehitch/internal/idempotency/keystore/format"
	"sloehitch/internal/idempotency/keystore/keystate"
	"sloehitch/internal/node"
)

// Lookup returns what another process has recorded for record's key as of now: whether its run has ended, and its
// result. A run whose process exited without recording its end counts as ended without success. Lookup reads the
// records that other processes have added since the last read, usually from memory, and waits for no lock but the
// Store's own.
func (s *Store) Lookup(record node.RunRecord) (node.RunRecord, bool) {
	key := keyID(record)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	claim, ok := s.peers.table.Lookup(key, s.opts.Now().UnixNano())
	if !ok {
		return node.RunRecord{}, false
	}
	found := node.RunRecord{
		Key:         record.Key,
		Class:       record.Class,
		Fingerprint: claim.Fingerprint,
		Ended:       claim.Kind == format.KindEnded || s.peers.dead[claim.Owner],
	}
	if claim.Kind != format.KindEnded {
		return found, true
	}
	seg := s.peers.segments[claim.Location.Segment]
	r, err := seg.readRecord(claim.Location.Offset, claim.Location.Size)
	if err != nil || r.ID != key {
		s.log.Warn("result recorded by another process not readable", fmt.Errorf("%s: %w", seg.path, err))
		return found, true
	}
	found.Succeeded, found.ResultStored = r.Succeeded, r.ResultStored
	found.Protocol, found.Result = r.Protocol, r.Result
	return found, true
}

// NotifyOnChange calls done once, from another goroutine, when Lookup may report more about record's key than that
// it is running in another process.
func (s *Store) NotifyOnChange(record node.RunRecord, done func()) {
	key := keyID(record)
	s.mu.Lock()
	defer s.mu.Unlock()
	claim, ok := s.peers.table.Lookup(key, s.opts.Now().UnixNano())
	if s.closed {
		return // this process is about to exit
	}
	if !ok || claim.Kind == format.KindEnded || s.peers.dead[claim.Owner] {
		go done()
		return
	}
	s.watchers[key] = append(s.watchers[key], done)
	s.wakeWriter()
}

// notifyWatchers calls the callbacks registered for a key.
func (s *Store) notifyWatchers(key format.ID) {
	for _, done := range s.watchers[key] {
		go done()
	}
	delete(s.watchers, key)
}

// refresh reads the records that other processes have added since the last read. It does not need the folder's lock,
// since only complete records take effect.
func (s *Store) refresh() {
	if err := s.readPeers(s.folder.generationChanged()); err != nil {
		s.log.Warn("key records of another process not readable", err)
	}
}

// readPeers reads what was added to the other processes' segments. discover reports that there may be new segments.
// The caller holds mu or has the only reference to the Store.
func (s *Store) readPeers(discover bool) error {
	var errs []error
	if discover {
		if err := s.discoverPeers(); err != nil {
			return err
		}
	}
	for _, seg := range s.peers.segments {
		if seg.file == nil && seg.size > 0 {
			continue // already read to its end
		}
		errs = append(errs, s.readSegment(seg))
	}
	return errors.Join(errs...)
}

// discoverPeers registers new processes and segments.
func (s *Store) discoverPeers() error {
	found, owners, err := s.folder.listPeers()
	if err != nil {
		return err
	}
	for _, name := range owners {
		s.peers.registerProcess(name)
	}
	paths := map[string]bool{}
	for _, seg := range found {
		paths[seg.path] = true
		if !s.peers.knownPaths[seg.path] {
			s.peers.lastNumber++
			seg.number = s.peers.lastNumber
			s.peers.segments[seg.number] = seg
			s.peers.registerProcess(seg.owner)
		}
	}
	s.peers.knownPaths = paths
	return nil
}

// readSegment applies the records added to a segment since it was last read.
func (s *Store) readSegment(seg *segment) error {
	if s.readBuffer == nil {
		s.readBuffer = make([]byte, readBufferSize)
	}
	owner := s.peers.processes[seg.owner]
	last := s.peers.superseded(seg) || s.peers.dead[owner] // determined before the read: nothing is added to the segment after this point
	skippedBefore := seg.skippedBytes
	err := seg.read(s.readBuffer, last, func(r format.Record, at, size int64) {
		seg.expiresAt = max(seg.expiresAt, r.ExpiresAt)
		if s.peers.table.Apply(owner, r, keystate.Location{
			Segment: seg.number,
			Offset:  at,
			Size:    size,
		}) && r.Kind != format.KindStarted {
			s.notifyWatchers(r.ID)
		}
	})
	if last {
		seg.closeFile()
	}
	if seg.skippedBytes > skippedBefore {
		detail := fmt.Errorf("%s: %d bytes skipped that are not records", seg.path, seg.skippedBytes)
		s.log.Warn("key records of another process truncated or damaged", detail)
	}
	return err
}
