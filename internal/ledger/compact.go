package ledger

import (
	"errors"
	"fmt"
	"slices"
	"time"
	"unsafe"

	"sloehitch/internal/ledger/format"
	"sloehitch/internal/ledger/plan"
)

// Compaction says what one did.
type Compaction struct {
	Segments int           `json:"segments"` // read
	Made     int           `json:"made"`
	Before   int64         `json:"bytes_before"`
	After    int64         `json:"bytes_after"`
	Kept     int           `json:"records_kept"`
	Buried   int           `json:"records_buried"` // kept as deletions
	Dropped  int           `json:"records_dropped"`
	Took     time.Duration `json:"took_ns"`
}

// maintain compacts by itself and forgets what has expired, until the store is closed.
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
		s.Sweep()
		if err := s.compactWhileDue(); err != nil && !errors.Is(err, ErrClosed) {
			s.opts.Log.Warn("a compaction failed; nothing is lost", "folder", s.fs.String(), "error", err)
		}
	}
}

// compactWhileDue compacts while there is something worth it.
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
		s.opts.Log.Info("compacted", "segments", c.Segments, "made", c.Made, "before", c.Before, "after", c.After, "took", c.Took)
	}
	return nil
}

// Compact rewrites all that is on disk so that only what counts is left. It waits for one that is under way. Reads and writes go on.
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

// sealActive has the writer seal the active segment.
func (s *Store) sealActive() error {
	return s.enqueueAndWait(&pending{flush: true, seal: true})
}

// Sweep takes keys whose time is over out of memory. They are gone for readers before that.
func (s *Store) Sweep() {
	s.mu.Lock()
	if s.nextExpiry == 0 || s.nextExpiry > s.clockMark {
		s.mu.Unlock()
		return
	}
	index, mark := s.index.Copy(), s.clockMark
	s.nextExpiry = 0
	s.mu.Unlock()
	type old struct {
		key string
		seq uint64
	}
	var over []old
	var soonest int64
	index.Scan(func(key string, p location) bool {
		switch {
		case expired(p, mark):
			over = append(over, old{key, p.sequence})
		case p.expiryMillis != 0 && (soonest == 0 || p.expiryMillis < soonest):
			soonest = p.expiryMillis
		}
		return true
	})
	for part := range slices.Chunk(over, 64) { // in parts, so that no reader or writer waits long
		s.mu.Lock()
		for _, o := range part {
			if p, ok := s.index.Get(o.key); ok && p.sequence == o.seq {
				s.index.Delete(o.key)
				s.indexBytes -= indexCost(len(o.key))
				s.liveBytes -= int64(p.size)
				p.seg.tombstoneBytes += int64(p.size)
			}
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	if soonest != 0 && (s.nextExpiry == 0 || soonest < s.nextExpiry) {
		s.nextExpiry = soonest
	}
	s.mu.Unlock()
}

// compact replaces the chosen segments by new ones that hold what still counts of them.
func (s *Store) compact(chosen []uint64, step bool) (c Compaction, err error) {
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
	listed := false // the new segments may be in a manifest: they must not be removed
	defer func() {
		for _, g := range in {
			g.release()
		}
		if err != nil && !listed {
			for _, g := range out {
				g.release()
				_ = s.fs.Remove(g.name) // if not, the next Open sweeps it away
			}
		}
	}()
	if len(in) == 0 {
		return c, nil
	}
	if out, err = s.rewrite(in, oldest, &c, step); err != nil {
		return c, err
	}
	// A record may have been left out for a newer one, and that one must not be lost if this one is.
	if err = s.Sync(); err != nil {
		return c, err
	}
	if listed, err = s.installSegments(in, out); err != nil {
		return c, err
	}
	c.Took = time.Since(began)
	s.mu.Lock()
	s.counts.compactions++
	s.counts.compactedBytes += c.After
	s.mu.Unlock()
	return c, nil
}

// rewrite writes what counts of some segments to new ones, makes them durable and reads them once more.
func (s *Store) rewrite(in []*segment, oldest uint64, c *Compaction, step bool) (out []*segment, err error) {
	l := s.opts.Limits
	var p *coldWriter
	var read, total int64
	for _, g := range in {
		total += g.size
	}
	written := 0
	paced := func() error {
		if s.isClosed() {
			return ErrClosed
		}
		if written += l.BlockBytes; written < l.CompactionFlushBytes {
			return nil
		}
		// A large flush would hold up the writers' flushes behind it, so there are many small ones with rests between.
		written = 0
		_, share := s.garbageShare()
		time.Sleep(plan.CompactionPause(share, s.compactionOptions()))
		return p.file.Sync()
	}
	end := func() error {
		if p == nil {
			return nil
		}
		err := p.flushBlock()
		if err == nil {
			err = p.file.Sync()
		}
		_ = p.enc.Close() // it encodes whole blocks and keeps nothing between them
		p = nil
		return err
	}
	for _, g := range in {
		_, err := g.scan(l.ValueBytes, func(_ int64, r *format.Record) error {
			if r.Kind == format.KindGroup {
				return nil
			}
			s.mu.RLock()
			now, there := s.index.Get(unsafeString(r.Key))
			mark := s.clockMark
			s.mu.RUnlock()
			newest := there && now.sequence == r.Sequence
			kept := *r
			kept.BatchContinues = false // a batch is whole once it is in the index
			record := plan.Record{Put: r.Kind == format.KindPut, Sequence: r.Sequence, Indexed: newest, Superseded: there && !newest, ExpiryMillis: r.ExpiryMillis}
			switch plan.DecideRecord(record, mark, oldest) {
			case plan.DropRecord:
				c.Dropped++
				return nil
			case plan.WriteTombstone:
				kept = format.Record{Kind: format.KindDelete, Sequence: r.Sequence, Key: r.Key}
				c.Buried++
			case plan.KeepRecord:
				c.Kept++
			}
			if p != nil && p.rawOffset >= l.SegmentBytes {
				if err := end(); err != nil {
					return err
				}
			}
			if p == nil {
				var err error
				if p, err = newColdWriter(s.fs, s.id, s.allocateSegmentNumber(), l.BlockBytes, paced); err != nil {
					return err
				}
				out = append(out, p.segment)
			}
			_, err := p.add(&kept)
			if kept.Kind == format.KindDelete {
				p.tombstoneBytes += int64(kept.Size())
			}
			return err
		})
		if err != nil {
			return out, fmt.Errorf("compaction of %s: %w", g.name, err)
		}
		read += g.size
		if step {
			s.opts.Step("compact", read, total)
		}
		c.Segments++
		c.Before += g.size
	}
	if err := end(); err != nil {
		return out, notWritten(err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return out, err
	}
	for _, g := range out {
		if end, err := g.scan(l.ValueBytes, func(int64, *format.Record) error { return nil }); err != nil {
			return out, damage(g.name, end, "just written, and not readable: %v", err)
		}
		c.Made++
		c.After += g.size
	}
	return out, nil
}

// unsafeString is a string over the same bytes, for a look-up that doesn't keep it: a compaction that made garbage of each key would
// have the writers pay for its collection.
func unsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// garbageShare is how many bytes of all records no longer count, and which share that is.
func (s *Store) garbageShare() (bytes int64, share float64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	bytes = s.recordBytes - s.liveBytes
	return bytes, float64(bytes) / float64(max(s.recordBytes, 1))
}

// compactionOptions are the bounds of the choices in package plan.
func (s *Store) compactionOptions() plan.Options {
	l := s.opts.Limits
	return plan.Options{GarbageThreshold: l.GarbageShare, SegmentBytes: l.SegmentBytes, MaxSmallSegments: l.MaxSmallSegments, MaxCompactionBytes: l.CompactionBytes, MaxPause: l.CompactionPause}
}

func (s *Store) allocateSegmentNumber() uint64 {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	n := s.manifest.NextSegment
	s.manifest.NextSegment++
	return n
}

// installSegments puts new segments in the place of old ones: in the manifest, then in the index, then on the disk. listed says that
// the new ones may be in the manifest in force.
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
	// From here on nothing may fail: the files that the index points to stay open until it doesn't. The writer may need meta
	// to begin a segment, so it isn't held while the index changes.
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
			return true, s.fail(err) // the old ones stay, for readers
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

// repointIndex points the index at the records of a new segment, in parts, so that no reader or writer waits long.
func (s *Store) repointIndex(g *segment) error {
	type moved struct {
		key string
		to  location
	}
	var part []moved
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, m := range part {
			if p, ok := s.index.Get(m.key); ok && p.sequence == m.to.sequence {
				s.index.Set(m.key, m.to)
			} else {
				g.deadBytes += int64(m.to.size) // replaced meanwhile
			}
		}
		part = part[:0]
	}
	_, err := g.scan(s.opts.Limits.ValueBytes, func(off int64, r *format.Record) error {
		if r.Kind == format.KindPut {
			part = append(part, moved{string(r.Key), location{g, r.Sequence, r.ExpiryMillis, uint32(off), uint32(r.Size())}})
		}
		if len(part) >= 64 {
			apply()
			// A mutex that is taken again at once starves others for a millisecond.
			time.Sleep(s.opts.Limits.CompactionPause / 64)
		}
		return nil
	})
	apply()
	return err
}
