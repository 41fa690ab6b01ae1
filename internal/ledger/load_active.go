package ledger

import (
	"errors"
	"fmt"

	"sloehitch/internal/ledger/format"
)

// activeTail is the active segment that a recovery found, and the records of its complete batches that are not known to be
// flushed.
type activeTail struct {
	seg     *segment
	flushed int64 // the offset up to which the segment is known to be flushed
	records []format.Record
}

// activeScan is the state of a scan of an active segment.
type activeScan struct {
	store       *Store
	tail        *activeTail
	records     []scannedRecord // records of complete batches
	batch       []scannedRecord // records of the batch that is being read
	maxSequence uint64
	completeEnd int64          // end offset of the last complete batch
	groupStarts map[int64]bool // start offsets of groups, the only offsets up to which a flush can have been made
}

// scannedRecord is a record with its position in the file.
type scannedRecord struct {
	offset int64
	size   int
	loadedRecord
}

// loadActive reads the active segment up to its torn tail, if it has one. Unreadable bytes that a flush made durable are reported
// as damage.
func (s *Store) loadActive(g *segment) (*activeTail, []loadedRecord, error) {
	scan := &activeScan{store: s, tail: &activeTail{seg: g, flushed: min(format.SegmentHeaderSize, g.size)}}
	scan.completeEnd = scan.tail.flushed
	scan.groupStarts = map[int64]bool{scan.completeEnd: true}
	end, err := g.scan(s.opts.Limits.ValueBytes, scan.add)
	switch {
	case err == nil:
		end = g.size
	case !errors.Is(err, format.ErrShort) && !errors.Is(err, format.ErrInvalid):
		return nil, nil, fmt.Errorf("%s: %w", g.name, err)
	}
	if err := scan.cutTornTail(end, err); err != nil {
		return nil, nil, err
	}
	list, err := scan.splitAtFlushed()
	if err != nil {
		return nil, nil, err
	}
	sortLoaded(list)
	return scan.tail, list, nil
}

// add processes the next record of the segment. It returns format.ErrInvalid if the record cannot continue the log.
func (a *activeScan) add(offset int64, r *format.Record) error {
	if r.Kind == format.KindGroup {
		return a.addGroup(offset, r)
	}
	if r.Sequence <= a.maxSequence {
		return format.ErrInvalid // leftover of a group that was rolled back
	}
	a.maxSequence = r.Sequence
	size := r.Size()
	at := location{a.tail.seg, r.Sequence, r.ExpiryMillis, uint32(offset), uint32(size)}
	a.batch = append(a.batch, scannedRecord{offset, size, loadedRecord{string(r.Key), r.Kind == format.KindPut, at}})
	if !r.BatchContinues {
		a.records = append(a.records, a.batch...)
		a.batch = a.batch[:0]
		a.completeEnd = offset + int64(size)
	}
	return nil
}

func (a *activeScan) addGroup(offset int64, r *format.Record) error {
	if len(a.batch) > 0 {
		return format.ErrInvalid
	}
	flushed, mark := r.GroupFields()
	a.groupStarts[offset] = true
	if !a.groupStarts[flushed] {
		return format.ErrInvalid
	}
	a.tail.flushed, a.store.clockMark = max(a.tail.flushed, flushed), max(a.store.clockMark, mark)
	a.completeEnd = offset + format.GroupRecordSize
	return nil
}

// cutTornTail truncates the segment after its last complete batch. end and scanErr are the results of the scan.
func (a *activeScan) cutTornTail(end int64, scanErr error) error {
	g := a.tail.seg
	if a.completeEnd >= g.size {
		return nil
	}
	flushed, err := g.findFlushed(a.completeEnd)
	if err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	if flushed > a.completeEnd {
		if scanErr == nil {
			scanErr = errIncompleteBatch
		}
		return newDamageError(g.name, end, "%v before the durable end at %d", scanErr, flushed)
	}
	recovery := &a.store.recovery
	recovery.TornBytes, recovery.TornFile, recovery.TornOffset = g.size-a.completeEnd, g.name, a.completeEnd
	g.size = a.completeEnd
	return nil
}

var errIncompleteBatch = errors.New("incomplete batch")

// splitAtFlushed returns the records that are known to be flushed, and reads the others into the tail. For a read-only store it
// returns all records.
func (a *activeScan) splitAtFlushed() (list []loadedRecord, err error) {
	g := a.tail.seg
	for _, scanned := range a.records {
		if scanned.offset >= a.tail.flushed && !a.store.opts.ReadOnly {
			r, err := g.read(scanned.offset, scanned.size)
			if err != nil {
				return nil, err
			}
			a.tail.records = append(a.tail.records, r)
			continue
		}
		g.countRecord(scanned.location.sequence, scanned.size)
		list = append(list, scanned.loadedRecord)
	}
	return list, nil
}
