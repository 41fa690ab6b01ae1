// Package modelcheck runs the rules of the store's members through random simulations: members that keep a log by majority, are
// partitioned from one another, crash, come back on their data directories, on older copies of them, on empty ones or on another
// store's; members that are added, promoted, given the leadership and removed in service; states that are put back to a backup,
// and a majority that is lost for good.
//
// The rules are the real ones (packages quorum and document). The log below them is a plain model of raft (raft.go; Ongaro and
// Ousterhout, "In search of an understandable consensus algorithm", 2014), in which one exchange of messages is one step.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// Mutants: faults of the rules.
const (
	mutantOlderCopies     = "older copies let in"
	mutantProgressInRAM   = "marks not on disk"
	mutantMajorityIgnored = "majority not looked at"
	mutantVoteAtOnce      = "a vote at once"
	mutantNoTokenFloor    = "no floor after a restore"
)

// Mutants are the faults of the rules that a simulation can be run with, to show that it finds them.
var Mutants = []string{mutantOlderCopies, mutantProgressInRAM, mutantMajorityIgnored, mutantVoteAtOnce, mutantNoTokenFloor}

const (
	stepDuration = 100 * time.Millisecond // what is known of the others is on disk after one
	faultSteps   = 250                    // with faults
	calmSteps    = 120                    // without
	randomStream = 44                     // of the random numbers; the seed is the other half
)

var leaseTerms = lease.Terms{Duration: 2 * time.Second, MaxDrift: 0.02, SafetyMargin: 100 * time.Millisecond}

// What happens in a simulation, as counted; besides the changes of the members.
const (
	eventExcluded  = "kept out"
	eventAllKilled = "all killed"
	eventRejected  = "refused" // a change of the members
	eventRestored  = "restored"
	eventRecovered = "recovered"
	eventWrites    = "writes" // that were acknowledged by the middle of the steps without faults
)

// Changes of the members.
const (
	actionAdd     = "add"
	actionPromote = "promote"
	actionRemove  = "remove"
)

// Run runs the simulation of a seed: with faults for a while, then without. It returns what did not hold: something that was
// acknowledged is gone, two members led in one term, a change left no majority that answers, a token or a revision went back, or
// the store did not work at the end, with every member in it; empty: everything held. events counts what happened, to show what
// the simulation covered. mutant is one of Mutants, or empty.
func Run(seed uint64, mutant string) (violation string, events map[string]int) {
	w, err := newWorld(seed, mutant)
	if err != nil {
		return err.Error(), nil
	}
	recoveryStep := w.drawRecoveryStep()
	for step := range faultSteps + calmSteps {
		w.now += stepDuration
		if step == recoveryStep {
			w.recover()
		}
		w.calm = step >= faultSteps
		if step == faultSteps {
			w.heal()
		}
		w.step()
		if w.violation != "" {
			return w.violation, w.events
		}
		if step == faultSteps+calmSteps/2 {
			w.events[eventWrites] = w.acknowledgedWrites
		}
	}
	return w.unfinished(), w.events
}

// newWorld returns three or five members that begin together.
func newWorld(seed uint64, mutant string) (*world, error) {
	w := &world{
		rng:         rand.New(rand.NewPCG(seed, randomStream)),
		mutant:      mutant,
		partitioned: map[link]bool{},
		leaders:     map[uint64]string{},
		events:      map[string]int{},
	}
	var err error
	if w.state, err = document.New(document.DefaultLimits, leaseTerms); err != nil {
		return nil, err
	}
	var servers []server
	for i := range 3 + 2*w.rng.IntN(2) {
		servers = append(servers, server{fmt.Sprint("m", i), true})
	}
	first := entry{term: 1, servers: servers, membersAt: 1}
	for _, s := range servers {
		d := newDirectory()
		d.storeID, d.term, d.log = "s", 1, []entry{first}
		w.members = append(w.members, &member{name: s.name, directory: d, running: true, participating: true})
	}
	w.committed, w.initialVoters = []entry{first}, len(servers)
	return w, nil
}

// drawRecoveryStep returns the step at which the majority is lost for good; -1: it is not.
func (w *world) drawRecoveryStep() int {
	if w.rng.IntN(4) != 0 {
		return -1
	}
	return w.rng.IntN(faultSteps)
}

// step has faults happen, leaders write, others campaign and operators do their work.
func (w *world) step() {
	if !w.calm && w.rng.IntN(6) == 0 {
		w.fault()
	}
	led := false
	for _, m := range w.members {
		if m.running && m.leading {
			led = true
			w.propose(m)
			w.replicate(m)
		}
	}
	m := w.members[w.rng.IntN(len(w.members))]
	if m.participating && !m.leading && (!led || !w.calm && w.rng.IntN(20) == 0) {
		w.campaign(m)
	}
	w.operate()
}

// unfinished says what the steps without faults did not mend; empty: they mended everything.
func (w *world) unfinished() string {
	if w.acknowledgedWrites <= w.events[eventWrites] {
		return fmt.Sprintf("nothing was committed in the last %d steps without faults", calmSteps/2)
	}
	for _, m := range w.members {
		if !m.participating {
			return fmt.Sprintf("%s is not in the store %d steps after the faults: %s", m.name, calmSteps, m.exclusionReason)
		}
	}
	return ""
}
