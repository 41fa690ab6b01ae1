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

// loadedRecord is the key and location of a record that was read by a recovery or repair.
type loadedRecord struct {
	key      string
	put      bool
	location location
}

// loadSegments reads all segments and sets the index, the statistics and the recovery report. The records of the returned tail
// are added to the index only if the store is read-only.
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

// openSegments opens the segments that the manifest lists, sets sealed and active, and returns the total size in bytes. On an
// error the segments opened so far remain in the store.
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
			return 0, newDamageError(manifestName, 0, "the active segment is not the last entry")
		}
	}
	return totalBytes, nil
}

// loadAllSealed reads the sealed segments, up to GOMAXPROCS of them at a time, and returns a list of records for each.
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
	for _, err := range errs { // report the first error in the order of the manifest, whichever occurred first
		if err != nil {
			return nil, err
		}
	}
	return lists, nil
}

// restoreSequence sets the last sequence number that is in use.
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

// loadSealed reads a sealed segment. Any invalid data in it is reported as damage.
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
		return nil, newDamageError(g.name, end, "%v in a sealed segment of %d durable bytes", err, g.size)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", g.name, err)
	case inBatch:
		return nil, newDamageError(g.name, end, "sealed segment ends within a batch")
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

// buildIndex merges the sorted lists into the index. The record with the highest sequence number is the current one of its key.
func (s *Store) buildIndex(lists [][]loadedRecord) {
	heads := make([]int, len(lists))
	for {
		smallest := -1
		for i, list := range lists {
			if heads[i] < len(list) && (smallest < 0 || list[heads[i]].key < lists[smallest][heads[smallest]].key) {
				smallest = i
			}
		}
		if smallest < 0 {
			return
		}
		key := lists[smallest][heads[smallest]].key
		s.loadKey(key, s.mergeKey(key, lists, heads))
	}
}

// mergeKey advances the heads of all lists past a key and returns the key's newest record.
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

// loadKey adds the newest record of a key to the index. It must be called with keys in ascending order.
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
