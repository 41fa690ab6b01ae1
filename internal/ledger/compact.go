package ledger

import (
	"errors"
	"slices"
	"time"

	"sloehitch/internal/ledger/plan"
)

// Compaction reports what a compaction did. Sizes are in bytes on disk.
type Compaction struct {
	SegmentsRead      int           `json:"segments"` // read
	SegmentsWritten   int           `json:"made"`
	BytesBefore       int64         `json:"bytes_before"`
	BytesAfter        int64         `json:"bytes_after"`
	RecordsKept       int           `json:"records_kept"`
	TombstonesWritten int           `json:"records_buried"` // kept as deletions
	RecordsDropped    int           `json:"records_dropped"`
	Duration          time.Duration `json:"took_ns"`
}

// maintain sweeps expired keys and compacts when a compaction is due, until the store is closed.
func (s *Store) maintain() {
	ticker := time.NewTicker(s.opts.Limits.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closing:
			return
		case <-s.compactionDue:
		case <-ticker.C:
		}
		s.RemoveExpired()
		if err := s.compactWhileDue(); err != nil && !errors.Is(err, ErrClosed) {
			s.opts.Log.Warn("a compaction failed; nothing is lost", "folder", s.fs.String(), "error", err)
		}
	}
}

// compactWhileDue compacts by the rule of plan.ChooseSegments while a compaction is due.
func (s *Store) compactWhileDue() error {
	for s.Err() == nil && !s.isClosed() {
		s.manifestMu.Lock()
		chosen := plan.ChooseSegments(s.planSegments(s.sealed), s.compactionOptions())
		s.manifestMu.Unlock()
		if len(chosen) == 0 {
			return nil
		}
		c, err := s.compact(chosen, false)
		if err != nil {
			return err
		}
		s.opts.Log.Info("compacted", "segments", c.SegmentsRead, "made", c.SegmentsWritten, "before", c.BytesBefore, "after", c.BytesAfter, "took", c.Duration)
	}
	return nil
}

// Compact seals the active segment and rewrites all others, so that only live records are left. It blocks until then, also
// while another compaction is running. Reads and writes go on.
func (s *Store) Compact() (Compaction, error) {
	if s.opts.ReadOnly {
		return Compaction{}, ErrReadOnly
	}
	if err := s.sealActive(); err != nil {
		return Compaction{}, err
	}
	s.manifestMu.Lock()
	var all []uint64
	for _, g := range s.sealed {
		all = append(all, g.number)
	}
	s.manifestMu.Unlock()
	return s.compact(all, true)
}

// sealActive has the writing goroutine seal the active segment, and waits until then.
func (s *Store) sealActive() error {
	return s.enqueueAndWait(&pending{flush: true, seal: true})
}

// compact replaces the chosen segments by new ones that hold their live records. One compaction runs at a time.
func (s *Store) compact(chosen []uint64, reportProgress bool) (c Compaction, err error) {
	s.compactionMu.Lock()
	defer s.compactionMu.Unlock()
	s.compactionRunning.Store(true)
	defer s.compactionRunning.Store(false)
	began := time.Now()
	s.manifestMu.Lock()
	var in []*segment
	for _, g := range s.sealed {
		if slices.Contains(chosen, g.number) {
			g.acquire()
			in = append(in, g)
		}
	}
	oldest := plan.MinSequenceOutside(s.planSegments(append(s.sealed[:len(s.sealed):len(s.sealed)], s.active)), chosen)
	s.manifestMu.Unlock()
	var out []*segment
	listed := false // the new segments may be in the current manifest: they must not be removed
	defer func() {
		for _, g := range in {
			g.release()
		}
		if err != nil && !listed {
			for _, g := range out {
				g.release()
				_ = s.fs.Remove(g.name) // if that fails, the next Open removes it
			}
		}
	}()
	if len(in) == 0 {
		return c, nil
	}
	if out, err = s.rewrite(in, oldest, &c, reportProgress); err != nil {
		return c, err
	}
	// A record may have been dropped for a newer one, which must be durable before the older one is gone.
	if err = s.Sync(); err != nil {
		return c, err
	}
	if listed, err = s.installSegments(in, out); err != nil {
		return c, err
	}
	c.Duration = time.Since(began)
	s.mu.Lock()
	s.counts.compactions++
	s.counts.compactedBytes += c.BytesAfter
	s.mu.Unlock()
	return c, nil
}

// garbageShare is how many bytes of records are garbage, and their share of all.
func (s *Store) garbageShare() (bytes int64, share float64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	bytes = s.recordBytes - s.liveBytes
	return bytes, float64(bytes) / float64(max(s.recordBytes, 1))
}

// compactionOptions are the bounds of the decisions in package plan.
func (s *Store) compactionOptions() plan.Options {
	l := s.opts.Limits
	return plan.Options{
		GarbageThreshold:   l.GarbageShare,
		SegmentBytes:       l.SegmentBytes,
		MaxSmallSegments:   l.MaxSmallSegments,
		MaxCompactionBytes: l.CompactionBytes,
		MaxPause:           l.CompactionPause,
	}
}

// allocateSegmentNumber returns a number that no segment of the store has had.
func (s *Store) allocateSegmentNumber() uint64 {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	n := s.manifest.NextSegment
	s.manifest.NextSegment++
	return n
}

// planSegments describes segments for package plan; the caller holds manifestMu.
func (s *Store) planSegments(segments []*segment) (list []plan.Segment) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, g := range segments {
		list = append(list, plan.Segment{
			Number:         g.number,
			TotalBytes:     g.totalBytes,
			DeadBytes:      g.deadBytes,
			MinSequence:    g.minSequence,
			MaxSequence:    g.maxSequence,
			TombstoneBytes: g.tombstoneBytes,
		})
	}
	return list
}
