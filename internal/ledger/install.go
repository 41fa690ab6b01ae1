package ledger

import (
	"errors"
	"slices"
	"time"

	"sloehitch/internal/ledger/format"
)

// repointChunk is how many index entries are changed each time the lock is taken. Each chunk is followed by a pause of
// CompactionPause/repointChunk.
const repointChunk = 64

// installSegments replaces old segments by new ones, first in the manifest, then in the index, then on disk. listed reports
// whether the manifest may already list the new segments.
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
	// The old files stay open until the index does not point to them any more. manifestMu is not held while the index is
	// changed, because the writing goroutine may need it to start a segment.
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
			return true, s.markBroken(err) // the old segments stay open for readers
		}
	}
	s.manifestMu.Lock()
	s.retired = nil
	s.manifestMu.Unlock()
	for _, g := range in {
		g.release()
		if err := s.fs.Remove(g.name); err != nil {
			s.opts.Log.Warn("could not remove compacted ledger segment", "file", g.name, "error", err)
		}
	}
	return true, nil
}

// repointIndex points the index to the records of a new segment, in chunks so that readers and writers do not wait long.
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
				g.deadBytes += int64(m.to.size) // superseded since the record was copied
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
			// Locking the mutex again at once would starve other goroutines for a millisecond.
			time.Sleep(s.opts.Limits.CompactionPause / repointChunk)
		}
		return nil
	})
	apply()
	return err
}
