package node

import (
	"crypto/sha256"
	"fmt"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Request is one attempt of a request, as a front end has read it.
type Request struct {
	ID             string // new with every attempt; the runner knows the run by it
	Class          int    // index into logic.Settings.Classes
	Tenant         int    // index into logic.Settings.Tenants; -1: unknown
	MemoryKB       float64
	WorkHint       time.Duration // the caller's estimate of its CPU time; 0: none
	PriorityRank   float64       // its place by priority, from 0 to just under 1
	Retry          bool          // marked as a retry or a hedged request
	CallerID       int
	ArrivedAt      time.Time     // when it reached the machine, by the caller's or the front end's clock
	AttemptTimeout time.Duration // how long its caller waits from then, at most the class's timeout; 0: unknown
	IdempotencyKey string        // the same for all attempts of one keyed request
	Body           []byte
	Content        []byte // what all attempts of one keyed request have in common besides the key
	Runner         Runner
	Protocol       string // the front end's protocol: a result can be read by this one only
}

// stage is how far a request has come.
type stage int

const (
	stageQueued    stage = iota // admission knows it and nothing of it runs
	stageCoalesced              // it waits for the result of another attempt's run
	stageRecording              // it waits for the record of its start to be durable; nothing of it runs
	stageRunning                // its run was started and has not ended
	stageElsewhere              // it waits for its key's run in another process; admission does not know it
	stageEnded
)

// request is one attempt in flight, from its reading until it is answered and its run has ended.
type request struct {
	Request
	number          uint64    // admission's name for it
	readAt          time.Time // when it was completely read, by this machine's clock
	stampedAt       time.Time // ArrivedAt as submitted, even if ahead of this machine's clock
	stage           stage
	settled         bool // answered or canceled: no response is owed
	reply           func(Response)
	deadline        time.Time
	deadlineTimer   clock.Timer
	recordTimer     clock.Timer // stageRecording: until the start is withdrawn
	reportedAt      time.Time   // when it was reported to admission
	paused          bool
	unconfirmed     bool   // the runner may have missed the last command: the run's end may never be reported
	responseStarted bool   // part of its response is with the caller
	callNotice      uint64 // the notice that asked for the call that its run waits for; 0: none
	callBody        []byte
	callInFlight    bool
	fingerprint     [sha256.Size]byte // of a keyed request
}

// newRequest returns q as a request in flight, which is not registered yet. Its deadline is that of its class or of its
// caller, whichever is sooner, and not before now.
func (n *Node) newRequest(attempt Request, reply func(Response), now time.Time) *request {
	stampedAt := attempt.ArrivedAt
	if attempt.ArrivedAt.After(now) {
		attempt.ArrivedAt = now // a caller's clock ahead of this one must not extend its time
	}
	class := &n.opts.Settings.Classes[attempt.Class]
	if class.Idempotency != logic.IdempotentByKey {
		attempt.IdempotencyKey = ""
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
	return r
}

// fingerprintOf distinguishes requests under one key: SHA-256 of the class's name and the content.
func fingerprintOf(class string, attempt *Request) [sha256.Size]byte {
	h := sha256.New()
	_, _ = fmt.Fprintln(h, class)
	h.Write(attempt.Content)
	return [sha256.Size]byte(h.Sum(nil))
}

// remainingTimeout is how long the caller still waits; 0 where it did not say.
func (r *request) remainingTimeout(now time.Time) logic.Micros {
	if r.AttemptTimeout <= 0 {
		return 0
	}
	return max(1, logic.Micros(r.ArrivedAt.Add(r.AttemptTimeout).Sub(now)/time.Microsecond))
}
