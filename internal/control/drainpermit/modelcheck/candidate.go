package modelcheck

import (
	"fmt"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// candidates is how many processes take turns at a task.
const candidates = 3

// silentAfter is without how long a report a candidate takes a node for silent.
const silentAfter = 2 * time.Second

// candidate is a process that takes turns at a task.
type candidate struct {
	name         string
	token        uint64
	heldUntil    time.Duration
	stalledUntil time.Duration
	clockRate    float64
	firstSeen    map[string]time.Duration // by node, since it holds the lease
	busyUntil    time.Duration
}

func (w *world) newCandidate(i int) candidate {
	return candidate{name: fmt.Sprint("c", i), clockRate: w.randomClockRate(), firstSeen: map[string]time.Duration{}}
}

// isRunning says whether a candidate does not stall now. It may make it stall.
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

// holdLease acquires or renews the lease of a task. It says whether the candidate holds it now, and whether
// it does since just now.
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

// stall draws for how long a candidate stalls between reading and writing.
func (w *world) stall() time.Duration {
	if !w.faultsOver && w.random.IntN(10) == 0 {
		return w.randomDelay(2)
	}
	return 0
}

// send has a candidate send transactions after a delay. It does not wait for the answers longer than a
// second, so what it has sent may still be committed while it decides anew.
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

// liveness is a node's liveness as a candidate sees it.
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
