package emulator

import (
	"fmt"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Attempt is one request as sent to one node.
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
	Deadline       time.Time // the caller gives up then
	IsRetry        bool
	CallerID       int
	IdempotencyKey string // empty in a class without keys
}

// Server decides what runs on one machine. Its methods are called from the clock's callbacks; respond may be called
// before Submit returns.
type Server interface {
	// Submit gives it an attempt. It is to call respond once, unless Cancel comes first.
	Submit(a *Attempt, respond func(node.Response))
	// Cancel says that the caller no longer waits.
	Cancel(a *Attempt)
	// Drain says that the process is to end after a time.
	Drain(timeLeft time.Duration)
	// InFlight returns the number of requests that run and that are queued.
	InFlight() (running, queued int)
}

// Environment is what a server is made with.
type Environment struct {
	Clock    *clock.Virtual
	Machine  *Machine
	Settings logic.Settings
	// OnRunStarted is to be called as the run of an attempt starts.
	OnRunStarted func(*Attempt)

	dependency *sharedDependency // nil: there is none
}

// run does an attempt's work on the machine, with a call to the dependency after half of it where the class has one.
// done gets the outcome.
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

// unlimited is a limit that is never reached.
const unlimited = 1 << 30

// NewPolicy returns what makes the servers of a policy:
//
//	sloehitch  the daemon's own node and admission controller
//	none       every request runs at once
//	fifo       one request runs on each core, and the queue is unbounded
//	fixed      a concurrency limit, and a queue of the same length in order of arrival
//	worth      the same, and the queue is ordered by priority weight
//	codel      a concurrency limit, and an unbounded queue with controlled delay
//	gradient   a concurrency limit that adapts to latency, and a queue of the same length
//
// The last four take concurrencyPerCore, their limit for each core. It returns an error for an unknown policy, or where
// that limit is needed and is not above 0.
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
		return nil, fmt.Errorf("no policy %q: sloehitch, none, fifo, fixed, codel, worth or gradient", name)
	}
	if concurrencyPerCore <= 0 {
		return nil, fmt.Errorf("policy %s: a parameter above 0 is wanted: how many run for each core", name)
	}
	return func(e Environment) Server {
		q := newLimitedQueue(e, max(1, int(concurrencyPerCore*float64(e.Settings.Cores))))
		configure(q)
		return q
	}, nil
}
