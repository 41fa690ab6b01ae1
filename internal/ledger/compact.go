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

// tend compacts by itself and forgets what has expired, until the store is closed.
func (s *Store) tend() {
	ticker := time.NewTicker(s.opts.Limits.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closing:
			return
		case <-s.kick:
		case <-ticker.C:
		}
		s.Sweep()
		if err := s.compactDue(); err != nil && !errors.Is(err, ErrClosed) {
			s.opts.Log.Warn("a compaction failed; nothing is lost", "folder", s.fs.String(), "error", err)
		}
	}
}

// compactDue compacts while there is something worth it.
func (s *Store) compactDue() error {
	for s.Err() == nil && !s.isClosed() {
		s.meta.Lock()
		chosen := plan.Choose(s.figures(s.sealed), s.rules())
		s.meta.Unlock()
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
	if err := s.roll(); err != nil {
		return Compaction{}, err
	}
	s.meta.Lock()
	var all []uint64
	for _, g := range s.sealed {
		all = append(all, g.number)
	}
	s.meta.Unlock()
	return s.compact(all, true)
}

// roll has the writer seal the active segment.
func (s *Store) roll() error {
	return s.await(&pending{flush: true, roll: true})
}

// Sweep takes keys whose time is over out of memory. They are gone for readers before that.
func (s *Store) Sweep() {
	s.mu.Lock()
	if s.soonest == 0 || s.soonest > s.mark {
		s.mu.Unlock()
		return
	}
	index, mark := s.index.Copy(), s.mark
	s.soonest = 0
	s.mu.Unlock()
	type old struct {
		key string
		seq uint64
	}
	var over []old
	var soonest int64
	index.Scan(func(key string, p place) bool {
		switch {
		case gone(p, mark):
			over = append(over, old{key, p.seq})
		case p.expiry != 0 && (soonest == 0 || p.expiry < soonest):
			soonest = p.expiry
		}
		return true
	})
	for part := range slices.Chunk(over, 64) { // in parts, so that no reader or writer waits long
		s.mu.Lock()
		for _, o := range part {
			if p, ok := s.index.Get(o.key); ok && p.seq == o.seq {
				s.index.Delete(o.key)
				s.keys -= cost(len(o.key))
				s.live -= int64(p.size)
				p.seg.tombs += int64(p.size)
			}
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	if soonest != 0 && (s.soonest == 0 || soonest < s.soonest) {
		s.soonest = soonest
	}
	s.mu.Unlock()
}

// compact replaces the chosen segments by new ones that hold what still counts of them.
func (s *Store) compact(chosen []uint64, step bool) (c Compaction, err error) {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	s.busy.Store(true)
	defer s.busy.Store(false)
	began := time.Now()
	s.meta.Lock()
	var in []*segment
	for _, g := range s.sealed {
		if slices.Contains(chosen, g.number) {
			g.acquire()
			in = append(in, g)
		}
	}
	oldest := plan.Oldest(s.figures(append(s.sealed[:len(s.sealed):len(s.sealed)], s.active)), chosen)
	s.meta.Unlock()
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
	if listed, err = s.swap(in, out); err != nil {
		return c, err
	}
	c.Took = time.Since(began)
	s.mu.Lock()
	s.counts.compactions++
	s.counts.packed += c.After
	s.mu.Unlock()
	return c, nil
}

// rewrite writes what counts of some segments to new ones, makes them durable and reads them once more.
func (s *Store) rewrite(in []*segment, oldest uint64, c *Compaction, step bool) (out []*segment, err error) {
	l := s.opts.Limits
	var p *packer
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
		_, share := s.garbage()
		time.Sleep(plan.Rest(share, s.rules()))
		return p.file.Sync()
	}
	end := func() error {
		if p == nil {
			return nil
		}
		err := p.pack()
		if err == nil {
			err = p.file.Sync()
		}
		_ = p.enc.Close() // it encodes whole blocks and keeps nothing between them
		p = nil
		return err
	}
	for _, g := range in {
		_, err := g.scan(l.ValueBytes, func(_ int64, r *format.Record) error {
			if r.Kind == format.Group {
				return nil
			}
			s.mu.RLock()
			now, there := s.index.Get(view(r.Key))
			mark := s.mark
			s.mu.RUnlock()
			newest := there && now.seq == r.Seq
			kept := *r
			kept.More = false // a batch is whole once it is in the index
			switch plan.Judge(r.Kind == format.Put, r.Seq, newest, there && !newest, r.Expiry, mark, oldest) {
			case plan.Drop:
				c.Dropped++
				return nil
			case plan.Bury:
				kept = format.Record{Kind: format.Delete, Seq: r.Seq, Key: r.Key}
				c.Buried++
			case plan.Keep:
				c.Kept++
			}
			if p != nil && p.rawOff >= l.SegmentBytes {
				if err := end(); err != nil {
					return err
				}
			}
			if p == nil {
				var err error
				if p, err = newPacker(s.fs, s.id, s.takeNumber(), l.BlockBytes, paced); err != nil {
					return err
				}
				out = append(out, p.segment)
			}
			_, err := p.add(&kept)
			if kept.Kind == format.Delete {
				p.tombs += int64(kept.Size())
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
		return out, refused(err)
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

// view is a string over the same bytes, for a look-up that doesn't keep it: a compaction that made garbage of each key would
// have the writers pay for its collection.
func view(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// garbage is how many bytes of all records no longer count, and which share that is.
func (s *Store) garbage() (bytes int64, share float64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	bytes = s.total - s.live
	return bytes, float64(bytes) / float64(max(s.total, 1))
}

// rules are the bounds of the choices in package plan.
func (s *Store) rules() plan.Rules {
	l := s.opts.Limits
	return plan.Rules{Garbage: l.GarbageShare, Segment: l.SegmentBytes, Small: l.MaxSmallSegments, Most: l.CompactionBytes, Rest: l.CompactionPause}
}

func (s *Store) takeNumber() uint64 {
	s.meta.Lock()
	defer s.meta.Unlock()
	n := s.manifest.Next
	s.manifest.Next++
	return n
}

// swap puts new segments in the place of old ones: in the manifest, then in the index, then on the disk. listed says that
// the new ones may be in the manifest in force.
func (s *Store) swap(in, out []*segment) (listed bool, err error) {
	s.meta.Lock()
	sealed := slices.Clone(out)
	for _, g := range s.sealed {
		if !slices.Contains(in, g) {
			sealed = append(sealed, g)
		}
	}
	if err := s.replace(s.next(sealed, s.active)); err != nil {
		s.meta.Unlock()
		return errors.Is(err, ErrBroken), err
	}
	// From here on nothing may fail: the files that the index points to stay open until it doesn't. The writer may need meta
	// to begin a segment, so it isn't held while the index changes.
	s.sealed, s.leaving = sealed, in
	s.meta.Unlock()
	s.mu.Lock()
	for _, g := range out {
		s.total += g.raw
	}
	for _, g := range in {
		s.total -= g.raw
	}
	s.mu.Unlock()
	for _, g := range out {
		if err := s.relocate(g); err != nil {
			return true, s.fail(err) // the old ones stay, for readers
		}
	}
	s.meta.Lock()
	s.leaving = nil
	s.meta.Unlock()
	for _, g := range in {
		g.release()
		if err := s.fs.Remove(g.name); err != nil {
			s.opts.Log.Warn("a file that is not needed could not be removed", "file", g.name, "error", err)
		}
	}
	return true, nil
}

// relocate points the index at the records of a new segment, in parts, so that no reader or writer waits long.
func (s *Store) relocate(g *segment) error {
	type moved struct {
		key string
		to  place
	}
	var part []moved
	apply := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, m := range part {
			if p, ok := s.index.Get(m.key); ok && p.seq == m.to.seq {
				s.index.Set(m.key, m.to)
			} else {
				g.dead += int64(m.to.size) // replaced meanwhile
			}
		}
		part = part[:0]
	}
	_, err := g.scan(s.opts.Limits.ValueBytes, func(off int64, r *format.Record) error {
		if r.Kind == format.Put {
			part = append(part, moved{string(r.Key), place{g, r.Seq, r.Expiry, uint32(off), uint32(r.Size())}})
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
