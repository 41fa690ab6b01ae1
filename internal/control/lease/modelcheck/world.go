package modelcheck

import (
	"errors"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
)

// task is the one that all candidates request.
const task = "d"

var (
	errLeadershipLost = errors.New("the leadership was lost")
	errConflict       = errors.New("another request was committed first")
)

// world is a store of which one member leads at a time, and candidates for one task, in true time.
type world struct {
	rng   *rand.Rand
	now   time.Duration // true time
	terms lease.Terms
	drift float64 // of clocks, in truth
	queue []event

	table        *lease.Table // the leader's; the records are the same on all members
	leaderClock  clock
	term         int
	candidates   []*candidate
	highestToken uint64 // granted so far

	mutant string
}

type event struct {
	at  time.Duration
	run func()
}

// clock is one process's: true time at another rate, from another origin.
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

// holders returns the candidates that believe to hold the task now.
func (w *world) holders() (names []string) {
	for _, c := range w.candidates {
		if c.holds(c.clock.at(w.now)) {
			names = append(names, c.name)
		}
	}
	return names
}

func (w *world) after(d time.Duration, run func()) { w.queue = append(w.queue, event{w.now + d, run}) }

// runDueEvents runs the events that are due, in the order in which they were queued.
func (w *world) runDueEvents() {
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

// request is a candidate's request, and the decision on it.
type request struct {
	from   *candidate
	kind   requestKind
	id     uint64
	token  uint64
	term   int // of the leader that decided on it
	record lease.Record
	err    error
}

// send sends a request to whoever leads as it arrives.
func (w *world) send(c *candidate, kind requestKind) {
	token, _ := c.claim.Holds(c.clock.at(w.now))
	r := &request{from: c, kind: kind, id: c.claim.BeginRequest(c.clock.at(w.now)), token: token}
	c.lastRequest, c.requestPending = r.id, true
	w.after(w.randomDuration(2*w.terms.Duration), func() { w.decide(r) })
}

// decide decides on a request that has arrived.
func (w *world) decide(r *request) {
	switch at := w.leaderClock.at(w.now); r.kind {
	case acquire:
		r.record, r.err = w.table.Acquire(task, r.from.name, at)
	case renew:
		r.record, r.err = w.table.Renew(task, r.from.name, r.token)
	}
	r.term = w.term
	w.after(w.randomDuration(w.terms.Duration/4), func() { w.commit(r) })
}

// commit applies a decision. What a leader proposed that was deposed meanwhile is not committed.
func (w *world) commit(r *request) {
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

// deliver brings the response to the candidate, once it is no longer paused.
func (w *world) deliver(r *request) {
	if r.from.pausedUntil > w.now {
		w.after(r.from.pausedUntil-w.now, func() { w.respond(r) })
		return
	}
	w.respond(r)
}

// respond has the candidate take the response.
func (w *world) respond(r *request) {
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
