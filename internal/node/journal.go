package node

import (
	"crypto/sha256"
	"errors"
	"time"

	"sloehitch/logic"
)

// RunRecord is what outlives the process of a keyed request that began to run.
type RunRecord struct {
	Key          string
	Class        string // its name
	Fingerprint  [sha256.Size]byte
	ArrivedAt    time.Time // when the try that ran reached the machine; the window counts from there
	Window       time.Duration
	RequestID    string // the id of that try
	Ended        bool   // its run is over
	Succeeded    bool   // and went well
	ResultStored bool   // and this is its result, as the front of that name gave it
	Result       []byte
	Protocol     string
}

// Journal keeps bookings beyond the life of the process. Its methods must not block.
type Journal interface {
	// RecordStart makes a booking durable and calls done from another goroutine once it is, or can't be (ErrTaken: see Sharer). Where
	// it returns an error nothing was written and done is not called.
	RecordStart(b RunRecord, done func(error)) error
	// RecordEnd notes that the run is over.
	RecordEnd(b RunRecord)
	// Withdraw takes back a Began, durable or not, of which nothing was started.
	Withdraw(b RunRecord)
}

// runRecord is what the journal is to keep of a request.
func (n *Node) runRecord(r *request) RunRecord {
	return RunRecord{Key: r.IdempotencyKey, Class: n.opts.Settings.Classes[r.Class].Name, Fingerprint: r.fingerprint, ArrivedAt: r.stampedAt,
		Window: n.keys.window(r.Class), RequestID: r.ID, Protocol: r.Protocol}
}

// answerFromEarlierProcess answers a repeat of what ran in an earlier process. There is nothing to wait for, so the module is not asked.
func (n *Node) answerFromEarlierProcess(r *request, e *keyEntry) {
	if e.succeeded && e.owner.Protocol == r.Protocol {
		n.respond(r, Response{Status: StatusServed, Result: e.result})
		return
	}
	n.respond(r, Response{Status: StatusFailed})
}

// Restore fills the table of keys with what the journal has of an earlier process. It is to be called before the first Submit.
// A booking that began and of which no end is known counts as run: nobody can tell.
func (n *Node) Restore(b RunRecord) {
	n.mu.Lock()
	defer n.mu.Unlock()
	class := -1
	for i := range n.opts.Settings.Classes {
		if n.opts.Settings.Classes[i].Name == b.Class {
			class = i
		}
	}
	// The owner is of no use but for its key: nothing of it is in hand, and no runner will hear of it.
	e := &keyEntry{owner: &request{Request: Request{ID: b.RequestID, IdempotencyKey: b.Key, Class: class, ArrivedAt: b.ArrivedAt, Protocol: b.Protocol}},
		fingerprint: b.Fingerprint, started: true, finished: true, restored: true, arrivedAt: b.ArrivedAt, window: b.Window}
	// Without room for its result repeats fail, as those of an unknown end do.
	e.succeeded = b.Succeeded && b.ResultStored && n.keys.storeResult(e, b.Result, n.opts.Limits.StoredResultBytes)
	n.keys.entries[b.Key] = e
	n.counts.Restored++
}

// recordStart asks for a booking's start to be made durable; the run is started when that is done. A start that has to
// wait too long is taken back.
func (n *Node) recordStart(r *request) {
	r.stage = stageRecording
	num := r.number
	if err := n.opts.Journal.RecordStart(n.runRecord(r), func(err error) { n.startRecorded(num, err) }); err != nil {
		n.recordFailed(r, err)
		return
	}
	wait := min(n.opts.Limits.RecordTimeout, r.deadline.Sub(n.opts.Clock.Now()))
	r.recordTimer = n.opts.Clock.AfterFunc(wait, func() { n.startRecorded(num, errRecordTimeout) })
}

// startRecorded goes on with a request whose start is durable, or can't be made so.
func (n *Node) startRecorded(num uint64, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byNumber[num]
	if r == nil || r.stage != stageRecording {
		return // taken back, and withdrawn
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

// recordFailed refuses a booking that could not be made durable in time.
func (n *Node) recordFailed(r *request, err error) {
	n.counts.RecordFailures++
	n.log.Warn("a booking was refused, as its start could not be recorded", err)
	n.withdrawStart(r, Response{Status: StatusRejected, RetryAfter: n.opts.Limits.RecordRetryAfter})
}

// withdrawStart answers a request whose start is being recorded, and lets go of its key: nothing of it has run, and nothing will.
func (n *Node) withdrawStart(r *request, a Response) {
	if r.recordTimer != nil {
		r.recordTimer.Stop()
	}
	r.stage = stageQueued
	if e := n.keys.entries[r.IdempotencyKey]; e != nil && e.owner == r {
		e.started = false
	}
	n.opts.Journal.Withdraw(n.runRecord(r))
	n.respond(r, a)
	n.finishRun(r, logic.OutcomeNotStarted, 0, nil)
}
