// Package node is the core between the fronts and the work: requests, attempts and outcomes. It knows no wire.
// It keeps the rules on its own account, whatever the decision module says: one final answer for each request by
// its due time, one run for a key in its window, no run of what comes too late after the notice to leave.
package node

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
	"sloehitch/logic"
)

// Request is what a front has read.
type Request struct {
	ID             string // new with every try, and what the runner of the work is told
	Class          int
	Tenant         int // -1 if unknown
	MemoryKB       float64
	WorkHint       time.Duration
	PriorityRank   float64
	Retry          bool
	CallerID       int
	ArrivedAt      time.Time     // when it reached the machine
	AttemptTimeout time.Duration // for how long its caller waits from then; 0: not told. It caps the class's deadline
	IdempotencyKey string        // the same for all tries of one keyed request
	Body           []byte
	Content        []byte // what all tries of one keyed request have in common besides the key
	Runner         Runner
	Protocol       string // the protocol that it came by: another one's results can't be read there
}

// Status is how a request was answered.
type Status int

const (
	StatusServed   Status = iota // with the result of a run of this request
	StatusRejected               // this try never ran
	StatusFailed                 // no promise of any kind
)

// Response is the one final answer to a request.
type Response struct {
	Status           Status
	Result           []byte
	RetryAfter       time.Duration // Refused: how long to stay away
	NoFailover       bool          // Refused: no other node will help
	DeadlineExceeded bool          // Failed: its due time has come
	KeyReused        bool          // Failed: its key belongs to another request
	ResponseStarted  bool          // part of the response is with the caller: only its end is left to tell
}

// Runner does the work of requests. Its methods must not block; how runs go comes back through Ended and Wants. once says
// that a run must not be started a second time, whatever becomes of the first start.
type Runner interface {
	Start(id, class string, body []byte, once bool)
	Stop(id string)
	Resume(id string)
	DeliverReply(id string, reply []byte)
	SkipCall(id string, pos uint64)
}

// DependencyClient makes calls below. Call must not block and calls done once, unless Quit came first; once says that the call
// must not be made again if it may have run.
type DependencyClient interface {
	Call(id string, patience time.Duration, body []byte, once bool, done func(o admission.Outcome, took time.Duration, reply []byte))
	Cancel(id string)
}

// Options are what a node is made of.
type Options struct {
	Settings   logic.Settings
	Admission  *admission.Controller
	Dependency DependencyClient
	Journal    Journal // nil: what runs is known in memory only
	Clock      clock.Clock
	Limits     limits.Limits
	Log        *slog.Logger
	// ObserveLatency is told how long each served request took, from when it reached the machine; nil: nobody is. It is called with the core's lock
	// held: it must not block, nor call the core.
	ObserveLatency func(time.Duration)
}

// stage is how far a request's own work has come.
type stage int

const (
	stageQueued    stage = iota // nothing of it runs
	stageCoalesced              // it waits for the result of another try
	stageRecording              // it waits for its start to be on record; nothing of it runs
	stageRunning                // its run was asked for and has not ended
	stageElsewhere              // it waits for what comes of its key's run in another process; the module does not know it
	stageEnded
)

// request is one try in hand, from its reading until it is answered and its run is over.
type request struct {
	Request
	number          uint64    // what the module calls it
	readAt          time.Time // when it was read, which is when its last byte had come or later
	stampedAt       time.Time // when its caller says that it reached the machine, ahead of our clock or not
	stage           stage
	settled         bool // answered, or its caller is known to be gone
	canceled        bool
	reply           func(Response)
	deadline        time.Time
	deadlineTimer   clock.Timer
	recordTimer     clock.Timer // starting: for how long
	reportedAt      time.Time   // when the module was told of it
	paused          bool
	unconfirmed     bool   // the runner can't tell whether the last word to its run arrived: no end of it may ever be told
	responseStarted bool   // part of its response is with the caller
	callNotice      uint64 // the notice that asked for the call it stands at; 0: none
	callBody        []byte
	callInFlight    bool
	fingerprint     [sha256.Size]byte // of a keyed request's class and content
}

// fingerprintOf tells requests under one key apart.
func fingerprintOf(class string, q *Request) [sha256.Size]byte {
	h := sha256.New()
	fmt.Fprintln(h, class)
	h.Write(q.Content)
	return [sha256.Size]byte(h.Sum(nil))
}

// Node owns all requests in hand.
type Node struct {
	opts Options

	mu             sync.Mutex
	byID           map[string]*request
	byNumber       map[uint64]*request
	lastNumber     uint64
	keys           *keyTable
	log            *lograte.Logger
	tracing        bool      // each step of each request is logged
	drainStartedAt time.Time // when the notice to leave came; zero: it did not
	killAt         time.Time
	unanswered     int // requests that are owed an answer
	counts         Counts
	classCounts    map[string]*ClassCounts // by the name of the class
}

// New returns a node; Serve makes it work.
func New(o Options) *Node {
	n := &Node{opts: o, classCounts: map[string]*ClassCounts{}, byID: map[string]*request{}, byNumber: map[uint64]*request{},
		log: lograte.New(o.Log, o.Limits.LogInterval), tracing: tracingEnabled(o.Log)}
	// Called with n.mu held: the settings are those of the latest Retune.
	window := func(class int) time.Duration { return duration(n.opts.Settings.Classes[class].IdempotencyWindow) }
	n.keys = newKeyTable(o.Limits.MaxKeys, o.Limits.TotalStoredResultBytes, o.Limits.KeyWindowSlack, window)
	return n
}

// Reconfigure has the core and its module take new settings, as of the next request. The classes of the old settings
// must keep their places, new ones coming after them, so that each request in hand keeps its class; the tenants must
// stay (package retune makes such settings). It errs, and changes nothing, where the module would not take them.
func (n *Node) Reconfigure(s logic.Settings) error {
	if _, err := logic.New(s, 0); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.opts.Settings
	if len(s.Classes) < len(old.Classes) || len(s.Tenants) != len(old.Tenants) {
		return errors.New("retune: classes may only be added, and tenants must stay")
	}
	for i := range old.Classes {
		if s.Classes[i].Name != old.Classes[i].Name {
			return fmt.Errorf("retune: class %d is %q, was %q", i, s.Classes[i].Name, old.Classes[i].Name)
		}
	}
	n.opts.Settings = s
	n.opts.Admission.Reconfigure(s) // under n.mu: before any request of a new class is reported
	return nil
}

// KeyRetentionMargin is for how long beyond its window a key is remembered: tries are told apart by when they reached the machine, and
// may be read seconds after that.
func KeyRetentionMargin(l limits.Limits) time.Duration { return retentionSlacks * l.KeyWindowSlack }

// Run carries out what the gate decides until the gate is closed.
func (n *Node) Run() {
	for {
		d, ok := n.opts.Admission.Next()
		if !ok {
			return
		}
		n.ApplyDecision(d)
	}
}

// ApplyDecision carries out one decision of the gate: for a host whose gate carries its decisions by itself (gate.Options.Carry).
func (n *Node) ApplyDecision(d admission.Decision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.byNumber[d.ID]; r != nil {
		n.apply(r, d)
	} else if d.Kind == admission.Run || d.Kind == admission.Coalesce {
		// Its caller left, or it was answered, while the module decided to start it. The module counts it among what runs
		// until it hears of an end: without this word it would hold one run less at once for ever after.
		n.opts.Admission.Report(admission.RunEnded(d.ID, logic.OutcomeNotStarted, 0))
	}
}

// Submit takes a request that was read. reply gets its one final answer, unless Gone comes first; it must not block.
func (n *Node) Submit(q Request, reply func(Response)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	n.counts.Read++
	stamp := q.ArrivedAt
	if q.ArrivedAt.After(now) {
		q.ArrivedAt = now // a caller's clock ahead of ours must not stretch its time
	}
	class := &n.opts.Settings.Classes[q.Class]
	if class.Idempotency != logic.IdempotentByKey {
		q.IdempotencyKey = ""
	}
	r := &request{Request: q, reply: reply, readAt: now, stampedAt: stamp, deadline: q.ArrivedAt.Add(duration(class.ClientTimeout))}
	if told := q.ArrivedAt.Add(q.AttemptTimeout); q.AttemptTimeout > 0 && told.Before(r.deadline) {
		r.deadline = told
	}
	if r.deadline.Before(now) {
		r.deadline = now
	}
	if n.byID[q.ID] != nil && class.Idempotency != logic.Idempotent {
		// The first request of the name may run: a refusal would promise that it did not.
		n.trace("an id that is in hand already", r)
		n.unanswered++
		n.respond(r, Response{Status: StatusFailed})
		return
	}
	if n.byID[q.ID] != nil || len(n.byNumber) >= n.opts.Limits.MaxInFlight || class.Idempotency == logic.IdempotentByKey && q.IdempotencyKey == "" {
		// A second request of the same name, a crowd beyond our own memory, or a keyed one whose repeats could
		// not be told: it is answered and never known.
		n.unanswered++
		n.respond(r, Response{Status: StatusRejected})
		return
	}
	n.unanswered++
	n.trace("read", r, "age", now.Sub(stamp))
	if r.IdempotencyKey != "" {
		r.fingerprint = fingerprintOf(class.Name, &q)
		if e := n.keys.lookup(r); e != nil && e.fingerprint != r.fingerprint {
			// Another request under the same key: the first one's result is not its own, and neither must take the
			// other's place.
			n.respond(r, Response{Status: StatusFailed, KeyReused: true})
			return
		} else if e != nil && e.restored {
			n.answerFromEarlierProcess(r, e)
			return
		}
	}
	if n.answeredForKill(now) || n.pastDrainGrace(r) && !n.keyMayHaveRun(r) {
		// What is read now is not passed on, whenever its first byte came: the answer is there already.
		n.respond(r, Response{Status: StatusRejected, RetryAfter: duration(n.opts.Settings.MaxRetryAfter)})
		return
	}
	n.byID[q.ID] = r
	r.deadlineTimer = n.opts.Clock.AfterFunc(r.deadline.Sub(now)+n.guardDelay(), func() { n.deadlineExpired(r) })
	if r.IdempotencyKey != "" && !n.keys.started(r) && n.answerFromElsewhere(r) {
		return
	}
	n.reportArrival(r, now)
}

// guardDelay is how long past its due time the guard waits: the module answers first where it can.
func (n *Node) guardDelay() time.Duration {
	return time.Duration(n.opts.Limits.DeadlineGuardShare * float64(duration(n.opts.Settings.ResponseGrace)))
}

func duration(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }

// reportArrival tells the module of a request as of one that has just been read.
func (n *Node) reportArrival(r *request, now time.Time) {
	n.lastNumber++
	r.number, r.stage, r.reportedAt = n.lastNumber, stageQueued, now
	n.byNumber[r.number] = r
	a := admission.Arrival{Class: r.Class, Tenant: r.Tenant, MemoryKB: r.MemoryKB, WorkHint: logic.Micros(r.WorkHint / time.Microsecond),
		Age: logic.Micros(now.Sub(r.ArrivedAt) / time.Microsecond), AttemptTimeout: r.remainingTimeout(now), Retry: r.Retry, PriorityRank: r.PriorityRank, CallerID: r.CallerID}
	if r.IdempotencyKey != "" {
		if f := n.keys.original(r); f != nil {
			a.OriginalID = logic.RequestID(f.number)
		}
	}
	n.opts.Admission.Report(admission.Arrived(r.number, a))
}

// remainingTimeout is what the module is told of how long the caller still waits; 0 where it didn't say.
func (r *request) remainingTimeout(now time.Time) logic.Micros {
	if r.AttemptTimeout <= 0 {
		return 0
	}
	return max(1, logic.Micros(r.ArrivedAt.Add(r.AttemptTimeout).Sub(now)/time.Microsecond))
}

// BeginResponse tells that a run's response is about to be passed on before the run is over. It returns false if the request has been
// answered or is not running, or if its response is to be kept whole for repeats: then nothing of it may be passed on. After it the
// request's answer, which comes by its due time as ever, says only how the response is to end.
func (n *Node) BeginResponse(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.settled || r.stage != stageRunning || r.IdempotencyKey != "" {
		return false
	}
	r.responseStarted = true
	return true
}

// Cancel tells that nobody waits for a request any more.
func (n *Node) Cancel(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.settled {
		return
	}
	r.settled, r.canceled = true, true
	n.trace("its caller is gone", r)
	n.counts.Canceled++
	n.markAnswered(r)
	n.reportCanceled(r)
}

// reportCanceled tells the module that nobody waits for a request any more, and drops it if nothing of it runs.
func (n *Node) reportCanceled(r *request) {
	if r.stage == stageElsewhere {
		n.removeUnreported(r)
		return
	}
	n.opts.Admission.Report(admission.Canceled(r.number))
	if r.stage == stageQueued || r.stage == stageCoalesced {
		n.remove(r)
	}
}

// Abort answers a request at once, whatever runs: its front can't wait for more.
func (n *Node) Abort(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.byID[id]; r != nil && !r.settled {
		n.answerUndecided(r)
	}
}

// respond is the only place that makes a final answer.
func (n *Node) respond(r *request, a Response) {
	if r.settled {
		return
	}
	if a.Status == StatusRejected && (n.keyMayHaveRun(r) || n.mayHaveRun(r)) {
		a = Response{Status: StatusFailed} // it did run here: a refusal would send it to run elsewhere too
	}
	if r.responseStarted {
		if a.ResponseStarted = true; a.Status == StatusRejected {
			a = Response{Status: StatusFailed, ResponseStarted: true}
		}
	}
	r.settled = true
	switch a.Status {
	case StatusServed:
		n.counts.Served++
		n.countsOf(r).Served++
		if n.opts.ObserveLatency != nil {
			n.opts.ObserveLatency(n.opts.Clock.Now().Sub(r.ArrivedAt))
		}
	case StatusRejected:
		n.counts.Rejected++
		n.countsOf(r).Rejected++
	case StatusFailed:
		n.counts.Failed++
		n.countsOf(r).Failed++
		a.DeadlineExceeded = n.opts.Clock.Now().After(r.deadline.Add(-n.guardDelay()))
	}
	n.trace("answered", r, "kind", a.Status, "due_in", r.deadline.Sub(n.opts.Clock.Now()))
	r.reply(a)
	n.markAnswered(r)
}

// errRecordTimeout says that a start was not on record by the time it had to be.
var errRecordTimeout = errors.New("the disk is too slow")

// markAnswered takes a request off those that are owed an answer.
func (n *Node) markAnswered(r *request) {
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	n.unanswered--
}

// remove forgets a request of which nothing runs and no answer is owed.
func (n *Node) remove(r *request) {
	if n.byNumber[r.number] != r {
		return
	}
	delete(n.byNumber, r.number)
	if n.byID[r.ID] == r {
		delete(n.byID, r.ID)
	}
	if r.callInFlight {
		r.callInFlight = false
		n.opts.Dependency.Cancel(r.ID)
	}
	for _, waiting := range n.keys.release(r) {
		n.resubmit(waiting)
	}
	// The table of keys holds on to its owners: without what only a request in hand needs.
	r.Body, r.Content, r.callBody, r.reply, r.deadlineTimer, r.recordTimer = nil, nil, nil, nil, nil, nil
}

// resubmit hands a request that waited for a try which never ran to the module once more, as a new one.
func (n *Node) resubmit(r *request) {
	n.opts.Admission.Report(admission.RunEnded(r.number, logic.OutcomeNotStarted, 0))
	delete(n.byNumber, r.number)
	n.reportArrival(r, n.opts.Clock.Now())
}

// deadlineExpired guards the first rule against a late or mistaken module: what is due is answered.
func (n *Node) deadlineExpired(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.settled {
		return
	}
	n.counts.DeadlineExpired++
	n.log.Warn("answered by the due-time guard", fmt.Errorf("request %s was due at %v", r.ID, r.deadline))
	n.answerUndecided(r)
}

// answerUndecided answers a request without the module's word, and tells it.
func (n *Node) answerUndecided(r *request) {
	if r.stage == stageRecording {
		n.withdrawStart(r, Response{Status: StatusRejected, RetryAfter: n.opts.Limits.RecordRetryAfter})
		return
	}
	kind := StatusFailed
	if r.stage == stageQueued {
		kind = StatusRejected
	}
	n.respond(r, Response{Status: kind})
	n.reportCanceled(r)
	n.abandonRun(r)
}

// keyMayHaveRun says whether some try of a keyed request ran on this node, so that this one may be answered from its result.
func (n *Node) keyMayHaveRun(r *request) bool {
	return r.IdempotencyKey != "" && (n.keys.started(r) || n.keyHeldElsewhere(r))
}

// mayHaveRun says whether a request that must not run twice was handed to its runner.
func (n *Node) mayHaveRun(r *request) bool {
	return r.stage == stageRunning && n.opts.Settings.Classes[r.Class].Idempotency != logic.Idempotent
}

// Sweep drops what has expired; it is to be called now and then.
func (n *Node) Sweep() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	n.keys.expire(now)
	for _, r := range n.byNumber {
		switch late := now.Sub(r.deadline); {
		case r.unconfirmed && late > 0:
			n.abandonRun(r)
		case late > n.opts.Limits.OrphanTimeout: // a run whose end was lost with a link
			n.finishRun(r, logic.OutcomeFailed, 0, nil)
		}
	}
}
