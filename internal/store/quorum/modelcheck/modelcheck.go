// Package modelcheck checks the rules for the store's members in random simulations. Members keep a log by majority;
// they are partitioned from one another, crash, and restart on their data directories, on older copies of them, on
// empty ones or on another store's. Members are added, promoted, given the leadership and removed while the store runs.
// States are restored from a backup, and a majority is permanently lost.
//
// The rules are the production code (packages quorum and document). The log below them is a simple model of raft
// (raft.go; Ongaro and Ousterhout, "In search of an understandable consensus algorithm", 2014), in which one exchange
// of messages is one step.
package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// Mutants: deliberate faults in the rules.
const (
	mutantOlderCopies     = "older copies let in"
	mutantProgressInRAM   = "marks not on disk"
	mutantMajorityIgnored = "majority not looked at"
	mutantVoteAtOnce      = "a vote at once"
	mutantNoTokenFloor    = "no floor after a restore"
)

// Mutants are the faults that can be injected into the rules, to show that the simulation detects them.
var Mutants = []string{mutantOlderCopies, mutantProgressInRAM, mutantMajorityIgnored, mutantVoteAtOnce, mutantNoTokenFloor}

const (
	stepDuration   = 100 * time.Millisecond // after one step, the progress of other members is on disk
	faultSteps     = 250                    // steps with faults
	faultFreeSteps = 120                    // steps without faults, after those with faults
	randomStream   = 44                     // second half of the generator's seed; Run's seed is the first
)

var leaseTerms = lease.Terms{Duration: 2 * time.Second, MaxDrift: 0.02, SafetyMargin: 100 * time.Millisecond}

// Events counted in a simulation, in addition to the changes of the members.
const (
	eventExcluded  = "kept out"
	eventAllKilled = "all killed"
	eventRejected  = "refused" // a rejected change of the members
	eventRestored  = "restored"
	eventRecovered = "recovered"
	eventWrites    = "writes" // writes acknowledged by the middle of the steps without faults
)

// Changes of the members.
const (
	actionAdd     = "add"
	actionPromote = "promote"
	actionRemove  = "remove"
)

// Run runs the simulation of a seed, first with faults and then without. It returns the first violation, or "" if there
// is none: an acknowledged write is lost, two members lead in one term, a change leaves no responsive majority, a token
// or a revision decreases, or at the end the store does not commit writes or lacks a member. events counts what
// happened, to show what the simulation covered. mutant is one of Mutants, or empty.
func Run(seed uint64, mutant string) (violation string, events map[string]int) {
	w, err := newWorld(seed, mutant)
	if err != nil {
		return err.Error(), nil
	}
	recoveryStep := w.drawRecoveryStep()
	for step := range faultSteps + faultFreeSteps {
		w.now += stepDuration
		if step == recoveryStep {
			w.recover()
		}
		w.faultFree = step >= faultSteps
		if step == faultSteps {
			w.heal()
		}
		w.step()
		if w.violation != "" {
			return w.violation, w.events
		}
		if step == faultSteps+faultFreeSteps/2 {
			w.events[eventWrites] = w.acknowledgedWrites
		}
	}
	return w.unrecovered(), w.events
}

// newWorld returns a world of three or five members that bootstrap a store.
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

// drawRecoveryStep returns the step at which the majority is permanently lost, or -1 if it is not.
func (w *world) drawRecoveryStep() int {
	if w.rng.IntN(4) != 0 {
		return -1
	}
	return w.rng.IntN(faultSteps)
}

// step runs one step: faults are injected, leaders write, other members campaign and operators act.
func (w *world) step() {
	if !w.faultFree && w.rng.IntN(6) == 0 {
		w.injectFault()
	}
	hasLeader := false
	for _, m := range w.members {
		if m.running && m.leading {
			hasLeader = true
			w.propose(m)
			w.replicate(m)
		}
	}
	m := w.members[w.rng.IntN(len(w.members))]
	if m.participating && !m.leading && (!hasLeader || !w.faultFree && w.rng.IntN(20) == 0) {
		w.campaign(m)
	}
	w.runOperators()
}

// unrecovered describes what has not recovered in the steps without faults, or returns "" if everything has.
func (w *world) unrecovered() string {
	if w.acknowledgedWrites <= w.events[eventWrites] {
		return fmt.Sprintf("nothing was committed in the last %d steps without faults", faultFreeSteps/2)
	}
	for _, m := range w.members {
		if !m.participating {
			return fmt.Sprintf("%s does not participate in the store %d steps after the last fault: %s",
				m.name, faultFreeSteps, m.exclusionReason)
		}
	}
	return ""
}
