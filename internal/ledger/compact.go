package ledger

import (
	"errors"
	"slices"
	"time"

	"sloehitch/internal/ledger/plan"
)

// Compaction is the report of a compaction. Sizes are in bytes on disk.
type Compaction struct {
	SegmentsRead      int           `json:"segments"`
	SegmentsWritten   int           `json:"made"`
	BytesBefore       int64         `json:"bytes_before"`
	BytesAfter        int64         `json:"bytes_after"`
	RecordsKept       int           `json:"records_kept"`
	TombstonesWritten int           `json:"records_buried"` // replaced by deletions
	RecordsDropped    int           `json:"records_dropped"`
	Duration          time.Duration `json:"took_ns"`
}

// maintain removes expired keys and runs the compactions that are due, until the store is closed.
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
			s.opts.Log.Warn("ledger compaction failed; no data is lost", "folder", s.fs.String(), "error", err)
		}
	}
}

// compactWhileDue runs compactions until plan.ChooseSegments chooses no more segments.
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
		s.opts.Log.Info("ledger segments compacted", "segments", c.SegmentsRead, "made", c.SegmentsWritten, "before", c.BytesBefore, "after", c.BytesAfter, "took", c.Duration)
	}
	return nil
}

// Compact seals the active segment and compacts all sealed segments, so that only live records are left. It blocks until it is
// done, including while another compaction is running. Reads and writes continue meanwhile.
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

// sealActive makes the writing goroutine seal the active segment and waits until it is sealed.
func (s *Store) sealActive() error {
	return s.enqueueAndWait(&pending{flush: true, seal: true})
}

// compact replaces the chosen segments by new ones with their live records. Only one compaction runs at a time.
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
	minSequenceOutside := plan.MinSequenceOutside(s.planSegments(append(s.sealed[:len(s.sealed):len(s.sealed)], s.active)), chosen)
	s.manifestMu.Unlock()
	var out []*segment
	listed := false // the manifest may already list the new segments, so they must not be removed
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
	if out, err = s.rewrite(in, minSequenceOutside, &c, reportProgress); err != nil {
		return c, err
	}
	// A record may have been dropped because of a newer one, which must be durable before the older record is removed.
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

// garbageShare returns the bytes of records that are garbage, and their share of the bytes of all records.
func (s *Store) garbageShare() (bytes int64, share float64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	bytes = s.recordBytes - s.liveBytes
	return bytes, float64(bytes) / float64(max(s.recordBytes, 1))
}

// compactionOptions returns the parameters for the policies of package plan.
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

// allocateSegmentNumber returns a number that no segment of the store has used before.
func (s *Store) allocateSegmentNumber() uint64 {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	n := s.manifest.NextSegment
	s.manifest.NextSegment++
	return n
}

// planSegments converts segments for package plan. The caller holds manifestMu.
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
