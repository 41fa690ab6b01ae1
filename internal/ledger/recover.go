package ledger

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
)

// recover reads the folder and makes it ready for writing: one replacement of the manifest, before which the folder is as it
// was found, and after which it is as it will be.
func (s *Store) recover() error {
	began := time.Now()
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	if err := s.readManifest(names); err != nil {
		return err
	}
	rest, err := s.loadSegments()
	if err != nil {
		return err
	}
	if rest.seg != nil {
		s.retired = []*segment{rest.seg} // let go of with the store until it has its place
	}
	if err := s.startActive(rest); err != nil {
		return err
	}
	s.removeUnlistedFiles()
	s.recovery.Took = time.Since(began)
	return nil
}

// recoverReadOnly is recover for a reader: nothing is changed. A writer may replace segments meanwhile; then it is tried again.
func (s *Store) recoverReadOnly() (err error) {
	began := time.Now()
	for range 5 {
		var names []string
		if names, err = s.fs.List(); err != nil {
			return err
		}
		if err = s.readManifest(names); err != nil {
			return err
		}
		edition := s.manifest.Generation
		var rest *activeTail
		if rest, err = s.loadSegments(); err == nil {
			s.active = rest.seg
			s.recovery.Took = time.Since(began)
			return nil
		}
		s.releaseSegments()
		if m, _, again := loadManifest(s.fs); again != nil || m.Generation == edition {
			return err
		}
	}
	return err
}

// closeRead closes a file that was only read: nothing is left to be written.
func closeRead(f disk.File) { _ = f.Close() }

// loadedRecord is a record seen while loading.
type loadedRecord struct {
	key      string
	put      bool
	location location
}

// activeTail is the active segment as it was found: what of it counts and is not known to be flushed.
type activeTail struct {
	seg     *segment
	flushed int64 // up to here it is known to be
	records []format.Record
}

// loadSegments reads all segments and fills the index, the figures and the recovery. The tail's records are in the index only for a
// reader.
func (s *Store) loadSegments() (*activeTail, error) {
	s.sealed, s.active = nil, nil
	s.index.Clear()
	s.indexBytes, s.nextExpiry, s.clockMark, s.recordBytes, s.liveBytes = 0, 0, s.manifest.ClockMark, 0, 0
	s.recovery = Recovery{Fresh: s.recovery.Fresh}
	var active *segment
	var total int64
	for i, e := range s.manifest.Segments {
		g, err := openSegment(s.fs, s.id, e)
		if err != nil {
			return nil, err
		}
		total += g.size
		if e.Size != format.ActiveSegmentSize {
			s.sealed = append(s.sealed, g)
			continue
		}
		s.active = g // so that it is released on an error
		if active = g; i != len(s.manifest.Segments)-1 {
			return nil, damage(manifestName, 0, "an active segment stands before others")
		}
	}
	s.recovery.Segments, s.recovery.Bytes = len(s.manifest.Segments), total
	lists := make([][]loadedRecord, len(s.sealed)+1)
	errs := make([]error, len(s.sealed))
	var read atomic.Int64
	var wait sync.WaitGroup
	gates := make(chan struct{}, max(runtime.GOMAXPROCS(0), 1))
	for i, g := range s.sealed {
		wait.Go(func() {
			gates <- struct{}{}
			defer func() { <-gates }()
			lists[i], errs[i] = s.loadSealed(g)
			s.opts.Step("open", read.Add(g.size), total)
		})
	}
	wait.Wait()
	for _, err := range errs { // the first in the manifest's order, whatever came first in time
		if err != nil {
			return nil, err
		}
	}
	t := &activeTail{}
	if active != nil {
		var err error
		if t, lists[len(s.sealed)], err = s.loadActive(active); err != nil {
			return nil, err
		}
	}
	s.active = nil
	for _, list := range lists {
		s.recovery.Records += len(list)
	}
	s.buildIndex(lists)
	s.writer.lastSequence = max(s.writer.lastSequence, s.manifest.LastSequence)
	for _, g := range s.sealed {
		s.writer.lastSequence = max(s.writer.lastSequence, g.maxSequence)
	}
	if t.seg != nil {
		s.writer.lastSequence = max(s.writer.lastSequence, t.seg.maxSequence)
	}
	for _, r := range t.records {
		s.writer.lastSequence = max(s.writer.lastSequence, r.Sequence)
	}
	s.writer.writtenMark = s.clockMark
	s.recovery.Keys = s.index.Len()
	return t, nil
}

// loadSealed reads a segment that must be whole.
func (s *Store) loadSealed(g *segment) ([]loadedRecord, error) {
	var list []loadedRecord
	var mark int64
	more := false
	end, err := g.scan(s.opts.Limits.ValueBytes, func(off int64, r *format.Record) error {
		if r.Kind == format.KindGroup {
			_, m := r.GroupFields()
			mark = max(mark, m)
			return nil
		}
		more = r.BatchContinues
		g.countRecord(r.Sequence, r.Size())
		list = append(list, loadedRecord{string(r.Key), r.Kind == format.KindPut, location{g, r.Sequence, r.ExpiryMillis, uint32(off), uint32(r.Size())}})
		return nil
	})
	switch {
	case errors.Is(err, format.ErrShort), errors.Is(err, format.ErrInvalid):
		return nil, damage(g.name, end, "%v, in a segment of which %d bytes were durable", err, g.size)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", g.name, err)
	case more:
		return nil, damage(g.name, end, "the segment ends within a batch")
	}
	sortLoaded(list)
	s.mu.Lock()
	s.clockMark = max(s.clockMark, mark)
	s.mu.Unlock()
	return list, nil
}

func sortLoaded(list []loadedRecord) {
	slices.SortFunc(list, func(a, b loadedRecord) int {
		if c := strings.Compare(a.key, b.key); c != 0 {
			return c
		}
		return int(int64(a.location.sequence - b.location.sequence))
	})
}

// loadActive reads the segment that was being written, up to its torn tail if it has one.
func (s *Store) loadActive(g *segment) (*activeTail, []loadedRecord, error) {
	t := &activeTail{seg: g, flushed: min(format.SegmentHeaderSize, g.size)}
	type at struct {
		off  int64
		size int
		f    loadedRecord
	}
	var all, batch []at
	var high uint64
	whole := t.flushed                    // where the last whole batch ends
	starts := map[int64]bool{whole: true} // where groups may begin: only there can a flush have ended
	end, err := g.scan(s.opts.Limits.ValueBytes, func(off int64, r *format.Record) error {
		if r.Kind == format.KindGroup {
			if len(batch) > 0 {
				return format.ErrInvalid
			}
			f, m := r.GroupFields()
			if starts[off] = true; !starts[f] {
				return format.ErrInvalid
			}
			t.flushed, s.clockMark = max(t.flushed, f), max(s.clockMark, m)
			whole = off + format.GroupRecordSize
			return nil
		}
		if r.Sequence <= high {
			return format.ErrInvalid // rest of a group that was taken back
		}
		high = r.Sequence
		size := r.Size()
		batch = append(batch, at{off, size, loadedRecord{string(r.Key), r.Kind == format.KindPut, location{g, r.Sequence, r.ExpiryMillis, uint32(off), uint32(size)}}})
		if !r.BatchContinues {
			all = append(all, batch...)
			batch = batch[:0]
			whole = off + int64(size)
		}
		return nil
	})
	switch {
	case err == nil:
		end = g.size
	case !errors.Is(err, format.ErrShort) && !errors.Is(err, format.ErrInvalid):
		return nil, nil, fmt.Errorf("%s: %w", g.name, err)
	}
	if whole < g.size {
		flushed, err2 := g.findFlushed(whole)
		if err2 != nil {
			return nil, nil, fmt.Errorf("%s: %w", g.name, err2)
		}
		if flushed > whole {
			return nil, nil, damage(g.name, end, "%v, though %d bytes were durable", cmpErr(err), flushed)
		}
		s.recovery.Torn, s.recovery.TornFile, s.recovery.TornAt = g.size-whole, g.name, whole
		g.size = whole
	}
	var list []loadedRecord
	for _, a := range all {
		if a.off >= t.flushed && !s.opts.ReadOnly {
			r, err := g.read(a.off, a.size)
			if err != nil {
				return nil, nil, err
			}
			t.records = append(t.records, r)
			continue
		}
		g.countRecord(a.f.location.sequence, a.size)
		list = append(list, a.f)
	}
	sortLoaded(list)
	return t, list, nil
}

func cmpErr(err error) error {
	if err == nil {
		return errors.New("a batch without its end")
	}
	return err
}

// buildIndex makes the index of sorted lists: of each key the record with the highest sequence number counts.
func (s *Store) buildIndex(lists [][]loadedRecord) {
	heads := make([]int, len(lists))
	for {
		least := -1
		for i, list := range lists {
			if heads[i] < len(list) && (least < 0 || list[heads[i]].key < lists[least][heads[least]].key) {
				least = i
			}
		}
		if least < 0 {
			return
		}
		key := lists[least][heads[least]].key
		var last loadedRecord
		for i, list := range lists {
			for ; heads[i] < len(list) && list[heads[i]].key == key; heads[i]++ {
				f := list[heads[i]]
				s.recordBytes += int64(f.location.size)
				if last.location.seg != nil && f.location.sequence < last.location.sequence {
					f.countDead()
					continue
				}
				if last.location.seg != nil {
					last.countDead()
				}
				last = f
			}
		}
		if !last.put {
			last.location.seg.tombstoneBytes += int64(last.location.size)
			continue
		}
		s.index.Load(key, last.location)
		s.liveBytes += int64(last.location.size)
		s.indexBytes += indexCost(len(key))
		if e := last.location.expiryMillis; e != 0 && (s.nextExpiry == 0 || e < s.nextExpiry) {
			s.nextExpiry = e
		}
	}
}

// countDead counts a record that another one of its key replaced.
func (f *loadedRecord) countDead() { f.location.seg.deadBytes += int64(f.location.size) }

// startActive starts a new active segment with the records that are not known to be flushed, and seals the old one before
// them. Nothing is ever appended to a file that this process did not write: what can be read of it need not be on the disk.
func (s *Store) startActive(t *activeTail) error {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	g, err := s.newSegment()
	if err != nil {
		return notWritten(err)
	}
	b := format.AppendGroup(nil, g.salt, g.size, g.size, s.clockMark)
	offs := make([]int64, len(t.records))
	for i := range t.records {
		offs[i] = g.size + int64(len(b))
		b = format.AppendRecord(b, g.salt, offs[i], &t.records[i])
	}
	_, err = g.file.WriteAt(b, g.size)
	if err == nil {
		err = g.file.Sync()
	}
	if err != nil {
		g.release()
		return notWritten(err)
	}
	g.size += int64(len(b))
	sealed := s.sealed
	if old := t.seg; old != nil {
		if old.size = t.flushed; old.totalBytes > 0 {
			sealed = append(sealed[:len(sealed):len(sealed)], old)
		} else {
			old.release()
		}
	}
	s.mu.Lock()
	for i := range t.records {
		s.indexRecord(g, offs[i], &t.records[i])
	}
	s.counts = counters{}
	s.mu.Unlock()
	s.retired = nil
	s.sealed, s.active, s.writer.flushedOffset, s.writer.activeRecords = sealed, g, g.size, len(t.records)
	s.recovery.Keys = s.index.Len()
	return s.replaceManifest(s.nextManifest(sealed, g))
}

// removeUnlistedFiles removes files that the manifest in force does not list. One that comes back after that is swept the next
// time; it is never read.
func (s *Store) removeUnlistedFiles() {
	names, err := s.fs.List()
	if err != nil {
		return
	}
	for _, name := range names {
		n, ok := segmentNumber(name)
		if name != manifestTempName && (!ok || slices.ContainsFunc(s.manifest.Segments, func(e format.SegmentEntry) bool { return e.Number == n })) {
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			s.opts.Log.Warn("a file that is not needed could not be removed", "file", name, "error", err)
			continue
		}
		s.recovery.Stray++
	}
}
