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

	// byPriority makes the queue run the highest priority weight first, and evict the lowest when it is full.
	byPriority bool
	// drop reports whether to reject an attempt that has waited for the given time when its turn comes; nil: never.
	drop func(q *limitedQueue, waited time.Duration) bool
	// adapt changes the limits after a run, by its duration and the number of runs when it started; nil: never.
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

// newFIFO returns a server of policy "fifo".
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
		q.reject(q.removeAt(q.evictionIndex()))
	}
}

// evictionIndex returns the index of the attempt that a full queue rejects: the last one or, with byPriority, the last
// one of the lowest weight.
func (q *limitedQueue) evictionIndex() int {
	candidate := len(q.waiting) - 1
	if !q.byPriority {
		return candidate
	}
	for i, entry := range q.waiting {
		weight, lowest := q.weight(entry), q.weight(q.waiting[candidate])
		if weight < lowest || weight == lowest && i > candidate {
			candidate = i
		}
	}
	return candidate
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

// finish responds to an attempt whose run has ended.
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

// nextIndex returns the index of the attempt to run next: the first one or, with byPriority, the first one of the
// highest weight.
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

// Cancel implements Server. A run in progress continues.
func (q *limitedQueue) Cancel(a *Attempt) {
	if entry := q.open[a]; entry != nil {
		entry.canceled = true
		delete(q.open, a)
	}
}

// Drain implements Server. It does nothing, because these policies don't drain.
func (q *limitedQueue) Drain(time.Duration) {}

// InFlight implements Server.
func (q *limitedQueue) InFlight() (running, queued int) { return q.running, len(q.waiting) }
