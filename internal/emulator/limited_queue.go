package emulator

import (
	"time"

	"sloehitch/internal/node"
	"sloehitch/logic"
)

// limitedQueue is a server with a concurrency limit and a bounded queue. The policies of this package other than
// "sloehitch" are configurations of it.
type limitedQueue struct {
	environment      Environment
	concurrencyLimit int
	queueLimit       int

	// byPriority runs the highest priority weight first, and evicts the lowest where the queue is full.
	byPriority bool
	// drop says whether to reject an attempt that has waited so long, as its turn comes; nil: never.
	drop func(q *limitedQueue, waited time.Duration) bool
	// adapt changes the limits after a run, by its duration and the number that ran as it started; nil: never.
	adapt func(q *limitedQueue, running int, duration time.Duration)

	waiting []*queuedAttempt
	open    map[*Attempt]*queuedAttempt // neither answered nor canceled
	running int
}

type queuedAttempt struct {
	attempt   *Attempt
	respond   func(node.Response)
	arrivedAt time.Time
	canceled  bool
}

func newLimitedQueue(e Environment, concurrencyLimit int) *limitedQueue {
	return &limitedQueue{environment: e, concurrencyLimit: concurrencyLimit, open: map[*Attempt]*queuedAttempt{}}
}

// newFIFO returns the server of policy "fifo".
func newFIFO(e Environment) Server {
	q := newLimitedQueue(e, e.Settings.Cores)
	q.queueLimit = unlimited
	return q
}

// Submit implements Server.
func (q *limitedQueue) Submit(a *Attempt, respond func(node.Response)) {
	entry := &queuedAttempt{attempt: a, respond: respond, arrivedAt: q.environment.Clock.Now()}
	q.open[a] = entry
	if q.running < q.concurrencyLimit {
		q.start(entry)
		return
	}
	q.waiting = append(q.waiting, entry)
	if len(q.waiting) > q.queueLimit {
		q.reject(q.removeAt(q.victim()))
	}
}

// victim is the index of the attempt that a full queue rejects: the last one, or by priority the last one of the lowest
// weight.
func (q *limitedQueue) victim() int {
	victim := len(q.waiting) - 1
	if !q.byPriority {
		return victim
	}
	for i, entry := range q.waiting {
		weight, lowest := q.weight(entry), q.weight(q.waiting[victim])
		if weight < lowest || weight == lowest && i > victim {
			victim = i
		}
	}
	return victim
}

func (q *limitedQueue) weight(entry *queuedAttempt) float64 {
	return q.environment.Settings.Classes[entry.attempt.Class].PriorityWeight
}

func (q *limitedQueue) removeAt(i int) *queuedAttempt {
	entry := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return entry
}

func (q *limitedQueue) reject(entry *queuedAttempt) {
	delete(q.open, entry.attempt)
	if !entry.canceled {
		entry.respond(node.Response{Status: node.StatusRejected})
	}
}

func (q *limitedQueue) start(entry *queuedAttempt) {
	q.running++
	concurrency, startedAt := q.running, q.environment.Clock.Now()
	q.environment.OnRunStarted(entry.attempt)
	q.environment.run(entry.attempt, func(outcome logic.Outcome) {
		q.running--
		q.finish(entry, outcome)
		if q.adapt != nil {
			q.adapt(q, concurrency, q.environment.Clock.Now().Sub(startedAt))
		}
		q.startNext()
	})
}

// finish responds to an attempt that has run.
func (q *limitedQueue) finish(entry *queuedAttempt, outcome logic.Outcome) {
	delete(q.open, entry.attempt)
	if entry.canceled {
		return
	}
	status := node.StatusServed
	if outcome != logic.OutcomeOK {
		status = node.StatusFailed
	}
	entry.respond(node.Response{Status: status})
}

// startNext starts queued attempts up to the concurrency limit.
func (q *limitedQueue) startNext() {
	for q.running < q.concurrencyLimit && len(q.waiting) > 0 {
		entry := q.removeAt(q.nextIndex())
		switch {
		case entry.canceled:
		case q.drop != nil && q.drop(q, q.environment.Clock.Now().Sub(entry.arrivedAt)):
			q.reject(entry)
		default:
			q.start(entry)
		}
	}
}

// nextIndex is the index of the attempt whose turn it is: the first one, or by priority the first one of the highest
// weight.
func (q *limitedQueue) nextIndex() int {
	next := 0
	if !q.byPriority {
		return next
	}
	for i := range q.waiting {
		if q.weight(q.waiting[i]) > q.weight(q.waiting[next]) {
			next = i
		}
	}
	return next
}

// Cancel implements Server. What runs goes on.
func (q *limitedQueue) Cancel(a *Attempt) {
	if entry := q.open[a]; entry != nil {
		entry.canceled = true
		delete(q.open, a)
	}
}

// Drain implements Server: these policies take no notice.
func (q *limitedQueue) Drain(time.Duration) {}

// InFlight implements Server.
func (q *limitedQueue) InFlight() (running, queued int) { return q.running, len(q.waiting) }
