package keystore

import (
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/idempotency/keystore/format"
	"sloehitch/internal/node"
)

// Claiming a key. Records are written under the folder's lock, after all that other processes wrote before was read,
// and are numbered in that order. Of each queued record, with B the bytes of all segments and Bmax =
// limits.KeyStore.TotalBytes:
//
//	start, another process holds the key   node.ErrKeyHeld, until arrival + window + RetentionMargin or withdrawal
//	start, B >= Bmax                       ErrFull, until Sweep drops expired segments: the node rejects the request
//	start otherwise                        written: this process holds the key
//	end or withdrawal of a key held here   written, whatever B is
//	result, B >= 0.75 * Bmax               left out: room for claims goes first, as without one a request can't run
//
// A start counts once its record is complete in the file; one that was cut by a full disk does not.

// ErrFull is reported for a start while the folder holds as many bytes as it may, until Sweep drops expired segments.
var ErrFull = errors.New("keystore: the folder is full")

// ErrQueueFull is returned for a start while too many records wait to be written.
var ErrQueueFull = errors.New("keystore: too many records are queued")

// ErrClosed is returned for a start after Close.
var ErrClosed = errors.New("keystore: closed")

// errNotHeld is the result of an end or withdrawal of a key that this process does not hold.
var errNotHeld = errors.New("keystore: the key is not held by this process")

// recordOverhead is about the bytes of a record without its result.
const recordOverhead = 96

// resultsMaxPercent is the part of limits.KeyStore.TotalBytes beyond which results are left out.
const resultsMaxPercent = 75

// pendingWrite is a record that waits to be written.
type pendingWrite struct {
	record format.Record
	done   func(error) // of a start; nil otherwise
}

// RecordStart claims record's key. It calls done from another goroutine: with nil once this process holds the key,
// with node.ErrKeyHeld if another one does, and with another error if that is unknown. It returns ErrQueueFull
// if too many records are queued and ErrClosed after Close, and does not call done then.
func (s *Store) RecordStart(record node.RunRecord, done func(error)) error {
	return s.enqueue(pendingWrite{format.Record{
		Kind:        format.KindStarted,
		ID:          keyID(record),
		ExpiresAt:   s.expiresAt(record),
		Fingerprint: record.Fingerprint,
	}, done})
}

// RecordEnd records how the run of a key held by this process ended, with its result if that is no longer than
// limits.KeyStore.ResultBytes. Without the result an attempt that comes to another process fails.
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
	_ = s.enqueue(pendingWrite{record: r}) // closed: nobody waits
}

// Withdraw releases a key held by this process under which nothing ran.
func (s *Store) Withdraw(record node.RunRecord) {
	_ = s.enqueue(pendingWrite{record: format.Record{
		Kind:      format.KindWithdrawn,
		ID:        keyID(record),
		ExpiresAt: s.expiresAt(record),
	}})
}

// enqueue hands a record to writeLoop. Ends and withdrawals are not bounded: there are no more of them than starts.
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

// writeLoop writes queued records, sweeps when asked to, and reads the others' segments while there are watchers for
// them, until Close.
func (s *Store) writeLoop() {
	defer close(s.writerDone)
	poll := time.NewTimer(time.Hour)
	defer poll.Stop()
	for {
		select {
		case <-s.stop:
			s.flush(nil)
			return
		case swept := <-s.sweeps:
			s.flush(s.sweep)
			close(swept)
		case <-s.wake:
		case <-poll.C:
		}
		s.flush(nil)
		s.mu.Lock()
		if len(s.watchers) > 0 {
			s.refresh()
			poll.Reset(s.opts.Limits.PollInterval)
		}
		s.mu.Unlock()
	}
}

// flush writes all that is queued under the folder's lock, and then calls also, if not nil, with both locks held.
func (s *Store) flush(also func()) {
	s.mu.Lock()
	empty := len(s.queue) == 0
	s.mu.Unlock()
	if empty && also == nil {
		return
	}
	err := s.folder.acquireLock()
	s.mu.Lock()
	queue := s.queue
	s.queue = nil
	var results []error
	if err == nil {
		// Unless all that the others hold is known no key can be said to be free.
		if err = s.readPeers(s.folder.generationChanged()); err == nil {
			results = s.appendWrites(queue)
		}
		if also != nil {
			also()
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

// appendWrites writes the records that may be written, and returns the result of each. The caller holds both locks and
// has read all that others wrote.
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
			s.undoRunning(r)
		}
	}
	if err != nil {
		s.log.Warn("key records were not written", err)
	}
	return results
}

// admitWrites decides which records are written. It numbers those, sets the results of the others, and returns the
// number of those that are written.
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
		s.noteRunning(r) // at once: the next record may be of the same key
		s.longestRetention = max(s.longestRetention, time.Duration(r.ExpiresAt-now.UnixNano()))
	}
	s.peers.table.ObserveSeq(seq)
	return admitted
}

// checkWrite says why a record must not be written; nil: it may be. bytes is the size of all segments.
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

// noteRunning notes what a record that is to be written says of its key: whether this process holds it and its run
// has not ended.
func (s *Store) noteRunning(r *format.Record) {
	if r.Kind == format.KindStarted {
		s.runningKeys[r.ID] = true
	} else {
		delete(s.runningKeys, r.ID)
	}
}

// undoRunning undoes noteRunning for a record that was not written: a key that could not be released stays held,
// as the other processes see it.
func (s *Store) undoRunning(r *format.Record) {
	if r.Kind == format.KindStarted {
		delete(s.runningKeys, r.ID)
	} else {
		s.runningKeys[r.ID] = true
	}
}

// segmentAgeDivisor is the part of the longest retention for which a segment is written to at least.
const segmentAgeDivisor = 16

// writableSegment returns the own segment to write to: a new one if the last one is too long, too old or cut.
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
	s.folder.generation++ // this process's own change; those of others were read before
	s.ownSegments, s.newestCreatedAt = append(s.ownSegments, created), now
	return created, nil
}
