package ledger

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
	"sloehitch/internal/ledger/plan"
)

// writeLoop is the only goroutine that writes to the active segment. It returns once the queue is closed and empty.
func (s *Store) writeLoop() {
	committed := make(chan struct{})
	s.background.Go(func() { s.writer.runCallbacks(committed) })
	s.background.Go(func() {
		s.indexLoop()
		close(committed)
	})
	defer close(s.writer.durable)
	every := s.opts.Limits.ClockMarkInterval
	if f := s.opts.FlushInterval; f > 0 {
		every = min(every, f)
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	tick := ticker.C
	if s.opts.Manual && s.opts.FlushInterval == 0 {
		tick = nil
	}
	for {
		group, ok := s.nextGroup(tick)
		if !ok {
			break
		}
		if len(group) == 0 {
			s.onTick()
			continue
		}
		s.commit(group)
	}
	s.finishLog()
}

// onTick flushes the written groups that are not flushed yet, and advances the clock mark if a key has expired.
func (s *Store) onTick() {
	if s.Err() != nil {
		return
	}
	s.mu.RLock()
	nextExpiry := s.nextExpiry
	s.mu.RUnlock()
	now := s.opts.Now().UnixMilli()
	markDue := now >= s.writer.writtenMark+s.opts.Limits.ClockMarkInterval.Milliseconds()
	if nextExpiry != 0 && nextExpiry <= now && markDue && !s.opts.Manual {
		s.commit(nil)
	} else {
		_ = s.flush() // markBroken stored the error, and later writes return it
	}
}

// finishLog flushes all written groups and appends an empty group that records the flushed offset.
func (s *Store) finishLog() {
	if s.Err() == nil {
		s.commit(nil)
	}
	_ = s.flush() // with a FlushInterval acknowledged writes may be lost, as documented; the error was logged
}

// commit writes a group to the active segment, flushes it if required, and passes it to indexLoop, which notifies its writers.
func (s *Store) commit(group []*pending) {
	if err := s.Err(); err != nil {
		notify(group, err)
		return
	}
	began := time.Now() // monotonic
	if err := s.rotateIfDue(group); err != nil {
		notify(group, err)
		return
	}
	group = s.admitToIndex(group)
	w, g := &s.writer, s.active
	mark := max(w.writtenMark, s.opts.Now().UnixMilli())
	encoded := s.encodeGroup(group, mark)
	if _, err := g.file.WriteAt(encoded, g.size); err != nil {
		notify(group, s.rollBackWrite(err))
		return
	}
	firstRecord := g.size + format.GroupRecordSize
	s.mu.Lock()
	g.size += int64(len(encoded))
	s.counts.groups++
	s.counts.writtenBytes += int64(len(encoded))
	s.mu.Unlock()
	w.writtenMark = mark
	if s.mustFlush(group) {
		if err := s.flush(); err != nil {
			notify(group, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
			return
		}
	}
	// The writers of this group have not been notified yet, so the batches queued now are from other writers.
	w.mu.Lock()
	queued := len(w.queue)
	w.mu.Unlock()
	w.groupCommit.RecordFlush(len(group), queued, time.Since(began))
	w.unindexed.Add(1)
	w.durable <- durableGroup{group, g, firstRecord}
	s.stallForCompaction()
}

// rotateIfDue starts a new active segment if the current one is full or a request in the group seals it.
func (s *Store) rotateIfDue(group []*pending) error {
	seal := slices.ContainsFunc(group, func(p *pending) bool { return p.seal }) && s.writer.activeRecords > 0
	if s.active.size < s.opts.Limits.SegmentBytes && !seal {
		return nil
	}
	return s.rotate()
}

// encodeGroup assigns sequence numbers to the records of a group and encodes them for the end of the active segment. The bytes
// are valid until the next call.
func (s *Store) encodeGroup(group []*pending, clockMark int64) []byte {
	w, g := &s.writer, s.active
	b := format.AppendGroup(w.buf[:0], g.salt, g.size, w.flushedOffset, clockMark)
	for _, p := range group {
		for i := range p.records {
			r := &p.records[i]
			w.lastSequence++
			w.activeRecords++
			r.Sequence, r.BatchContinues = w.lastSequence, i < len(p.records)-1
			b = format.AppendRecord(b, g.salt, g.size+int64(len(b)), r)
		}
	}
	w.buf = b
	if cap(w.buf) > 2*s.opts.Limits.GroupBytes {
		w.buf = nil // don't retain the memory of one large batch
	}
	return b
}

// mustFlush reports whether a group must be flushed before its writers are notified.
func (s *Store) mustFlush(group []*pending) bool {
	return s.opts.FlushInterval == 0 || len(group) == 0 || slices.ContainsFunc(group, func(p *pending) bool { return p.flush })
}

// stallForCompaction pauses the writing goroutine for plan.WriteStall if a compaction is running.
func (s *Store) stallForCompaction() {
	if !s.compactionRunning.Load() {
		return
	}
	bytes, share := s.garbageShare()
	if stall := plan.WriteStall(bytes, share, s.compactionOptions()); stall > 0 {
		time.Sleep(stall)
	}
}

// notify reports the outcome of a group to its writers.
func notify(group []*pending, err error) {
	for _, p := range group {
		p.done(err)
	}
}

// flush makes all written groups durable.
func (s *Store) flush() error {
	w := &s.writer
	if w.flushedOffset == s.active.size || s.Err() != nil {
		return s.Err()
	}
	if err := s.active.file.Sync(); err != nil {
		return s.markBroken(err)
	}
	w.flushedOffset = s.active.size
	s.mu.Lock()
	s.clockMark = w.writtenMark
	s.counts.flushes++
	s.mu.Unlock()
	return nil
}

// rollBackWrite truncates the segment to its size before a failed write, and returns the error for the writers.
func (s *Store) rollBackWrite(cause error) error {
	// Without the truncation, a recovery could read leftover bytes as records after a later, shorter group.
	err := s.active.file.Truncate(s.active.size)
	if err == nil {
		err = s.active.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, s.markBroken(errors.Join(cause, err)))
	}
	s.writer.flushedOffset = s.active.size
	return notWritten(cause)
}

// notWritten wraps the error of an operation that changed nothing in ErrNotWritten, and also in ErrDiskFull if the disk is full.
func notWritten(cause error) error {
	if disk.IsDiskFull(cause) {
		return fmt.Errorf("%w: %w: %w", ErrNotWritten, ErrDiskFull, cause)
	}
	return fmt.Errorf("%w: %w", ErrNotWritten, cause)
}
