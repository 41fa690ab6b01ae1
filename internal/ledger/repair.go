package ledger

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
)

// Loss is a stretch of a file that could not be saved.
type Loss struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"`
	Bytes  int64  `json:"bytes"`
	Why    string `json:"why"`
}

// Salvage says what Repair saved.
type Salvage struct {
	Segments int      `json:"segments"`
	Records  int      `json:"records"`
	Keys     int      `json:"keys"`
	Lost     []Loss   `json:"lost"`
	Warnings []string `json:"warnings"`
}

// Repair saves what can be read in a folder into a new store in another, empty folder. The old folder is not changed. It
// holds the keys in memory while it works.
func Repair(from, to disk.FS, o Options) (v Salvage, err error) {
	o.ReadOnly = false
	o.Manual = true
	if o.Step == nil {
		o.Step = func(string, int64, int64) {}
	}
	names, err := to.List()
	if err != nil {
		return v, err
	}
	if slices.Contains(names, manifestName) {
		return v, fmt.Errorf("%s: a ledger is there already", to)
	}
	segs, err := v.openSegments(from)
	if err != nil {
		return v, err
	}
	defer func() {
		for _, g := range segs {
			g.release()
		}
	}()
	best := map[string]loadedRecord{} // the newest record of each key
	var mark, total, done int64
	for _, g := range segs {
		total += g.size
	}
	for _, g := range segs {
		m, err := v.salvageSegment(g, o.Limits.ValueBytes, best)
		if err != nil {
			return v, fmt.Errorf("%s: %w", g.name, err)
		}
		mark = max(mark, m)
		v.Segments++
		done += g.size
		o.Step("repair", done, total)
	}
	s, err := Open(to, o)
	if err != nil {
		return v, err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	keys := make([]string, 0, len(best))
	for key, b := range best {
		if b.put && !expired(b.location, mark) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for part := range slices.Chunk(keys, 256) {
		for len(part) > 0 {
			var batch Batch
			n := 0
			for ; n < len(part) && (n == 0 || batch.bytes < o.Limits.BatchBytes/2-o.Limits.ValueBytes); n++ {
				p := best[part[n]].location
				r, err := p.seg.read(int64(p.offset), int(p.size))
				if err != nil {
					return v, err
				}
				batch.Put(r.Key, r.Value, fromMillis(r.ExpiryMillis))
			}
			if err := s.Apply(&batch); err != nil {
				return v, err
			}
			v.Keys += n
			part = part[n:]
		}
	}
	return v, nil
}

// openSegments opens the segments to read: those of the manifest, or without a readable one all that belong together.
func (v *Salvage) openSegments(fs disk.FS) (segs []*segment, err error) {
	m, where, err := loadManifest(fs)
	if err == nil {
		for _, e := range m.Segments {
			if g := v.openSegment(fs, segmentFileName(e.Number), &m.Store, e.Size); g != nil {
				segs = append(segs, g)
			}
		}
		return segs, nil
	}
	var version format.VersionError
	if errors.As(err, &version) {
		return nil, fmt.Errorf("%s: %w", manifestName, err)
	}
	v.Lost = append(v.Lost, Loss{manifestName, where, 0, err.Error()})
	v.Warnings = append(v.Warnings, "without the manifest all segments in the folder were read: what was deleted may be back if an old segment was still there")
	names, err := fs.List()
	if err != nil {
		return nil, err
	}
	var store *format.ID
	for _, name := range names {
		if _, ok := segmentNumber(name); !ok {
			continue
		}
		if g := v.openSegment(fs, name, store, format.ActiveSegmentSize); g != nil {
			segs = append(segs, g)
			store = &g.store
		}
	}
	if len(segs) == 0 {
		return nil, fmt.Errorf("%s: no segment can be read", fs)
	}
	return segs, nil
}

// openSegment opens a segment for salvage; nil if its header is of no use.
func (v *Salvage) openSegment(fs disk.FS, name string, store *format.ID, size int64) *segment {
	lose := func(why string, args ...any) *segment {
		v.Lost = append(v.Lost, Loss{name, 0, max(size, 0), fmt.Sprintf(why, args...)})
		return nil
	}
	f, err := fs.Open(name)
	if err != nil {
		return lose("%v", err)
	}
	has, err := f.Size()
	b := make([]byte, format.SegmentHeaderSize)
	if err == nil {
		_, err = f.ReadAt(b, 0)
	}
	h, salt, herr := format.DecodeSegmentHeader(b)
	n, _ := segmentNumber(name)
	switch {
	case errors.Is(err, io.EOF) && has == 0, err != nil && !errors.Is(err, io.EOF):
		closeRead(f)
		return lose("the header can't be read: %v", err)
	case herr != nil:
		closeRead(f)
		return lose("%v: the records can't be told without it", herr)
	case h.Number != n || store != nil && h.Store != *store:
		closeRead(f)
		return lose("the file is another store's or was renamed")
	}
	if size == format.ActiveSegmentSize {
		size = has
	} else if has < size {
		v.Lost = append(v.Lost, Loss{name, has, size - has, "the file is cut short"})
		size = has
	}
	g := &segment{number: n, name: name, file: f, cold: h.Cold, size: size, salt: salt, store: h.Store}
	g.refs.Store(1)
	return g
}

// salvageSegment reads all whole batches of a segment, also behind stretches that can't be read.
func (v *Salvage) salvageSegment(g *segment, most int, best map[string]loadedRecord) (mark int64, err error) {
	var batch []loadedRecord
	skip := false // the batch that begins here may lack its first records
	take := func(off int64, r *format.Record) error {
		if r.Kind == format.KindGroup {
			_, m := r.GroupFields()
			mark, skip, batch = max(mark, m), false, batch[:0]
			return nil
		}
		batch = append(batch, loadedRecord{string(r.Key), r.Kind == format.KindPut, location{g, r.Sequence, r.ExpiryMillis, uint32(off), uint32(r.Size())}})
		if r.BatchContinues {
			return nil
		}
		for _, f := range batch {
			if skip {
				v.Lost = append(v.Lost, Loss{g.name, int64(f.location.offset), int64(f.location.size), "it may belong to a batch that is not whole"})
				continue
			}
			v.Records++
			if old, ok := best[f.key]; !ok || old.location.sequence < f.location.sequence {
				best[f.key] = f
			}
		}
		skip, batch = false, batch[:0]
		return nil
	}
	for from := int64(format.SegmentHeaderSize); from < g.size; {
		end, err := g.scanFrom(from, most, take)
		if err == nil {
			break
		}
		if !errors.Is(err, format.ErrShort) && !errors.Is(err, format.ErrInvalid) {
			return mark, err
		}
		skip, batch = !g.cold, batch[:0] // a compaction leaves no batches of several records
		next, err2 := g.findNextReadable(end+1, most)
		if err2 != nil {
			return mark, err2
		}
		v.Lost = append(v.Lost, Loss{g.name, end, next - end, err.Error()})
		from = next
	}
	return mark, nil
}
