package ledger

import (
	"fmt"
	"time"
	"unsafe"

	"sloehitch/internal/ledger/format"
	"sloehitch/internal/ledger/plan"
)

// rewriter writes the live records of segments to new, cold segments. It is not safe for concurrent use.
type rewriter struct {
	store              *Store
	minSequenceOutside uint64 // the lowest sequence number outside the compaction
	report             *Compaction
	writer             *coldWriter // nil while no segment is open for writing
	out                []*segment
	unflushedBytes     int // uncompressed bytes written since the last flush
}

// rewrite writes the live records of the given segments to new segments, makes these durable and verifies them. It returns the
// new segments even on an error.
func (s *Store) rewrite(in []*segment, minSequenceOutside uint64, c *Compaction, reportProgress bool) ([]*segment, error) {
	w := &rewriter{store: s, minSequenceOutside: minSequenceOutside, report: c}
	var read, total int64
	for _, g := range in {
		total += g.size
	}
	for _, g := range in {
		if _, err := g.scan(s.opts.Limits.ValueBytes, w.copyRecord); err != nil {
			return w.out, fmt.Errorf("compacting %s: %w", g.name, err)
		}
		read += g.size
		if reportProgress {
			s.opts.Progress("compact", read, total)
		}
		c.SegmentsRead++
		c.BytesBefore += g.size
	}
	if err := w.finishSegment(); err != nil {
		return w.out, notWritten(err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return w.out, err
	}
	return w.out, w.verify()
}

// copyRecord copies a record of an old segment, writes a tombstone for it or drops it, as plan.DecideRecord decides.
func (w *rewriter) copyRecord(_ int64, r *format.Record) error {
	if r.Kind == format.KindGroup {
		return nil
	}
	kept := *r
	kept.BatchContinues = false // indexed records belong to complete batches
	switch w.decide(r) {
	case plan.DropRecord:
		w.report.RecordsDropped++
		return nil
	case plan.WriteTombstone:
		kept = format.Record{Kind: format.KindDelete, Sequence: r.Sequence, Key: r.Key}
		w.report.TombstonesWritten++
	case plan.KeepRecord:
		w.report.RecordsKept++
	}
	if err := w.ensureWriter(); err != nil {
		return err
	}
	_, err := w.writer.add(&kept)
	if kept.Kind == format.KindDelete {
		w.writer.tombstoneBytes += int64(kept.Size())
	}
	return err
}

// decide looks up a record in the index and applies plan.DecideRecord to it.
func (w *rewriter) decide(r *format.Record) plan.RecordAction {
	s := w.store
	s.mu.RLock()
	newest, exists := s.index.Get(unsafeString(r.Key))
	mark := s.clockMark
	s.mu.RUnlock()
	indexed := exists && newest.sequence == r.Sequence
	record := plan.Record{
		Put:          r.Kind == format.KindPut,
		Sequence:     r.Sequence,
		Indexed:      indexed,
		Superseded:   exists && !indexed,
		ExpiryMillis: r.ExpiryMillis,
	}
	return plan.DecideRecord(record, mark, w.minSequenceOutside)
}

// ensureWriter starts a new segment if none is open for writing or the current one is full.
func (w *rewriter) ensureWriter() error {
	s := w.store
	if w.writer != nil && w.writer.rawOffset >= s.opts.Limits.SegmentBytes {
		if err := w.finishSegment(); err != nil {
			return err
		}
	}
	if w.writer != nil {
		return nil
	}
	writer, err := newColdWriter(s.fs, s.id, s.allocateSegmentNumber(), s.opts.Limits.BlockBytes, w.afterBlock)
	if err != nil {
		return err
	}
	w.writer = writer
	w.out = append(w.out, writer.segment)
	return nil
}

// finishSegment writes the last block of the current segment and flushes it.
func (w *rewriter) finishSegment() error {
	if w.writer == nil {
		return nil
	}
	err := w.writer.flushBlock()
	if err == nil {
		err = w.writer.file.Sync()
	}
	_ = w.writer.enc.Close() // cannot lose data: EncodeAll buffers nothing between calls
	w.writer = nil
	return err
}

// afterBlock pauses and flushes after every CompactionFlushBytes of limits.Ledger, because the flushes of writers would have to
// wait for one large flush.
func (w *rewriter) afterBlock() error {
	s := w.store
	if s.isClosed() {
		return ErrClosed
	}
	if w.unflushedBytes += s.opts.Limits.BlockBytes; w.unflushedBytes < s.opts.Limits.CompactionFlushBytes {
		return nil
	}
	w.unflushedBytes = 0
	_, share := s.garbageShare()
	time.Sleep(plan.CompactionPause(share, s.compactionOptions()))
	return w.writer.file.Sync()
}

// verify reads all new segments once and adds them to the report.
func (w *rewriter) verify() error {
	for _, g := range w.out {
		if end, err := g.scan(w.store.opts.Limits.ValueBytes, func(int64, *format.Record) error { return nil }); err != nil {
			return newDamageError(g.name, end, "segment written by a compaction cannot be read back: %v", err)
		}
		w.report.SegmentsWritten++
		w.report.BytesAfter += g.size
	}
	return nil
}

// unsafeString returns a string that shares the bytes of b, for a look-up that does not retain it. Copying every key would produce
// garbage whose collection slows down the writers.
func unsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }
