package ledger

import (
	"fmt"

	"sloehitch/internal/ledger/format"
)

// How the index in memory is bounded and kept up to date.
//
// A key costs its own bytes and indexEntryOverheadBytes. A batch is admitted while the cost of its new keys, less that of the
// keys that it deletes, fits in what is left of limits.Ledger's IndexBytes; a batch that needs no more memory always is.

// indexEntryOverheadBytes is what a key takes in memory beside its own bytes: its entry in the tree and the tree's slack.
const indexEntryOverheadBytes = 96

// indexCost is what a key of so many bytes takes in memory, in bytes.
func indexCost(keyBytes int) int64 { return indexEntryOverheadBytes + int64(keyBytes) }

// admitToIndex rejects the batches of a group whose new keys do not fit in the index's memory, and returns the others.
func (s *Store) admitToIndex(group []*pending) []*pending {
	s.mu.RLock()
	room := s.opts.Limits.IndexBytes - s.indexBytes
	var most int64 // the cost if every key is new
	for _, p := range group {
		for i := range p.records {
			most += indexCost(len(p.records[i].Key))
		}
	}
	if most > room { // exact figures are needed, so groups on their way into the index count too
		s.mu.RUnlock()
		s.writer.unindexed.Wait()
		s.mu.RLock()
		room = s.opts.Limits.IndexBytes - s.indexBytes
	}
	if most <= room { // the common case needs no look at each key
		s.mu.RUnlock()
		return group
	}
	admitted, rejected := s.splitByIndexSpace(group, room)
	s.mu.RUnlock()
	notify(rejected, fmt.Errorf("%w: %w (%d bytes)", ErrNotWritten, ErrIndexFull, s.opts.Limits.IndexBytes))
	return admitted
}

// splitByIndexSpace admits batches in their order while their keys fit in the bytes left; the caller holds mu.
func (s *Store) splitByIndexSpace(group []*pending, room int64) (admitted, rejected []*pending) {
	admitted = make([]*pending, 0, len(group))
	changed := map[string]bool{} // of each key that the group changes, whether it exists afterwards
	for _, p := range group {
		need := s.indexGrowth(p, changed)
		if need > room && need > 0 {
			rejected = append(rejected, p)
			continue
		}
		room -= need
		for i := range p.records {
			changed[string(p.records[i].Key)] = p.records[i].Kind == format.KindPut
		}
		admitted = append(admitted, p)
	}
	return admitted, rejected
}

// indexGrowth is by how many bytes the index grows with a batch, after the changes of the batches before it in its group;
// the caller holds mu.
func (s *Store) indexGrowth(p *pending, changed map[string]bool) (bytes int64) {
	for i := range p.records {
		r := &p.records[i]
		key := string(r.Key)
		_, exists := s.index.Get(key)
		if after, ok := changed[key]; ok {
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

// durableGroup is a group that was written, and flushed where that is due before its writers are notified.
type durableGroup struct {
	group []*pending
	seg   *segment
	off   int64 // of its first record
}

// indexLoop puts groups in the index and notifies their writers while the next group is being flushed.
func (s *Store) indexLoop() {
	for w := range s.writer.durable {
		s.indexGroup(w.group, w.seg, w.off)
		s.writer.unindexed.Done()
		notify(w.group, nil)
	}
}

// indexGroup puts a durable group in the index.
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

// indexRecord puts one record in the index; the caller holds mu.
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
