package ledger

import (
	"errors"
	"slices"
	"time"

	"sloehitch/internal/ledger/format"
)

// repointChunk is how many index entries change under one hold of the lock. A chunk is followed by that fraction of a pause.
const repointChunk = 64

// installSegments replaces old segments by new ones: in the manifest, then in the index, then on the disk. listed reports
// that the new ones may be in the current manifest.
func (s *Store) installSegments(in, out []*segment) (listed bool, err error) {
	s.manifestMu.Lock()
	sealed := slices.Clone(out)
	for _, g := range s.sealed {
		if !slices.Contains(in, g) {
			sealed = append(sealed, g)
		}
	}
	if err := s.replaceManifest(s.nextManifest(sealed, s.active)); err != nil {
		s.manifestMu.Unlock()
		return errors.Is(err, ErrBroken), err
	}
	// The old files stay open until the index points to none of them. The writing goroutine may need manifestMu to start a
	// segment, so it is not held while the index changes.
	s.sealed, s.retired = sealed, in
	s.manifestMu.Unlock()
	s.mu.Lock()
	for _, g := range out {
		s.recordBytes += g.totalBytes
	}
	for _, g := range in {
		s.recordBytes -= g.totalBytes
	}
	s.mu.Unlock()
	for _, g := range out {
		if err := s.repointIndex(g); err != nil {
			return true, s.fail(err) // the old ones stay open for readers
		}
	}
	s.manifestMu.Lock()
	s.retired = nil
	s.manifestMu.Unlock()
	for _, g := range in {
		g.release()
		if err := s.fs.Remove(g.name); err != nil {
			s.opts.Log.Warn("a file that is not needed could not be removed", "file", g.name, "error", err)
		}
	}
	return true, nil
}

// repointIndex points the index at the records of a new segment, in chunks, so that no reader or writer waits long.
func (s *Store) repointIndex(g *segment) error {
	type movedRecord struct {
		key string
		to  location
	}
	var chunk []movedRecord
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, m := range chunk {
			if p, ok := s.index.Get(m.key); ok && p.sequence == m.to.sequence {
				s.index.Set(m.key, m.to)
			} else {
				g.deadBytes += int64(m.to.size) // superseded meanwhile
			}
		}
		chunk = chunk[:0]
	}
	_, err := g.scan(s.opts.Limits.ValueBytes, func(off int64, r *format.Record) error {
		if r.Kind == format.KindPut {
			chunk = append(chunk, movedRecord{string(r.Key), location{g, r.Sequence, r.ExpiryMillis, uint32(off), uint32(r.Size())}})
		}
		if len(chunk) >= repointChunk {
			apply()
			// A mutex that is taken again at once starves others for a millisecond.
			time.Sleep(s.opts.Limits.CompactionPause / repointChunk)
		}
		return nil
	})
	apply()
	return err
}
