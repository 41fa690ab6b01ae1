// Package modelcheck runs leased-task runners in random simulations: candidates for one task, the store through which they
// agree and a receiver of effects share one simulated time. Messages in both directions are delayed arbitrarily or lost, and
// candidates pause at any point, stop, or are replaced by new ones without state. The invariants are checked at each effect.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// LeaseTerms are the terms of the task's lease in every simulation.
var LeaseTerms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}

// Mutants: faults that are injected into the program under test.
const (
	mutantNoFencing      = "no fence"
	mutantNoIdempotency  = "repeats not known"
	mutantNoToken        = "writes without the token"
	mutantStepUnrecorded = "step not recorded"
)

// Mutants are the faults that can be injected into the program under test, to show that the simulation finds them.
var Mutants = []string{mutantNoFencing, mutantNoIdempotency, mutantNoToken, mutantStepUnrecorded}

const (
	candidates   = 3
	steps        = 1200 // per simulation
	faultSteps   = 800  // steps at the beginning in which faults occur
	step         = 100 * time.Millisecond
	randomStream = 26 // second half of the random generator's seed
	jobsToFinish = 2  // jobs to be completed after the faults, in addition to the one that was open when they ended
)

// Run runs the simulation of a seed: first with faults, then without for 40 s, by the end of which the open job and
// two more must have finished. It returns the violated invariant: the effect of a step occurred twice, under a lower
// token than an earlier effect, or while the step was not on record as started, or the jobs made no progress; empty:
// none. mutant is one of Mutants, or empty.
func Run(seed uint64, mutant string) string {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, randomStream)), mutant: mutant}
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
		w.faultFree = n > faultSteps
		if n == faultSteps {
			w.openJob = w.jobOnRecord()
		}
		w.step()
		if w.violation != "" {
			return w.violation
		}
	}
	if w.jobOnRecord() < w.openJob+jobsToFinish {
		return fmt.Sprintf("no progress: 40 s after the last fault the record is %+v; job j%d was open at that fault", w.record(), w.openJob)
	}
	return ""
}

// step runs the events that are due, and performs at most one action of each candidate.
func (w *simulation) step() {
	w.runDueEvents()
	if !w.faultFree && w.rng.IntN(10) == 0 {
		w.receiver.restart()
	}
	for _, c := range w.candidates {
		switch {
		case c.pausedUntil > w.now:
		case !w.faultFree && w.rng.IntN(80) == 0:
			c.pausedUntil = w.now + w.randomDuration(3*LeaseTerms.Duration)
		case !w.faultFree && w.rng.IntN(400) == 0: // the candidate crashes
			w.replaceProcess(c)
		case !w.faultFree && w.rng.IntN(300) == 0:
			c.StopAfterStep()
		case c.wakeAt <= w.now:
			w.performAction(c)
		}
		if c.wakeAt == never { // the runner has stopped
			w.replaceProcess(c)
		}
	}
}
