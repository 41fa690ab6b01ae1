package keystore

import (
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/idempotency/keystore/format"
	"sloehitch/internal/node"
)

// Rules for claiming a key. Records are written under the folder's lock, after all earlier records of other
// processes were read, and are numbered in that order. With B the size of all segments and Bmax =
// limits.KeyStore.TotalBytes, a queued record is handled as follows:
//
//	start, another process holds the key   node.ErrKeyHeld, until arrival + window + RetentionMargin or withdrawal
//	start, B >= Bmax                       ErrFull, until Sweep drops expired segments: the node rejects the request
//	start otherwise                        written: this process holds the key
//	end or withdrawal of a key held here   written, whatever B is
//	result, B >= 0.75 * Bmax               left out: claims have priority, since a request can't run without one
//
// A start takes effect once its record is complete in the file. A record that was truncated because the disk was
// full has no effect.

// ErrFull is reported for a start while the folder has reached its maximum size, until Sweep drops expired segments.
var ErrFull = errors.New("keystore: folder has reached its maximum size")

// ErrQueueFull is returned for a start while too many records are queued.
var ErrQueueFull = errors.New("keystore: too many records queued for writing")

// ErrClosed is returned for a start after Close.
var ErrClosed = errors.New("keystore: store is closed")

// errNotHeld is the result of an end or withdrawal of a key that this process does not hold.
var errNotHeld = errors.New("keystore: the key is not held by this process")

// recordOverhead is the approximate size of a record without its result, in bytes.
const recordOverhead = 96

// resultsMaxPercent is the share of limits.KeyStore.TotalBytes from which on results are left out, in percent.
const resultsMaxPercent = 75

// pendingWrite is a queued record.
type pendingWrite struct {
	record format.Record
	done   func(error) // callback of a start; nil for other records
}

// RecordStart claims record's key. It calls done from another goroutine: with nil once this process holds the key,
// with node.ErrKeyHeld if another process holds it, and with another error if the key could not be claimed. It
// returns ErrQueueFull if too many records are queued and ErrClosed after Close; in these cases it does not call
// done.
func (s *Store) RecordStart(record node.RunRecord, done func(error)) error {
	return s.enqueue(pendingWrite{format.Record{
		Kind:        format.KindStarted,
		ID:          keyID(record),
		ExpiresAt:   s.expiresAt(record),
		Fingerprint: record.Fingerprint,
	}, done})
}

// RecordEnd records how the run of a key held by this process ended, with its result if that is not longer than
// limits.KeyStore.ResultBytes. An attempt that reaches another process fails if the result is missing.
func (s *Store) RecordEnd(record node.RunRecord) {
	r := format.Record{
		Kind:        format.KindEnded,
		ID:          keyID(record),
		ExpiresAt:   s.expiresAt(record),
		Fingerprint: record.Fingerprint,
		Succeeded:   record.Succeeded,
		Protocol:    record.Protocol,
	}
	if r.ResultStored = record.ResultStored && len(record.Result) <= s.opts.Limits.ResultBytes; r.ResultStored {
		r.Result = record.Result
	}
	_ = s.enqueue(pendingWrite{record: r}) // the only error is ErrClosed, and no caller waits
}

// Withdraw releases a key held by this process whose run was not started.
func (s *Store) Withdraw(record node.RunRecord) {
	_ = s.enqueue(pendingWrite{record: format.Record{
		Kind:      format.KindWithdrawn,
		ID:        keyID(record),
		ExpiresAt: s.expiresAt(record),
	}})
}

// enqueue queues a record for writeLoop. The number of queued ends and withdrawals is not limited, since there are
// no more of them than starts.
func (s *Store) enqueue(w pendingWrite) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if w.done != nil && len(s.queue) >= s.opts.Limits.QueuedRecords {
		return ErrQueueFull
	}
	s.queue = append(s.queue, w)
	s.wakeWriter()
	return nil
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes queued records, sweeps on request, and polls the other processes' segments while there are
// watchers, until Close.
func (s *Store) writeLoop() {
	defer close(s.writerDone)
	poll := time.NewTimer(time.Hour)
	defer poll.Stop()
	for {
		select {
		case <-s.stop:
			s.writeQueue(nil)
			return
		case swept := <-s.sweeps:
			s.writeQueue(s.sweep)
			close(swept)
		case <-s.wake:
		case <-poll.C:
		}
		s.writeQueue(nil)
		s.mu.Lock()
		if len(s.watchers) > 0 {
			s.refresh()
			poll.Reset(s.opts.Limits.PollInterval)
		}
		s.mu.Unlock()
	}
}

// writeQueue writes all queued records under the folder's lock. If underLocks is not nil, writeQueue then calls it with
// the folder's lock and mu held.
func (s *Store) writeQueue(underLocks func()) {
	s.mu.Lock()
	empty := len(s.queue) == 0
	s.mu.Unlock()
	if empty && underLocks == nil {
		return
	}
	err := s.folder.acquireLock()
	s.mu.Lock()
	queue := s.queue
	s.queue = nil
	var results []error
	if err == nil {
		// A key is known to be free only if all records of the other processes were read.
		if err = s.readPeers(s.folder.generationChanged()); err == nil {
			results = s.appendWrites(queue)
		}
		if underLocks != nil {
			underLocks()
		}
	}
	s.mu.Unlock()
	s.folder.releaseLock()
	for i, w := range queue {
		if w.done == nil {
			continue
		}
		if err != nil {
			w.done(err)
		} else {
			w.done(results[i])
		}
	}
}

// appendWrites writes the records that are admitted, and returns the result for each record. The caller holds both
// locks and has read all records of other processes.
func (s *Store) appendWrites(writes []pendingWrite) []error {
	results := make([]error, len(writes))
	now := s.opts.Now()
	if s.admitWrites(writes, results, now) == 0 {
		return results
	}
	seg, err := s.writableSegment(now)
	written, ends := 0, make([]int, len(writes))
	if err == nil {
		var text []byte
		for i := range writes {
			if results[i] == nil {
				text = seg.salt.AppendRecord(text, writes[i].record)
				ends[i] = len(text)
			}
		}
		written, err = seg.append(text)
	}
	for i := range writes {
		if results[i] != nil {
			continue
		}
		if r := &writes[i].record; seg != nil && ends[i] <= written {
			seg.expiresAt = max(seg.expiresAt, r.ExpiresAt)
		} else {
			results[i] = err
			s.revertRunning(r)
		}
	}
	if err != nil {
		s.log.Warn("key records not written", err)
	}
	return results
}

// admitWrites decides which records are written. It numbers these, sets the results of the others, and returns how
// many are to be written.
func (s *Store) admitWrites(writes []pendingWrite, results []error, now time.Time) (admitted int) {
	seq, bytes := s.peers.table.LastSeq(), s.totalBytes()
	for i := range writes {
		r := &writes[i].record
		if results[i] = s.checkWrite(r, bytes, now); results[i] != nil {
			continue
		}
		if bytes >= s.opts.Limits.TotalBytes*resultsMaxPercent/100 {
			r.ResultStored, r.Result = false, nil
		}
		seq++
		r.Seq = seq
		bytes += int64(len(r.Result)) + recordOverhead
		admitted++
		s.markRunning(r) // before the write, since the next record may be of the same key
		s.longestRetention = max(s.longestRetention, time.Duration(r.ExpiresAt-now.UnixNano()))
	}
	s.peers.table.ObserveSeq(seq)
	return admitted
}

// checkWrite returns an error if a record must not be written. bytes is the size of all segments.
func (s *Store) checkWrite(r *format.Record, bytes int64, now time.Time) error {
	if r.Kind != format.KindStarted {
		if !s.runningKeys[r.ID] {
			return errNotHeld
		}
		return nil
	}
	if _, held := s.peers.table.Lookup(r.ID, now.UnixNano()); held {
		return node.ErrKeyHeld
	}
	if bytes >= s.opts.Limits.TotalBytes {
		return ErrFull
	}
	return nil
}

// markRunning updates runningKeys for a record that is to be written: a start adds its key, an end or a withdrawal
// removes it.
func (s *Store) markRunning(r *format.Record) {
	if r.Kind == format.KindStarted {
		s.runningKeys[r.ID] = true
	} else {
		delete(s.runningKeys, r.ID)
	}
}

// revertRunning reverts markRunning for a record that was not written. A key that could not be released stays held,
// since the other processes still consider it held.
func (s *Store) revertRunning(r *format.Record) {
	if r.Kind == format.KindStarted {
		delete(s.runningKeys, r.ID)
	} else {
		s.runningKeys[r.ID] = true
	}
}

// segmentAgeDivisor divides the longest retention time; the maximum age of a segment that is appended to is at least
// the quotient.
const segmentAgeDivisor = 16

// writableSegment returns the own segment to append to. It creates a new one if the last one is too large or too
// old, or if a write to it failed.
func (s *Store) writableSegment(now time.Time) (*segment, error) {
	var last *segment
	if len(s.ownSegments) > 0 {
		last = s.ownSegments[len(s.ownSegments)-1]
	}
	maxAge := max(s.opts.Limits.MaxSegmentAge, s.longestRetention/segmentAgeDivisor)
	age := now.Sub(s.newestCreatedAt) // negative if the clock was set back
	if last != nil && last.file != nil && last.size < s.opts.Limits.SegmentBytes && age >= 0 && age <= maxAge {
		return last, nil
	}
	created, err := s.folder.createSegment(s.lastOrder + 1)
	if err != nil {
		return nil, fmt.Errorf("keystore: %w", err)
	}
	if last != nil {
		last.closeFile()
	}
	s.lastOrder++
	s.folder.generation++ // counts this process's own change; changes by others were read before
	s.ownSegments, s.newestCreatedAt = append(s.ownSegments, created), now
	return created, nil
}
