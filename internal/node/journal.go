package node

import (
	"crypto/sha256"
	"errors"
	"time"

	"sloehitch/logic"
)

// RunRecord is what is recorded of a keyed request that was started.
type RunRecord struct {
	Key          string
	Class        string // its name
	Fingerprint  [sha256.Size]byte
	ArrivedAt    time.Time     // when the attempt that ran reached the machine; the window counts from there
	Window       time.Duration // within which its key must not run again
	RequestID    string        // of that attempt
	Ended        bool          // its run has ended
	Succeeded    bool          // and went well
	ResultStored bool          // and Result is what came of it
	Result       []byte
	Protocol     string // that can read Result
}

// Journal records which keyed requests were started, beyond the life of the process. Its methods must not block.
type Journal interface {
	// RecordStart makes the start of a run durable. It calls done once, from another goroutine, when it is durable or
	// failed (with ErrKeyHeld, see SharedJournal). If RecordStart returns an error, nothing was written and done is
	// not called.
	RecordStart(record RunRecord, done func(error)) error
	// RecordEnd records the end of a run.
	RecordEnd(record RunRecord)
	// Withdraw takes back a RecordStart, durable or not, of which nothing was started.
	Withdraw(record RunRecord)
}

// runRecord is the record of a request's start.
func (n *Node) runRecord(r *request) RunRecord {
	return RunRecord{
		Key:         r.IdempotencyKey,
		Class:       n.opts.Settings.Classes[r.Class].Name,
		Fingerprint: r.fingerprint,
		ArrivedAt:   r.stampedAt,
		Window:      n.keys.window(r.Class),
		RequestID:   r.ID,
		Protocol:    r.Protocol,
	}
}

// Restore fills the key table with the record of a run in an earlier process. It is to be called before the first
// Submit. A run that was started and of which no end is on record counts as run, as it may have.
func (n *Node) Restore(record RunRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	class := -1
	for i := range n.opts.Settings.Classes {
		if n.opts.Settings.Classes[i].Name == record.Class {
			class = i
		}
	}
	// The owner stands for its key and protocol only: it is not in flight, and has no runner.
	owner := &request{Request: Request{
		ID:             record.RequestID,
		IdempotencyKey: record.Key,
		Class:          class,
		ArrivedAt:      record.ArrivedAt,
		Protocol:       record.Protocol,
	}}
	e := &keyEntry{
		owner:       owner,
		fingerprint: record.Fingerprint,
		started:     true,
		finished:    true,
		restored:    true,
		arrivedAt:   record.ArrivedAt,
		window:      record.Window,
	}
	// Without space for its result retries fail, as those of a run without a known end do.
	if record.Succeeded && record.ResultStored {
		e.succeeded = n.keys.storeResult(e, record.Result, n.opts.Limits.StoredResultBytes)
	}
	n.keys.entries[record.Key] = e
	n.counts.Restored++
}

// errRecordTimeout says that a start was not durable by the time it had to be.
var errRecordTimeout = errors.New("the disk is too slow")

// recordStart has the journal make a start durable; the run is started when that is done. A start that is not durable
// within limits.RecordTimeout, or by the request's deadline, is withdrawn.
func (n *Node) recordStart(r *request) {
	r.stage = stageRecording
	number := r.number
	if err := n.opts.Journal.RecordStart(n.runRecord(r), func(err error) { n.startRecorded(number, err) }); err != nil {
		n.recordFailed(r, err)
		return
	}
	wait := min(n.opts.Limits.RecordTimeout, r.deadline.Sub(n.opts.Clock.Now()))
	r.recordTimer = n.opts.Clock.AfterFunc(wait, func() { n.startRecorded(number, errRecordTimeout) })
}

// startRecorded continues with a request whose start is durable, or could not be made so.
func (n *Node) startRecorded(number uint64, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byNumber[number]
	if r == nil || r.stage != stageRecording {
		return // withdrawn
	}
	switch {
	case errors.Is(err, ErrKeyHeld):
		n.keyTakenElsewhere(r)
	case err != nil:
		n.recordFailed(r, err)
	default:
		n.startRun(r)
	}
}

// recordFailed rejects a request whose start could not be made durable in time.
func (n *Node) recordFailed(r *request, err error) {
	n.counts.RecordFailures++
	n.log.Warn("keyed request rejected: its start could not be recorded", err)
	n.withdrawStart(r, Response{Status: StatusRejected, RetryAfter: n.opts.Limits.RejectedRetryAfter})
}

// withdrawStart answers a request whose start is being recorded, and releases its key: nothing of it has run, and
// nothing will.
func (n *Node) withdrawStart(r *request, response Response) {
	n.unclaimStart(r)
	n.opts.Journal.Withdraw(n.runRecord(r))
	n.respond(r, response)
	n.finishRun(r, logic.OutcomeNotStarted, 0, nil)
}

// unclaimStart takes a request whose start is being recorded back to the queue.
func (n *Node) unclaimStart(r *request) {
	if r.recordTimer != nil {
		r.recordTimer.Stop()
	}
	r.stage = stageQueued
	if e := n.keys.entries[r.IdempotencyKey]; e != nil && e.owner == r {
		e.started = false
	}
}
