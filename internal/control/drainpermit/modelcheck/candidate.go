package modelcheck

import (
	"fmt"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// candidateCount is how many processes compete for the lease of a task.
const candidateCount = 3

// silentAfter is the age of a node's last report from which a candidate counts the node as silent.
const silentAfter = 2 * time.Second

// candidate is a process that competes for the lease of a task.
type candidate struct {
	name         string
	token        uint64
	heldUntil    time.Duration
	stalledUntil time.Duration
	clockRate    float64
	firstSeen    map[string]time.Duration // by node: when this candidate first read its report under the current lease
	busyUntil    time.Duration
}

func (w *world) newCandidate(i int) candidate {
	return candidate{name: fmt.Sprint("c", i), clockRate: w.randomClockRate(), firstSeen: map[string]time.Duration{}}
}

// isRunning reports whether a candidate is not stalled now. It may start a stall.
func (w *world) isRunning(c *candidate) bool {
	switch {
	case c.stalledUntil > w.now:
		return false
	case !w.faultsOver && w.random.IntN(80) == 0:
		c.stalledUntil = w.now + w.randomDelay(3)
		return false
	}
	return true
}

// holdLease acquires or renews the lease of a task. It returns whether the candidate holds the lease now, and
// whether this call acquired it.
func (w *world) holdLease(c *candidate, task string) (held, acquired bool) {
	commit := func(record lease.Record, err error) bool {
		if err == nil {
			w.store.Apply(document.Transaction{ID: w.newID(), Operations: []document.Operation{{Lease: &record}}}, lease.Instant(w.now))
			c.token, c.heldUntil = record.Token, w.now+LeaseTerms.HolderDuration()
		}
		return err == nil
	}
	if c.heldUntil <= w.now {
		if !commit(w.store.Leases().Acquire(task, c.name, lease.Instant(w.now))) {
			return false, false
		}
		c.firstSeen = map[string]time.Duration{}
		return true, true
	}
	if c.heldUntil-w.now < LeaseTerms.HolderDuration()/2 {
		commit(w.store.Leases().Renew(task, c.name, c.token))
	}
	return true, false
}

// randomStall draws the duration of a candidate's stall between reading and writing; 0 for none.
func (w *world) randomStall() time.Duration {
	if !w.faultsOver && w.random.IntN(10) == 0 {
		return w.randomDelay(2)
	}
	return 0
}

// send sends a candidate's transactions after a delay. The candidate waits for the answers for at most a second,
// so the transactions may still be committed after it has made its next decision.
func (w *world) send(c *candidate, transactions []document.Transaction, delay time.Duration) {
	for _, t := range transactions {
		c.busyUntil = w.now + delay + time.Second
		w.after(delay, func() { w.apply(t, func(document.Result, bool) {}) })
	}
}

// readView returns the fleet's state as a candidate reads it, confirmed by a majority.
func (w *world) readView(c *candidate) (fleetstate.View, fleetstate.Versions) {
	decoder := fleetstate.Decoder{
		Request: func(d document.Document) (fleetstate.DrainRequest, error) { return decodeCached(w, w.requests, d), nil },
		Permit:  func(d document.Document) (fleetstate.Permit, error) { return decodeCached(w, w.permits, d), nil },
	}
	view, versions, err := fleetstate.DecodeView(w.store.List(""), decoder, w.now.Milliseconds())
	if err != nil {
		w.fail("%v", err)
	}
	for _, n := range w.nodes {
		view.Members = append(view.Members, fleetstate.ObservedMember{Name: n.name, Report: n.reported, Liveness: w.liveness(c, n)})
	}
	return view, versions
}

// liveness returns a node's liveness as a candidate observes it.
func (w *world) liveness(c *candidate, n *node) disruption.Availability {
	firstSeen, known := c.firstSeen[n.name]
	if !known {
		c.firstSeen[n.name] = w.now
	}
	switch {
	case w.now-n.reportedAt > silentAfter:
		return disruption.Silent
	case !known || n.reportedAt <= firstSeen:
		return disruption.Unknown
	}
	return disruption.Available
}
