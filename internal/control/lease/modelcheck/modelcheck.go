// Package modelcheck runs both sides of a lease in random simulations of true time: every clock has its own rate and origin,
// messages are delayed arbitrarily, processes pause, and leaders change. It checks at each step that at most one candidate
// holds the task, and that tokens never decrease.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
)

// Mutants: faults that are injected into the program under test.
const (
	mutantCountsFromResponse = "counts from the answer"
	mutantKeepsCount         = "counts on after a change of leader"
	mutantNoDrift            = "no drift allowed for"
	mutantAnyResponse        = "takes any answer"
	mutantStaleDecision      = "applies what was decided on an older record"
)

// Mutants are the faults that can be injected into the program under test, to show that the simulation finds them.
var Mutants = []string{mutantCountsFromResponse, mutantKeepsCount, mutantNoDrift, mutantAnyResponse, mutantStaleDecision}

const (
	candidates    = 3
	steps         = 600 // per simulation
	stepsPerLease = 50
	randomStream  = 25 // second half of the random generator's seed
)

// Run runs the simulation of a seed with clocks that drift by the given fraction, which may exceed that of the terms.
// It returns the violated invariant: two candidates held the task at once, or a token decreased; empty: none. mutant
// is one of Mutants, or empty.
func Run(seed uint64, terms lease.Terms, drift float64, mutant string) string {
	w, err := newSimulation(seed, terms, drift, mutant)
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
		w.performRandomAction(w.candidates[w.rng.IntN(len(w.candidates))])
	}
	return ""
}

func newSimulation(seed uint64, terms lease.Terms, drift float64, mutant string) (*simulation, error) {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, randomStream)), terms: terms, drift: drift, mutant: mutant}
	var err error
	if w.table, err = lease.NewTable(terms); err != nil {
		return nil, err
	}
	w.leaderClock = w.newClock()
	holderTerms := terms
	if mutant == mutantNoDrift {
		holderTerms.MaxDrift = 0
	}
	for i := range candidates {
		w.candidates = append(w.candidates, &candidate{name: fmt.Sprint("p", i), clock: w.newClock(), claim: lease.NewClaim(holderTerms)})
	}
	return w, nil
}

// violation describes an invariant that is violated now; empty: none.
func (w *simulation) violation() string {
	if holders := w.holders(); len(holders) > 1 {
		return fmt.Sprintf("at %v, candidates %v hold the task at the same time", w.now, holders)
	}
	if token := w.table.Get(task).Token; token < w.highestToken {
		return fmt.Sprintf("at %v, the token decreased from %d to %d", w.now, w.highestToken, token)
	}
	return ""
}

// performRandomAction performs one random action of a candidate or the store.
func (w *simulation) performRandomAction(c *candidate) {
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

// changeLeader makes another member of the store the leader; the records stay.
func (w *simulation) changeLeader() {
	w.term++
	w.leaderClock = w.newClock()
	if w.mutant != mutantKeepsCount {
		w.table.StartLeading(w.leaderClock.at(w.now))
	}
}

// handOver makes a candidate hand the task over to a random candidate, which may be itself.
func (w *simulation) handOver(c *candidate) {
	token, _ := c.claim.Holds(c.clock.at(w.now))
	c.claim.Stop()
	c.requestPending = false
	successor := w.candidates[w.rng.IntN(candidates)].name
	if record, err := w.table.HandOver(task, c.name, token, successor); err == nil {
		w.table.Apply(record, w.leaderClock.at(w.now))
	}
}

// newClock returns a clock that is too fast or too slow by the full drift, with a random origin.
func (w *simulation) newClock() clock {
	rate := 1 + w.drift*(2*float64(w.rng.IntN(2))-1)
	return clock{rate, lease.Instant(w.rng.Int64N(1 << 40))}
}

// randomDuration returns a duration up to a maximum: 0 in half of the cases, otherwise usually a short one.
func (w *simulation) randomDuration(maximum time.Duration) time.Duration {
	x := w.rng.Float64()
	if w.rng.IntN(2) == 0 {
		return 0
	}
	return time.Duration(x * x * x * float64(maximum))
}
