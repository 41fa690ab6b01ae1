package node

import (
	"crypto/sha256"
	"fmt"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Request is one attempt of a request, as read by a front end.
type Request struct {
	ID             string // unique for every attempt; identifies the run to the runner
	Class          int    // index into logic.Settings.Classes
	Tenant         int    // index into logic.Settings.Tenants; -1: unknown
	MemoryKB       float64
	WorkHint       time.Duration // the caller's estimate of its CPU time; 0: none
	PriorityRank   float64       // rank by priority, from 0 to just under 1
	Retry          bool          // marked as a retry or a hedged request
	CallerID       int
	ArrivedAt      time.Time     // when it reached the machine, by the caller's or the front end's clock
	AttemptTimeout time.Duration // how long the caller waits from ArrivedAt, at most the class's timeout; 0: unknown
	IdempotencyKey string        // the same for all attempts of one keyed request
	// Idempotency is that under which the front end has read the request. If it is Idempotent, that of the class at
	// Submit counts.
	Idempotency logic.Idempotency
	Body        []byte
	Content     []byte // the part that is the same in all attempts of one keyed request, without the key
	Runner      Runner
	Protocol    string // the front end's protocol, the only one that can read the result
}

// stage is the state of a request in its life cycle.
type stage int

const (
	stageQueued         stage = iota // reported to admission; it has no run
	stageCoalesced                   // waits for the result of another attempt's run
	stageRecording                   // waits for the record of its start to be durable; it has no run yet
	stageRunning                     // its run was started and has not ended
	stageInOtherProcess              // waits for its key's run in another process; not reported to admission
	stageEnded
)

// request is one attempt in flight, from when it is read until it is answered and its run has ended.
type request struct {
	Request
	number          uint64    // identifies it to admission
	readAt          time.Time // when it was completely read, by this machine's clock
	stampedAt       time.Time // ArrivedAt as submitted, even if ahead of this machine's clock
	stage           stage
	settled         bool // answered or canceled, so that no response is due
	reply           func(Response)
	deadline        time.Time
	deadlineTimer   clock.Timer
	recordTimer     clock.Timer // stageRecording: withdraws the start when it expires
	reportedAt      time.Time   // when it was reported to admission
	paused          bool
	unconfirmed     bool   // the runner may have missed the last command, so the run's end may never be reported
	responseStarted bool   // part of its response was passed to the caller
	callNotice      uint64 // the notice that requested the call that its run waits for; 0: none
	callBody        []byte
	callInFlight    bool
	fingerprint     [sha256.Size]byte // of a keyed request
	window          time.Duration     // of its key, when the request was read
}

// newRequest returns the request in flight for an attempt, which is not registered yet. Its deadline is that of its
// class or of its caller, whichever is earlier, but not before now.
func (n *Node) newRequest(attempt Request, reply func(Response), now time.Time) *request {
	stampedAt := attempt.ArrivedAt
	if attempt.ArrivedAt.After(now) {
		attempt.ArrivedAt = now // a caller's clock that is ahead must not extend the deadline
	}
	class := &n.opts.Settings.Classes[attempt.Class]
	if attempt.Idempotency == logic.Idempotent {
		attempt.Idempotency = class.Idempotency
	}
	r := &request{
		Request:   attempt,
		reply:     reply,
		readAt:    now,
		stampedAt: stampedAt,
		deadline:  attempt.ArrivedAt.Add(duration(class.ClientTimeout)),
	}
	callerDeadline := attempt.ArrivedAt.Add(attempt.AttemptTimeout)
	if attempt.AttemptTimeout > 0 && callerDeadline.Before(r.deadline) {
		r.deadline = callerDeadline
	}
	if r.deadline.Before(now) {
		r.deadline = now
	}
	n.applyKeyScope(r)
	return r
}

// fingerprintOf returns the SHA-256 of the class name and the content, which distinguishes requests with the same key.
func fingerprintOf(class string, attempt *Request) [sha256.Size]byte {
	h := sha256.New()
	_, _ = fmt.Fprintln(h, class)
	h.Write(attempt.Content)
	return [sha256.Size]byte(h.Sum(nil))
}

// remainingTimeout returns how long the caller still waits, or 0 if its timeout is unknown.
func (r *request) remainingTimeout(now time.Time) logic.Micros {
	if r.AttemptTimeout <= 0 {
		return 0
	}
	return max(1, logic.Micros(r.ArrivedAt.Add(r.AttemptTimeout).Sub(now)/time.Microsecond))
}
