package ledger

import (
	"fmt"

	"sloehitch/internal/ledger/format"
)

// How the memory of the index is limited and how the index is updated.
//
// A key costs its own bytes plus indexEntryOverheadBytes. A batch is admitted if the cost of its new keys, minus that of the
// keys that it deletes, fits into the unused part of IndexBytes of limits.Ledger. A batch that needs no additional memory is
// always admitted.

// indexEntryOverheadBytes is the memory of a key in addition to its own bytes: its entry in the tree and unused capacity of the
// tree's nodes.
const indexEntryOverheadBytes = 96

// indexCost returns the memory in bytes that a key of the given size takes.
func indexCost(keyBytes int) int64 { return indexEntryOverheadBytes + int64(keyBytes) }

// admitToIndex rejects the batches of a group whose new keys do not fit into the memory of the index, and returns the others.
func (s *Store) admitToIndex(group []*pending) []*pending {
	s.mu.RLock()
	available := s.opts.Limits.IndexBytes - s.indexBytes
	var maxGrowth int64 // the cost if all keys are new
	for _, p := range group {
		for i := range p.records {
			maxGrowth += indexCost(len(p.records[i].Key))
		}
	}
	if maxGrowth > available { // the exact size is needed, so wait until all earlier groups are indexed
		s.mu.RUnlock()
		s.writer.unindexed.Wait()
		s.mu.RLock()
		available = s.opts.Limits.IndexBytes - s.indexBytes
	}
	if maxGrowth <= available { // common case: the keys need not be looked up
		s.mu.RUnlock()
		return group
	}
	admitted, rejected := s.splitByIndexSpace(group, available)
	s.mu.RUnlock()
	notify(rejected, fmt.Errorf("%w: %w (limit %d bytes)", ErrNotWritten, ErrIndexFull, s.opts.Limits.IndexBytes))
	return admitted
}

// splitByIndexSpace admits the batches, in order, whose keys fit into the remaining bytes. The caller holds mu.
func (s *Store) splitByIndexSpace(group []*pending, available int64) (admitted, rejected []*pending) {
	admitted = make([]*pending, 0, len(group))
	existsAfter := map[string]bool{} // for each key that the admitted batches change: whether it exists afterwards
	for _, p := range group {
		growth := s.indexGrowth(p, existsAfter)
		if growth > available && growth > 0 {
			rejected = append(rejected, p)
			continue
		}
		available -= growth
		for i := range p.records {
			existsAfter[string(p.records[i].Key)] = p.records[i].Kind == format.KindPut
		}
		admitted = append(admitted, p)
	}
	return admitted, rejected
}

// indexGrowth returns by how many bytes the index grows with a batch, after the changes of the batches before it in its group.
// The caller holds mu.
func (s *Store) indexGrowth(p *pending, existsAfter map[string]bool) (bytes int64) {
	for i := range p.records {
		r := &p.records[i]
		key := string(r.Key)
		_, exists := s.index.Get(key)
		if after, ok := existsAfter[key]; ok {
			exists = after
		}
		switch {
		case r.Kind == format.KindPut && !exists:
			bytes += indexCost(len(key))
		case r.Kind == format.KindDelete && exists:
			bytes -= indexCost(len(key))
		}
	}
	return bytes
}

// durableGroup is a group that was written, and flushed if that is required before its writers are notified.
type durableGroup struct {
	group []*pending
	seg   *segment
	off   int64 // offset of its first record
}

// indexLoop adds durable groups to the index and notifies their writers while the next group is being flushed.
func (s *Store) indexLoop() {
	for w := range s.writer.durable {
		s.indexGroup(w.group, w.seg, w.off)
		s.writer.unindexed.Done()
		notify(w.group, nil)
	}
}

// indexGroup adds the records of a durable group to the index. off is the offset of its first record.
func (s *Store) indexGroup(group []*pending, g *segment, off int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range group {
		if len(p.records) > 0 {
			s.counts.batches++
		}
		for i := range p.records {
			s.indexRecord(g, off, &p.records[i])
			off += int64(p.records[i].Size())
		}
	}
}

// indexRecord applies one record to the index. The caller holds mu.
func (s *Store) indexRecord(g *segment, off int64, r *format.Record) {
	size := r.Size()
	g.countRecord(r.Sequence, size)
	s.counts.requestedBytes += int64(size)
	s.recordBytes += int64(size)
	key := string(r.Key)
	if r.Kind == format.KindDelete {
		s.counts.deletes++
		g.tombstoneBytes += int64(size)
		if old, ok := s.index.Delete(key); ok {
			old.seg.deadBytes += int64(old.size)
			s.liveBytes -= int64(old.size)
			s.indexBytes -= indexCost(len(key))
		}
		return
	}
	s.counts.puts++
	s.liveBytes += int64(size)
	if old, ok := s.index.Set(key, location{g, r.Sequence, r.ExpiryMillis, uint32(off), uint32(size)}); ok {
		old.seg.deadBytes += int64(old.size)
		s.liveBytes -= int64(old.size)
	} else {
		s.indexBytes += indexCost(len(key))
	}
	if r.ExpiryMillis != 0 && (s.nextExpiry == 0 || r.ExpiryMillis < s.nextExpiry) {
		s.nextExpiry = r.ExpiryMillis
	}
}
