package node

import (
	"crypto/sha256"
	"errors"
	"time"

	"sloehitch/logic"
)

// RunRecord is the journal's record of a keyed request that was started.
type RunRecord struct {
	Key          string
	Class        string // class name
	Fingerprint  [sha256.Size]byte
	ArrivedAt    time.Time     // when the attempt that ran reached the machine; start of the window
	Window       time.Duration // time from ArrivedAt within which the key must not run again
	RequestID    string        // ID of the attempt that ran
	Ended        bool          // the run has ended
	Succeeded    bool          // the run has succeeded
	ResultStored bool          // Result holds the result of the run
	Result       []byte
	Protocol     string // protocol that can read Result
}

// Journal durably records which keyed requests were started, for later processes. Its methods must not block.
type Journal interface {
	// RecordStart makes the start of a run durable. It calls done once, from another goroutine, when the record is
	// durable or could not be written (ErrKeyHeld: see SharedJournal). If RecordStart returns an error, nothing was
	// written and done is not called.
	RecordStart(record RunRecord, done func(error)) error
	// RecordEnd records the end of a run.
	RecordEnd(record RunRecord)
	// Withdraw revokes a RecordStart, durable or not, whose run was not started.
	Withdraw(record RunRecord)
}

// runRecord returns the record of a request's start.
func (n *Node) runRecord(r *request) RunRecord {
	return RunRecord{
		Key:         r.IdempotencyKey,
		Class:       n.opts.Settings.Classes[r.Class].Name,
		Fingerprint: r.fingerprint,
		ArrivedAt:   r.stampedAt,
		Window:      n.windowOf(r),
		RequestID:   r.ID,
		Protocol:    r.Protocol,
	}
}

// Restore adds the record of a run in an earlier process to the key table. It must be called before the first Submit. A
// run that was started and has no recorded end counts as ended without a result, since it may have run.
func (n *Node) Restore(record RunRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	class := -1
	for i := range n.opts.Settings.Classes {
		if n.opts.Settings.Classes[i].Name == record.Class {
			class = i
		}
	}
	// The owner only carries its key and protocol: it is not in flight and has no runner.
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
	// Without space for the result, retries fail like those of a run without a recorded end.
	if record.Succeeded && record.ResultStored {
		e.succeeded = n.keys.storeResult(e, record.Result, n.opts.Limits.StoredResultBytes)
	}
	n.keys.entries[record.Key] = e
	n.counts.Restored++
}

// errRecordTimeout is the error for a start that did not become durable in time.
var errRecordTimeout = errors.New("start not durable within the record timeout or by the request's deadline")

// recordStart has the journal make a start durable, after which the run is started. A start that is not durable within
// limits.RecordTimeout, or by the request's deadline, is withdrawn.
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

// startRecorded starts a request whose start is durable. If err is not nil, the start could not be made durable.
func (n *Node) startRecorded(number uint64, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byNumber[number]
	if r == nil || r.stage != stageRecording {
		return // the start was withdrawn
	}
	switch {
	case errors.Is(err, ErrKeyHeld):
		n.keyTakenByOtherProcess(r)
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

// withdrawStart answers a request whose start is being recorded and releases its key: it has not run and will not run.
func (n *Node) withdrawStart(r *request, response Response) {
	n.returnToQueue(r)
	n.opts.Journal.Withdraw(n.runRecord(r))
	n.respond(r, response)
	n.finishRun(r, logic.OutcomeNotStarted, 0, nil)
}

// returnToQueue returns a request whose start is being recorded to the queue and marks its key as not started.
func (n *Node) returnToQueue(r *request) {
	if r.recordTimer != nil {
		r.recordTimer.Stop()
	}
	r.stage = stageQueued
	if e := n.keys.entries[r.IdempotencyKey]; e != nil && e.owner == r {
		e.started = false
	}
}
