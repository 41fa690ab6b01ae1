package emulator

import (
	"fmt"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Attempt is one transmission of a request to a node.
type Attempt struct {
	ID             string
	RequestID      string // the ID of the request's first attempt
	Class          int    // index in the settings
	Tenant         int    // index in the settings; -1: none
	MemoryKB       float64
	Work           float64       // in seconds of a core of speed 1
	WorkHint       time.Duration // the caller's estimate; 0: none
	SentAt         time.Time
	ArrivedAt      time.Time // at the node's machine, where it may wait to be read
	Deadline       time.Time // when the caller gives up
	IsRetry        bool
	CallerID       int
	IdempotencyKey string // empty in a class without keys
}

// Server decides which attempts run on one machine. Its methods are called from the clock's callbacks; respond may be
// called before Submit returns.
type Server interface {
	// Submit passes an attempt to the server, which must call respond once unless Cancel is called first.
	Submit(a *Attempt, respond func(node.Response))
	// Cancel tells the server that the caller of an attempt no longer waits.
	Cancel(a *Attempt)
	// Drain tells the server that the process will end after timeLeft.
	Drain(timeLeft time.Duration)
	// InFlight returns the numbers of running and of queued attempts.
	InFlight() (running, queued int)
}

// Environment holds what a server is created with.
type Environment struct {
	Clock    *clock.Virtual
	Machine  *Machine
	Settings logic.Settings
	// OnRunStarted must be called when the run of an attempt starts.
	OnRunStarted func(*Attempt)

	dependency *sharedDependency // nil: the world has none
}

// run does an attempt's work on the machine and passes the outcome to done. If the attempt's class calls the dependency,
// the call is made after half of the work.
func (e Environment) run(a *Attempt, done func(logic.Outcome)) {
	if e.dependency == nil || !e.Settings.Classes[a.Class].CallsDependency {
		e.Machine.Add(a.Work, func() { done(logic.OutcomeOK) })
		return
	}
	e.Machine.Add(a.Work/2, func() {
		e.dependency.call(func(outcome logic.Outcome, _ time.Duration) {
			if outcome != logic.OutcomeOK {
				done(logic.OutcomeFailed)
				return
			}
			e.Machine.Add(a.Work/2, func() { done(logic.OutcomeOK) })
		})
	})
}

// unlimited is a limit that no simulation reaches.
const unlimited = 1 << 30

// NewPolicy returns the constructor of a policy's servers. The policies are:
//
//	sloehitch  the daemon's own node and admission controller
//	none       every request runs at once
//	fifo       one request runs on each core, and the queue is unbounded
//	fixed      a concurrency limit, and a FIFO queue of the same length
//	worth      the same with a queue ordered by priority weight
//	codel      a concurrency limit, and an unbounded queue with controlled delay
//	gradient   a concurrency limit that adapts to latency, and a queue of the same length
//
// The last four take concurrencyPerCore, their limit for each core. NewPolicy returns an error for an unknown policy, and
// for one of these four if the limit is not above 0.
func NewPolicy(name string, concurrencyPerCore float64) (func(Environment) Server, error) {
	var configure func(q *limitedQueue)
	switch name {
	case "sloehitch":
		return newDaemonServer, nil
	case "none":
		return func(e Environment) Server { return newLimitedQueue(e, unlimited) }, nil
	case "fifo":
		return newFIFO, nil
	case "fixed":
		configure = func(q *limitedQueue) { q.queueLimit = q.concurrencyLimit }
	case "worth":
		configure = func(q *limitedQueue) { q.queueLimit, q.byPriority = q.concurrencyLimit, true }
	case "codel":
		configure = func(q *limitedQueue) { q.queueLimit, q.drop = unlimited, (&codel{}).drop }
	case "gradient":
		configure = func(q *limitedQueue) { q.queueLimit, q.adapt = q.concurrencyLimit, (&gradient{}).adapt }
	default:
		return nil, fmt.Errorf("unknown policy %q: must be sloehitch, none, fifo, fixed, codel, worth or gradient", name)
	}
	if concurrencyPerCore <= 0 {
		return nil, fmt.Errorf("policy %s: parameter, the concurrency limit for each core, must be above 0", name)
	}
	return func(e Environment) Server {
		q := newLimitedQueue(e, max(1, int(concurrencyPerCore*float64(e.Settings.Cores))))
		configure(q)
		return q
	}, nil
}
