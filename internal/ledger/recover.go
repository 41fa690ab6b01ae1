package ledger

import (
	"errors"
	"fmt"
	"io"
	"math"
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
	rest, err := s.load()
	if err != nil {
		return err
	}
	if rest.seg != nil {
		s.leaving = []*segment{rest.seg} // let go of with the store until it has its place
	}
	if err := s.begin(rest); err != nil {
		return err
	}
	s.sweepFiles()
	s.recovery.Took = time.Since(began)
	return nil
}

// look is recover for a reader: nothing is changed. A writer may replace segments meanwhile; then it is tried again.
func (s *Store) look() (err error) {
	began := time.Now()
	for range 5 {
		var names []string
		if names, err = s.fs.List(); err != nil {
			return err
		}
		if err = s.readManifest(names); err != nil {
			return err
		}
		edition := s.manifest.Edition
		var rest *tail
		if rest, err = s.load(); err == nil {
			s.active = rest.seg
			s.recovery.Took = time.Since(began)
			return nil
		}
		s.release()
		if m, _, again := loadManifest(s.fs); again != nil || m.Edition == edition {
			return err
		}
	}
	return err
}

// closeRead closes a file that was only read: nothing is left to be written.
func closeRead(f disk.File) { _ = f.Close() }

// loadManifest reads the manifest; where is at which offset it is bad.
func loadManifest(fs disk.FS) (m *format.Manifest, where int64, err error) {
	f, err := fs.Open(manifestName)
	if err != nil {
		return nil, 0, err
	}
	defer closeRead(f)
	size, err := f.Size()
	if err != nil {
		return nil, 0, err
	}
	if size > 64<<20 {
		return nil, 0, fmt.Errorf("the manifest has %d bytes", size)
	}
	b := make([]byte, size)
	if _, err := f.ReadAt(b, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, 0, err
	}
	return format.ReadManifest(b)
}

func (s *Store) readManifest(names []string) error {
	if !slices.Contains(names, manifestName) {
		for _, name := range names {
			if _, ok := number(name); ok {
				return damage(manifestName, 0, "there is none, though there are segments such as %s", name)
			}
		}
		if s.opts.ReadOnly {
			return fmt.Errorf("%s: no ledger in this folder", s.fs)
		}
		// First the manifest, then segments: so a folder with segments always has one.
		s.recovery.Fresh = true
		s.id = newID()
		return s.replace(format.Manifest{Store: s.id, Next: 1})
	}
	m, where, err := loadManifest(s.fs)
	switch v := (format.VersionError{}); {
	case errors.As(err, &v):
		return fmt.Errorf("%s: %w", manifestName, err)
	case err != nil && isNotExist(err):
		return err
	case err != nil:
		return damage(manifestName, where, "%v", err)
	}
	s.manifest, s.id = *m, m.Store
	for _, e := range m.Segments {
		s.manifest.Next = max(s.manifest.Next, e.Number+1)
	}
	for _, name := range names { // numbers of files that no manifest lists are not given again either
		if n, ok := number(name); ok && n < math.MaxUint64 {
			s.manifest.Next = max(s.manifest.Next, n+1)
		}
	}
	return nil
}

// found is a record seen while loading.
type found struct {
	key  string
	put  bool
	what place
}

// tail is the active segment as it was found: what of it counts and is not known to be flushed.
type tail struct {
	seg     *segment
	flushed int64 // up to here it is known to be
	records []format.Record
}

// load reads all segments and fills the index, the figures and the recovery. The tail's records are in the index only for a
// reader.
func (s *Store) load() (*tail, error) {
	s.sealed, s.active = nil, nil
	s.index.Clear()
	s.keys, s.soonest, s.mark, s.total, s.live = 0, 0, s.manifest.Mark, 0, 0
	s.recovery = Recovery{Fresh: s.recovery.Fresh}
	var active *segment
	var total int64
	for i, e := range s.manifest.Segments {
		g, err := openSegment(s.fs, s.id, e)
		if err != nil {
			return nil, err
		}
		total += g.size
		if e.Size != format.Active {
			s.sealed = append(s.sealed, g)
			continue
		}
		s.active = g // so that it is released on an error
		if active = g; i != len(s.manifest.Segments)-1 {
			return nil, damage(manifestName, 0, "an active segment stands before others")
		}
	}
	s.recovery.Segments, s.recovery.Bytes = len(s.manifest.Segments), total
	lists := make([][]found, len(s.sealed)+1)
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
	t := &tail{}
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
	s.fill(lists)
	s.w.seq = max(s.w.seq, s.manifest.Seq)
	for _, g := range s.sealed {
		s.w.seq = max(s.w.seq, g.high)
	}
	if t.seg != nil {
		s.w.seq = max(s.w.seq, t.seg.high)
	}
	for _, r := range t.records {
		s.w.seq = max(s.w.seq, r.Seq)
	}
	s.w.marked = s.mark
	s.recovery.Keys = s.index.Len()
	return t, nil
}

// loadSealed reads a segment that must be whole.
func (s *Store) loadSealed(g *segment) ([]found, error) {
	var list []found
	var mark int64
	more := false
	end, err := g.scan(s.opts.Limits.ValueBytes, func(off int64, r *format.Record) error {
		if r.Kind == format.Group {
			_, m := r.GroupFields()
			mark = max(mark, m)
			return nil
		}
		more = r.More
		g.count(r.Seq, r.Size())
		list = append(list, found{string(r.Key), r.Kind == format.Put, place{g, r.Seq, r.Expiry, uint32(off), uint32(r.Size())}})
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
	sortFound(list)
	s.mu.Lock()
	s.mark = max(s.mark, mark)
	s.mu.Unlock()
	return list, nil
}

func sortFound(list []found) {
	slices.SortFunc(list, func(a, b found) int {
		if c := strings.Compare(a.key, b.key); c != 0 {
			return c
		}
		return int(int64(a.what.seq - b.what.seq))
	})
}

// loadActive reads the segment that was being written, up to its torn tail if it has one.
func (s *Store) loadActive(g *segment) (*tail, []found, error) {
	t := &tail{seg: g, flushed: min(format.SegmentHeader, g.size)}
	type at struct {
		off  int64
		size int
		f    found
	}
	var all, batch []at
	var high uint64
	whole := t.flushed                    // where the last whole batch ends
	starts := map[int64]bool{whole: true} // where groups may begin: only there can a flush have ended
	end, err := g.scan(s.opts.Limits.ValueBytes, func(off int64, r *format.Record) error {
		if r.Kind == format.Group {
			if len(batch) > 0 {
				return format.ErrInvalid
			}
			f, m := r.GroupFields()
			if starts[off] = true; !starts[f] {
				return format.ErrInvalid
			}
			t.flushed, s.mark = max(t.flushed, f), max(s.mark, m)
			whole = off + format.GroupSize
			return nil
		}
		if r.Seq <= high {
			return format.ErrInvalid // rest of a group that was taken back
		}
		high = r.Seq
		size := r.Size()
		batch = append(batch, at{off, size, found{string(r.Key), r.Kind == format.Put, place{g, r.Seq, r.Expiry, uint32(off), uint32(size)}}})
		if !r.More {
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
	var list []found
	for _, a := range all {
		if a.off >= t.flushed && !s.opts.ReadOnly {
			r, err := g.read(a.off, a.size)
			if err != nil {
				return nil, nil, err
			}
			t.records = append(t.records, r)
			continue
		}
		g.count(a.f.what.seq, a.size)
		list = append(list, a.f)
	}
	sortFound(list)
	return t, list, nil
}

func cmpErr(err error) error {
	if err == nil {
		return errors.New("a batch without its end")
	}
	return err
}

// fill makes the index of sorted lists: of each key the record with the highest sequence number counts.
func (s *Store) fill(lists [][]found) {
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
		var last found
		for i, list := range lists {
			for ; heads[i] < len(list) && list[heads[i]].key == key; heads[i]++ {
				f := list[heads[i]]
				s.total += int64(f.what.size)
				if last.what.seg != nil && f.what.seq < last.what.seq {
					f.bury()
					continue
				}
				if last.what.seg != nil {
					last.bury()
				}
				last = f
			}
		}
		if !last.put {
			last.what.seg.tombs += int64(last.what.size)
			continue
		}
		s.index.Load(key, last.what)
		s.live += int64(last.what.size)
		s.keys += cost(len(key))
		if e := last.what.expiry; e != 0 && (s.soonest == 0 || e < s.soonest) {
			s.soonest = e
		}
	}
}

// bury counts a record that another one of its key replaced.
func (f *found) bury() { f.what.seg.dead += int64(f.what.size) }

// begin starts a new active segment with the records that are not known to be flushed, and seals the old one before
// them. Nothing is ever appended to a file that this process did not write: what can be read of it need not be on the disk.
func (s *Store) begin(t *tail) error {
	s.meta.Lock()
	defer s.meta.Unlock()
	g, err := s.newSegment()
	if err != nil {
		return refused(err)
	}
	b := format.AppendGroup(nil, g.salt, g.size, g.size, s.mark)
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
		return refused(err)
	}
	g.size += int64(len(b))
	sealed := s.sealed
	if old := t.seg; old != nil {
		if old.size = t.flushed; old.raw > 0 {
			sealed = append(sealed[:len(sealed):len(sealed)], old)
		} else {
			old.release()
		}
	}
	s.mu.Lock()
	for i := range t.records {
		s.set(g, offs[i], &t.records[i])
	}
	s.counts = counters{}
	s.mu.Unlock()
	s.leaving = nil
	s.sealed, s.active, s.w.flushed, s.w.records = sealed, g, g.size, len(t.records)
	s.recovery.Keys = s.index.Len()
	return s.replace(s.next(sealed, g))
}

// sweepFiles removes files that the manifest in force does not list. One that comes back after that is swept the next
// time; it is never read.
func (s *Store) sweepFiles() {
	names, err := s.fs.List()
	if err != nil {
		return
	}
	for _, name := range names {
		n, ok := number(name)
		if name != manifestNew && (!ok || slices.ContainsFunc(s.manifest.Segments, func(e format.Entry) bool { return e.Number == n })) {
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			s.opts.Log.Warn("a file that is not needed could not be removed", "file", name, "error", err)
			continue
		}
		s.recovery.Stray++
	}
}
