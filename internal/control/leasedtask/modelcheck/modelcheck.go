// Package modelcheck runs the runner of leased tasks through random simulations: candidates for one task, the store that they
// agree through and a receiver of effects, in one simulated time. Messages take any time and are lost either way, and candidates
// pause at any point, stop, or are replaced by new ones that know nothing. What must hold is checked at each effect.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// LeaseTerms are those of the task in every simulation.
var LeaseTerms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}

// Mutants: faults of the program itself.
const (
	mutantNoFencing      = "no fence"
	mutantNoIdempotency  = "repeats not known"
	mutantNoToken        = "writes without the token"
	mutantStepUnrecorded = "step not recorded"
)

// Mutants are the faults of the program itself that a simulation can be run with, to show that it finds them.
var Mutants = []string{mutantNoFencing, mutantNoIdempotency, mutantNoToken, mutantStepUnrecorded}

const (
	candidates   = 3
	steps        = 1200 // of one simulation
	faultSteps   = 800  // of them, with faults
	step         = 100 * time.Millisecond
	randomStream = 26 // of the random numbers; the seed is the other half
	jobsToFinish = 2  // after the faults, besides the one that was open as they ended
)

// Run runs the simulation of a seed: with faults for a while, then without for 40 s, by the end of which what was open and two
// more jobs must be done. It returns what did not hold: a step's effect that happened twice, under a token after a higher one or
// while the step was not on record as started, or work that makes no progress; empty: everything held. mutant is one of Mutants,
// or empty.
func Run(seed uint64, mutant string) string {
	w := &world{rng: rand.New(rand.NewPCG(seed, randomStream)), mutant: mutant}
	w.receiver = newReceiver(w)
	var err error
	if w.store, err = document.New(document.DefaultLimits, LeaseTerms); err != nil {
		return err.Error()
	}
	for i := range candidates {
		w.candidates = append(w.candidates, w.newCandidate(fmt.Sprint("p", i)))
	}
	for n := range steps {
		w.now += step
		w.calm = n > faultSteps
		if n == faultSteps {
			w.openJob = w.jobOnRecord()
		}
		w.step()
		if w.violation != "" {
			return w.violation
		}
	}
	if w.jobOnRecord() < w.openJob+jobsToFinish {
		return fmt.Sprintf("40 s after the faults the record is %+v; j%d was open as they ended", w.record(), w.openJob)
	}
	return ""
}

// step runs the events that are due, and has each candidate do one thing.
func (w *world) step() {
	w.runDueEvents()
	if !w.calm && w.rng.IntN(10) == 0 {
		w.receiver.restart()
	}
	for _, c := range w.candidates {
		switch {
		case c.pausedUntil > w.now:
		case !w.calm && w.rng.IntN(80) == 0:
			c.pausedUntil = w.now + w.randomDuration(3*LeaseTerms.Duration)
		case !w.calm && w.rng.IntN(400) == 0: // it crashes
			w.replaceProcess(c)
		case !w.calm && w.rng.IntN(300) == 0:
			c.StopAfterStep()
		case c.wakeAt <= w.now:
			w.act(c)
		}
		if c.wakeAt == never { // it has stopped, or its job has finished
			w.replaceProcess(c)
		}
	}
}
