package ledger

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
	"sloehitch/internal/platform/limits"
)

// Loss is a range of bytes in a file that could not be recovered.
type Loss struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"`
	Bytes  int64  `json:"bytes"`
	Reason string `json:"why"`
}

// Salvage reports what Repair recovered and what was lost.
type Salvage struct {
	Segments int      `json:"segments"`
	Records  int      `json:"records"`
	Keys     int      `json:"keys"`
	Lost     []Loss   `json:"lost"`
	Warnings []string `json:"warnings"`
}

// Repair copies the newest readable value of each key in a folder to a new store in another, empty folder. It does not change
// the old folder. It holds all keys in memory and blocks until it is done.
func Repair(from, to disk.FS, o Options) (v Salvage, err error) {
	o.ReadOnly = false
	o.Manual = true
	if o.Progress == nil {
		o.Progress = func(string, int64, int64) {}
	}
	names, err := to.List()
	if err != nil {
		return v, err
	}
	if slices.Contains(names, manifestName) {
		return v, fmt.Errorf("%s: folder already contains a ledger", to)
	}
	segments, err := v.openSegments(from)
	if err != nil {
		return v, err
	}
	defer func() {
		for _, g := range segments {
			g.release()
		}
	}()
	newest, clockMark, err := v.salvageAll(segments, o)
	if err != nil {
		return v, err
	}
	s, err := Open(to, o)
	if err != nil {
		return v, err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	keys := make([]string, 0, len(newest))
	for key, r := range newest {
		if r.put && !expired(r.location, clockMark) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	err = v.copyKeys(s, keys, newest)
	return v, err
}

// salvageAll reads all segments and returns the newest record of each key and the latest clock mark in Unix milliseconds.
func (v *Salvage) salvageAll(segments []*segment, o Options) (newest map[string]loadedRecord, clockMark int64, err error) {
	newest = map[string]loadedRecord{}
	var total, done int64
	for _, g := range segments {
		total += g.size
	}
	for _, g := range segments {
		mark, err := v.salvageSegment(g, o.Limits.ValueBytes, newest)
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", g.name, err)
		}
		clockMark = max(clockMark, mark)
		v.Segments++
		done += g.size
		o.Progress("repair", done, total)
	}
	return newest, clockMark, nil
}

// maxRepairBatch is the largest number of keys in a batch that Repair writes.
const maxRepairBatch = 256

// copyKeys writes the salvaged values of keys to the new store.
func (v *Salvage) copyKeys(s *Store, keys []string, newest map[string]loadedRecord) error {
	for chunk := range slices.Chunk(keys, maxRepairBatch) {
		for len(chunk) > 0 {
			batch, err := salvagedBatch(s.opts.Limits, chunk, newest)
			if err != nil {
				return err
			}
			if err := s.Apply(batch); err != nil {
				return err
			}
			v.Keys += batch.Len()
			chunk = chunk[batch.Len():]
		}
	}
	return nil
}

// salvagedBatch reads the values of the first keys, as many as certainly fit into half of the batch limit, but at least one.
func salvagedBatch(l limits.Ledger, keys []string, newest map[string]loadedRecord) (*Batch, error) {
	batch := &Batch{}
	for n := 0; n < len(keys) && (n == 0 || batch.bytes < l.BatchBytes/2-l.ValueBytes); n++ {
		at := newest[keys[n]].location
		r, err := at.seg.read(int64(at.offset), int(at.size))
		if err != nil {
			return nil, err
		}
		batch.Put(r.Key, r.Value, timeFromUnixMillis(r.ExpiryMillis))
	}
	return batch, nil
}

// openSegments opens the segments to read: those that the manifest lists, or all segments of the same store if the manifest
// cannot be read.
func (v *Salvage) openSegments(fs disk.FS) (segs []*segment, err error) {
	m, offset, err := loadManifest(fs)
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
	v.Lost = append(v.Lost, Loss{manifestName, offset, 0, err.Error()})
	v.Warnings = append(v.Warnings, "manifest unreadable, so all segments were read: deleted keys may reappear from replaced segments")
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
		return nil, fmt.Errorf("%s: no readable ledger segment", fs)
	}
	return segs, nil
}

// openSegment opens a segment for reading. It returns nil and records the loss if the header cannot be used.
func (v *Salvage) openSegment(fs disk.FS, name string, store *format.ID, size int64) *segment {
	addLoss := func(reason string, args ...any) *segment {
		v.Lost = append(v.Lost, Loss{name, 0, max(size, 0), fmt.Sprintf(reason, args...)})
		return nil
	}
	f, err := fs.Open(name)
	if err != nil {
		return addLoss("%v", err)
	}
	fileSize, err := f.Size()
	b := make([]byte, format.SegmentHeaderSize)
	if err == nil {
		_, err = f.ReadAt(b, 0)
	}
	h, salt, headerErr := format.DecodeSegmentHeader(b)
	n, _ := segmentNumber(name)
	switch {
	case errors.Is(err, io.EOF) && fileSize == 0, err != nil && !errors.Is(err, io.EOF):
		closeRead(f)
		return addLoss("cannot read the segment header: %v", err)
	case headerErr != nil:
		closeRead(f)
		return addLoss("%v: records cannot be verified without a valid header", headerErr)
	case h.Number != n || store != nil && h.Store != *store:
		closeRead(f)
		return addLoss("file belongs to another store or was renamed")
	}
	if size == format.ActiveSegmentSize {
		size = fileSize
	} else if fileSize < size {
		v.Lost = append(v.Lost, Loss{name, fileSize, size - fileSize, "file is truncated"})
		size = fileSize
	}
	g := &segment{number: n, name: name, file: f, cold: h.Cold, size: size, salt: salt, store: h.Store}
	g.refs.Store(1)
	return g
}

// salvageSegment reads all complete batches of a segment, including those after unreadable ranges, and updates the newest
// record of each key.
func (v *Salvage) salvageSegment(g *segment, maxValueBytes int, newest map[string]loadedRecord) (mark int64, err error) {
	var batch []loadedRecord
	skip := false // the first records of the current batch may be missing
	addRecord := func(off int64, r *format.Record) error {
		if r.Kind == format.KindGroup {
			_, m := r.GroupFields()
			mark, skip, batch = max(mark, m), false, batch[:0]
			return nil
		}
		at := location{g, r.Sequence, r.ExpiryMillis, uint32(off), uint32(r.Size())}
		batch = append(batch, loadedRecord{string(r.Key), r.Kind == format.KindPut, at})
		if r.BatchContinues {
			return nil
		}
		for _, f := range batch {
			if skip {
				v.Lost = append(v.Lost, Loss{g.name, int64(f.location.offset), int64(f.location.size), "batch may be incomplete"})
				continue
			}
			v.Records++
			if old, ok := newest[f.key]; !ok || old.location.sequence < f.location.sequence {
				newest[f.key] = f
			}
		}
		skip, batch = false, batch[:0]
		return nil
	}
	for from := int64(format.SegmentHeaderSize); from < g.size; {
		end, err := g.scanFrom(from, maxValueBytes, addRecord)
		if err == nil {
			break
		}
		if !errors.Is(err, format.ErrShort) && !errors.Is(err, format.ErrInvalid) {
			return mark, err
		}
		skip, batch = !g.cold, batch[:0] // in cold segments every record is a batch of its own
		next, resyncErr := g.findNextReadable(end+1, maxValueBytes)
		if resyncErr != nil {
			return mark, resyncErr
		}
		v.Lost = append(v.Lost, Loss{g.name, end, next - end, err.Error()})
		from = next
	}
	return mark, nil
}
