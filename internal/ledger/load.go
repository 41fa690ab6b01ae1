package ledger

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"sloehitch/internal/ledger/format"
)

// loadedRecord is a record that was read while loading or repairing.
type loadedRecord struct {
	key      string
	put      bool
	location location
}

// loadSegments reads all segments and fills the index, the figures and the recovery. The tail's records are in the index only
// for a reader.
func (s *Store) loadSegments() (*activeTail, error) {
	s.sealed, s.active = nil, nil
	s.index.Clear()
	s.indexBytes, s.nextExpiry, s.clockMark, s.recordBytes, s.liveBytes = 0, 0, s.manifest.ClockMark, 0, 0
	s.recovery = Recovery{Fresh: s.recovery.Fresh}
	totalBytes, err := s.openSegments()
	if err != nil {
		return nil, err
	}
	s.recovery.Segments, s.recovery.Bytes = len(s.manifest.Segments), totalBytes
	lists, err := s.loadAllSealed(totalBytes)
	if err != nil {
		return nil, err
	}
	tail := &activeTail{}
	if s.active != nil {
		var list []loadedRecord
		if tail, list, err = s.loadActive(s.active); err != nil {
			return nil, err
		}
		lists = append(lists, list)
	}
	s.active = nil
	for _, list := range lists {
		s.recovery.Records += len(list)
	}
	s.buildIndex(lists)
	s.restoreSequence(tail)
	s.writer.writtenMark = s.clockMark
	s.recovery.Keys = s.index.Len()
	return tail, nil
}

// openSegments opens the segments that the manifest lists, as sealed and active, and returns their size in bytes. Those that
// are open stay with the store on an error.
func (s *Store) openSegments() (totalBytes int64, err error) {
	for i, e := range s.manifest.Segments {
		g, err := openSegment(s.fs, s.id, e)
		if err != nil {
			return 0, err
		}
		totalBytes += g.size
		if e.Size != format.ActiveSegmentSize {
			s.sealed = append(s.sealed, g)
			continue
		}
		s.active = g
		if i != len(s.manifest.Segments)-1 {
			return 0, damage(manifestName, 0, "an active segment stands before others")
		}
	}
	return totalBytes, nil
}

// loadAllSealed reads the sealed segments, as many at once as there are processors, and returns a list of records for each.
func (s *Store) loadAllSealed(totalBytes int64) ([][]loadedRecord, error) {
	lists := make([][]loadedRecord, len(s.sealed), len(s.sealed)+1)
	errs := make([]error, len(s.sealed))
	var read atomic.Int64
	var readers sync.WaitGroup
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0), 1))
	for i, g := range s.sealed {
		readers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			lists[i], errs[i] = s.loadSealed(g)
			s.opts.Progress("open", read.Add(g.size), totalBytes)
		})
	}
	readers.Wait()
	for _, err := range errs { // the first in the manifest's order, whichever came first in time
		if err != nil {
			return nil, err
		}
	}
	return lists, nil
}

// restoreSequence finds the last sequence number in use.
func (s *Store) restoreSequence(tail *activeTail) {
	last := max(s.writer.lastSequence, s.manifest.LastSequence)
	for _, g := range s.sealed {
		last = max(last, g.maxSequence)
	}
	if tail.seg != nil {
		last = max(last, tail.seg.maxSequence)
	}
	for _, r := range tail.records {
		last = max(last, r.Sequence)
	}
	s.writer.lastSequence = last
}

// loadSealed reads a sealed segment. Any invalid byte in it is damage.
func (s *Store) loadSealed(g *segment) ([]loadedRecord, error) {
	var list []loadedRecord
	var mark int64
	inBatch := false
	end, err := g.scan(s.opts.Limits.ValueBytes, func(off int64, r *format.Record) error {
		if r.Kind == format.KindGroup {
			_, m := r.GroupFields()
			mark = max(mark, m)
			return nil
		}
		inBatch = r.BatchContinues
		g.countRecord(r.Sequence, r.Size())
		at := location{g, r.Sequence, r.ExpiryMillis, uint32(off), uint32(r.Size())}
		list = append(list, loadedRecord{string(r.Key), r.Kind == format.KindPut, at})
		return nil
	})
	switch {
	case errors.Is(err, format.ErrShort), errors.Is(err, format.ErrInvalid):
		return nil, damage(g.name, end, "%v, in a segment of which %d bytes were durable", err, g.size)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", g.name, err)
	case inBatch:
		return nil, damage(g.name, end, "the segment ends within a batch")
	}
	sortLoaded(list)
	s.mu.Lock()
	s.clockMark = max(s.clockMark, mark)
	s.mu.Unlock()
	return list, nil
}

// sortLoaded sorts by key, then by sequence number.
func sortLoaded(list []loadedRecord) {
	slices.SortFunc(list, func(a, b loadedRecord) int {
		if c := strings.Compare(a.key, b.key); c != 0 {
			return c
		}
		return int(int64(a.location.sequence - b.location.sequence))
	})
}

// buildIndex merges sorted lists into the index: of each key the record with the highest sequence number is the current one.
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
		s.loadKey(key, s.mergeKey(key, lists, heads))
	}
}

// mergeKey moves the heads of all lists behind a key, and returns its newest record.
func (s *Store) mergeKey(key string, lists [][]loadedRecord, heads []int) (newest loadedRecord) {
	for i, list := range lists {
		for ; heads[i] < len(list) && list[heads[i]].key == key; heads[i]++ {
			record := list[heads[i]]
			s.recordBytes += int64(record.location.size)
			if newest.location.seg != nil && record.location.sequence < newest.location.sequence {
				record.countDead()
				continue
			}
			if newest.location.seg != nil {
				newest.countDead()
			}
			newest = record
		}
	}
	return newest
}

// loadKey puts the newest record of a key in the index; the keys come in ascending order.
func (s *Store) loadKey(key string, newest loadedRecord) {
	if !newest.put {
		newest.location.seg.tombstoneBytes += int64(newest.location.size)
		return
	}
	s.index.Load(key, newest.location)
	s.liveBytes += int64(newest.location.size)
	s.indexBytes += indexCost(len(key))
	if e := newest.location.expiryMillis; e != 0 && (s.nextExpiry == 0 || e < s.nextExpiry) {
		s.nextExpiry = e
	}
}

// countDead counts a superseded record as garbage.
func (f *loadedRecord) countDead() { f.location.seg.deadBytes += int64(f.location.size) }
