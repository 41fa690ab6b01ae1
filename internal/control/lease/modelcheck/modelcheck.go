// Package modelcheck runs both sides of a lease through random simulations in true time: every clock has a rate and an origin of
// its own, messages take any time, processes pause, and leaders change. It checks at each instant that at most one candidate
// holds the task, and that tokens only grow.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
)

// Mutants: faults of the program itself.
const (
	mutantCountsFromResponse = "counts from the answer"
	mutantKeepsCount         = "counts on after a change of leader"
	mutantNoDrift            = "no drift allowed for"
	mutantAnyResponse        = "takes any answer"
	mutantStaleDecision      = "applies what was decided on an older record"
)

// Mutants are the faults of the program itself that a simulation can be run with, to show that it finds them.
var Mutants = []string{mutantCountsFromResponse, mutantKeepsCount, mutantNoDrift, mutantAnyResponse, mutantStaleDecision}

const (
	candidates    = 3
	steps         = 600 // of one simulation
	stepsPerLease = 50
	randomStream  = 25 // of the random numbers; the seed is the other half
)

// Run runs the simulation of a seed, with clocks that are wrong by drift whatever the terms allow for, and returns what did not
// hold: two candidates that hold the task at once, or a token that went back; empty: everything held. mutant is one of Mutants, or
// empty.
func Run(seed uint64, terms lease.Terms, drift float64, mutant string) string {
	w, err := newWorld(seed, terms, drift, mutant)
	if err != nil {
		return err.Error()
	}
	step := terms.Duration / stepsPerLease
	for range steps {
		w.now += step
		w.runDueEvents()
		if violation := w.violation(); violation != "" {
			return violation
		}
		w.act(w.candidates[w.rng.IntN(len(w.candidates))])
	}
	return ""
}

func newWorld(seed uint64, terms lease.Terms, drift float64, mutant string) (*world, error) {
	w := &world{rng: rand.New(rand.NewPCG(seed, randomStream)), terms: terms, drift: drift, mutant: mutant}
	var err error
	if w.table, err = lease.NewTable(terms); err != nil {
		return nil, err
	}
	w.leaderClock = w.newClock()
	held := terms
	if mutant == mutantNoDrift {
		held.MaxDrift = 0
	}
	for i := range candidates {
		w.candidates = append(w.candidates, &candidate{name: fmt.Sprint("p", i), clock: w.newClock(), claim: lease.NewClaim(held)})
	}
	return w, nil
}

// violation says which invariant does not hold now; empty: all hold.
func (w *world) violation() string {
	if holders := w.holders(); len(holders) > 1 {
		return fmt.Sprintf("at %v %v hold the task at once", w.now, holders)
	}
	if token := w.table.Get(task).Token; token < w.highestToken {
		return fmt.Sprintf("at %v the token went back from %d to %d", w.now, w.highestToken, token)
	}
	return ""
}

// act has a candidate, or the store, do one thing.
func (w *world) act(c *candidate) {
	if c.pausedUntil > w.now {
		return
	}
	switch at := c.clock.at(w.now); {
	case w.rng.IntN(60) == 0:
		w.changeLeader()
	case w.rng.IntN(40) == 0:
		c.pausedUntil = w.now + w.randomDuration(4*w.terms.Duration)
	case c.claim.RenewalDue(at):
		w.send(c, renew)
	case !c.holds(at) && !c.requestPending && w.rng.IntN(4) == 0:
		w.send(c, acquire)
	case c.holds(at) && w.rng.IntN(50) == 0:
		w.handOver(c)
	}
}

// changeLeader has another member of the store lead; the records stay.
func (w *world) changeLeader() {
	w.term++
	w.leaderClock = w.newClock()
	if w.mutant != mutantKeepsCount {
		w.table.StartLeading(w.leaderClock.at(w.now))
	}
}

// handOver has a candidate hand the task over to one of the candidates, itself included.
func (w *world) handOver(c *candidate) {
	token, _ := c.claim.Holds(c.clock.at(w.now))
	c.claim.Stop()
	c.requestPending = false
	successor := w.candidates[w.rng.IntN(candidates)].name
	if record, err := w.table.HandOver(task, c.name, token, successor); err == nil {
		w.table.Apply(record, w.leaderClock.at(w.now))
	}
}

// newClock returns a clock as wrong as clocks may be.
func (w *world) newClock() clock {
	rate := 1 + w.drift*(2*float64(w.rng.IntN(2))-1)
	return clock{rate, lease.Instant(w.rng.Int64N(1 << 40))}
}

// randomDuration returns a duration up to a maximum: as often as not none, else mostly a short one.
func (w *world) randomDuration(maximum time.Duration) time.Duration {
	x := w.rng.Float64()
	if w.rng.IntN(2) == 0 {
		return 0
	}
	return time.Duration(x * x * x * float64(maximum))
}
