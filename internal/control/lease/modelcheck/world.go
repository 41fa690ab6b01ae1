package modelcheck

import (
	"errors"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
)

// task is the name of the task that all candidates request.
const task = "d"

var (
	errLeadershipLost = errors.New("the leader was deposed before the record was committed")
	errConflict       = errors.New("another record was committed first")
)

// simulation runs, in true time, a store with one leader at a time and candidates for one task.
type simulation struct {
	rng   *rand.Rand
	now   time.Duration // true time
	terms lease.Terms
	drift float64 // actual drift of the clocks
	queue []event

	table        *lease.Table // the leader's table; the records are the same on all members
	leaderClock  clock
	term         int
	candidates   []*candidate
	highestToken uint64 // highest token granted so far

	mutant string
}

type event struct {
	at  time.Duration
	run func()
}

// clock is the clock of one process: true time at another rate and from another origin.
type clock struct {
	rate   float64
	origin lease.Instant
}

func (c clock) at(trueTime time.Duration) lease.Instant {
	return c.origin + lease.Instant(float64(trueTime)*c.rate)
}

type candidate struct {
	name           string
	clock          clock
	claim          *lease.Claim
	pausedUntil    time.Duration // true time
	lastRequest    uint64
	requestPending bool
}

func (c *candidate) holds(at lease.Instant) bool {
	_, ok := c.claim.Holds(at)
	return ok
}

// holders returns the names of the candidates that consider themselves holders of the task now.
func (w *simulation) holders() (names []string) {
	for _, c := range w.candidates {
		if c.holds(c.clock.at(w.now)) {
			names = append(names, c.name)
		}
	}
	return names
}

func (w *simulation) after(d time.Duration, run func()) {
	w.queue = append(w.queue, event{w.now + d, run})
}

// runDueEvents runs the events that are due, in the order of the queue.
func (w *simulation) runDueEvents() {
	for i := 0; i < len(w.queue); i++ {
		e := w.queue[i]
		if e.at > w.now {
			continue
		}
		w.queue = append(w.queue[:i], w.queue[i+1:]...)
		i = -1
		e.run()
	}
}

type requestKind int

const (
	acquire requestKind = iota
	renew
)

// request is a candidate's request and the decision on it.
type request struct {
	from   *candidate
	kind   requestKind
	id     uint64
	token  uint64
	term   int // term of the leader that decided on the request
	record lease.Record
	err    error
}

// send sends a request, which is decided on by the leader at the time of its arrival.
func (w *simulation) send(c *candidate, kind requestKind) {
	token, _ := c.claim.Holds(c.clock.at(w.now))
	r := &request{from: c, kind: kind, id: c.claim.BeginRequest(c.clock.at(w.now)), token: token}
	c.lastRequest, c.requestPending = r.id, true
	w.after(w.randomDuration(2*w.terms.Duration), func() { w.decide(r) })
}

// decide decides on a request that has arrived.
func (w *simulation) decide(r *request) {
	switch at := w.leaderClock.at(w.now); r.kind {
	case acquire:
		r.record, r.err = w.table.Acquire(task, r.from.name, at)
	case renew:
		r.record, r.err = w.table.Renew(task, r.from.name, r.token)
	}
	r.term = w.term
	w.after(w.randomDuration(w.terms.Duration/4), func() { w.commit(r) })
}

// commit commits and applies a decision, unless the leader that made it was deposed meanwhile.
func (w *simulation) commit(r *request) {
	if r.err == nil && r.term != w.term {
		r.err = errLeadershipLost
	}
	if w.mutant == mutantStaleDecision {
		r.record.Serial = w.table.Get(task).Serial + 1
	}
	if r.err == nil && !w.table.Apply(r.record, w.leaderClock.at(w.now)) {
		r.err = errConflict
	}
	if r.err == nil {
		w.highestToken = max(w.highestToken, r.record.Token)
	}
	w.after(w.randomDuration(2*w.terms.Duration), func() { w.deliver(r) })
}

// deliver delivers the response to the candidate, once it is no longer paused.
func (w *simulation) deliver(r *request) {
	if r.from.pausedUntil > w.now {
		w.after(r.from.pausedUntil-w.now, func() { w.respond(r) })
		return
	}
	w.respond(r)
}

// respond passes the response to the candidate's claim.
func (w *simulation) respond(r *request) {
	c := r.from
	if r.id == c.lastRequest {
		c.requestPending = false
	}
	if r.err != nil {
		c.claim.HandleRejection(r.id)
		return
	}
	id := r.id
	switch w.mutant {
	case mutantCountsFromResponse:
		id = c.claim.BeginRequest(c.clock.at(w.now))
	case mutantAnyResponse:
		id = c.lastRequest
	}
	c.claim.HandleGrant(id, r.record.Token)
}
