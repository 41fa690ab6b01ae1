package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// Duration of a run, in simulated time.
const (
	faultsDuration = 60 * time.Second
	// endDuration and endDurationPerNode bound how long a run may take after the faults until all requests have ended.
	endDuration        = 30 * time.Second
	endDurationPerNode = 20 * time.Second
	// releaseDurationPerNode is the additional time for a release and its rollback.
	releaseDurationPerNode = 4 * 60 * time.Second
)

// Sizes of fleets, in nodes. Every largeFleetEvery-th seed has a large fleet.
const (
	maxNodes        = 9
	maxZones        = 3
	largeFleet      = 60
	largeFleetEvery = 50
)

// Run simulates the fleet of a seed, first with faults, then without until every request must have ended. It
// returns the first violation, or "": more nodes voluntarily out of service than a budget allows, a node that
// went out of service after a halt was acknowledged, or requests that did not end. counts has the number of
// events by kind. mutant is one of Mutants, or empty. It may be called concurrently.
func Run(seed uint64, mutant string) (violation string, counts map[string]int) {
	return run(seed, mutant, 0, false)
}

// RunFleet is like Run with a fleet of the given number of nodes. If nodes is 0, the seed determines the size.
func RunFleet(nodes int, seed uint64, mutant string) (violation string, counts map[string]int) {
	return run(seed, mutant, nodes, false)
}

// RunRelease is like Run with a release of a good or a bad version to the fleet. The candidates for its control
// stall and replace each other, and operators halt, resume and roll back the release and drain nodes meanwhile.
// In addition to the budgets and halts, it checks that no node is requested for the release after a halt was
// acknowledged, or with a version that contradicts the release's state; that a good version is never found
// worse, whatever the upstream servers do; and that in the end all nodes run the target version, or none does.
// mutant is one of ReleaseMutants, or empty.
func RunRelease(seed uint64, mutant string) (violation string, counts map[string]int) {
	return run(seed, mutant, 0, true)
}

func run(seed uint64, mutant string, nodes int, withRelease bool) (violation string, counts map[string]int) {
	w, err := newWorld(seed, mutant, nodes, withRelease)
	if err != nil {
		return err.Error(), nil
	}
	for ; w.now < w.end; w.now += tick {
		w.step()
		if w.violation != "" {
			return w.violation, w.counts
		}
		if w.faultsOver && len(w.queue) == 0 && w.idle() {
			return "", w.counts
		}
	}
	if w.idle() {
		return "", w.counts
	}
	return w.describeUnfinished(), w.counts
}

// newWorld draws the fleet and the first state of the run from a seed.
func newWorld(seed uint64, mutant string, nodes int, withRelease bool) (*world, error) {
	w := &world{
		random:   rand.New(rand.NewPCG(seed, 26)),
		mutant:   mutant,
		haltedAt: map[string]time.Duration{},
		requests: map[string]cached[fleetstate.DrainRequest]{},
		permits:  map[string]cached[fleetstate.Permit]{},
		counts:   map[string]int{},
	}
	var err error
	if w.store, err = document.New(document.DefaultLimits, LeaseTerms); err != nil {
		return nil, err
	}
	size := 1 + w.random.IntN(maxNodes)
	w.zones = 1 + w.random.IntN(maxZones)
	if seed%largeFleetEvery == 0 && !withRelease {
		size = largeFleet
	}
	if nodes > 0 {
		size = nodes
	}
	w.addNodes(size)
	for i := range candidateCount {
		w.granters = append(w.granters, &granter{candidate: w.newCandidate(i)})
	}
	w.setBudgets()
	w.end = faultsDuration + time.Duration(size)*endDurationPerNode + endDuration
	if withRelease {
		w.planRelease()
		w.end += time.Duration(size) * releaseDurationPerNode
	}
	return w, nil
}

// addNodes adds nodes that have been in service for a minute.
func (w *world) addNodes(size int) {
	for i := range size {
		zone := fmt.Sprint("z", i%w.zones)
		n := &node{name: fmt.Sprintf("n%03d", i), zone: zone, clockRate: w.randomClockRate(), version: "v0"}
		w.startProcess(n)
		n.healthySince = -time.Minute
		w.nodes = append(w.nodes, n)
	}
}

// setBudgets draws the budgets and writes them to the store.
func (w *world) setBudgets() {
	maxInFleet, maxInZone := 1+w.random.IntN(max(1, len(w.nodes)/2)), 1
	w.budgets = disruption.Budgets{{Scope: "fleet", MaxUnavailable: &maxInFleet}}
	if w.zones > 1 {
		w.budgets = append(w.budgets, disruption.Budget{Scope: "zone", MaxUnavailable: &maxInZone})
	}
	w.store.Apply(document.Transaction{ID: w.newID(),
		Operations: []document.Operation{{Key: fleetstate.BudgetsKey, Value: fleetstate.Encode(w.budgets)}}}, 0)
}

// step runs all processes and operators for a tick.
func (w *world) step() {
	if !w.faultsOver && w.now >= faultsDuration {
		w.endFaults()
	}
	w.runEvents()
	switch {
	case w.rollout != nil:
		w.stepRelease()
	case !w.faultsOver && w.random.IntN(4) == 0:
		w.runOperator()
	}
	for _, n := range w.nodes {
		w.stepNode(n)
	}
	for _, g := range w.granters {
		if w.isRunning(&g.candidate) {
			w.runGranter(g)
		}
	}
	w.checkBudgets()
}

// endFaults ends the faults. Operators end all halts and withdraw their drains; releases continue.
func (w *world) endFaults() {
	w.faultsOver = true
	for _, d := range w.store.List(fleetstate.HaltKeyPrefix) {
		w.delete(d.Key)
	}
	clear(w.haltedAt)
	for _, d := range w.drainDocuments("/ask") {
		request := decodeCached(w, w.requests, d)
		if request.ReleaseName == "" || request.FailureReason != "" && w.rollout == nil {
			w.delete(d.Key)
		}
	}
}

// runEvents runs all events that are due, including those that they add, in the order in which they were added.
func (w *world) runEvents() {
	for i := 0; i < len(w.queue); i++ {
		event := w.queue[i]
		if event.at > w.now {
			continue
		}
		w.queue = slices.Delete(w.queue, i, i+1)
		i = -1 // start again: the event may have added others that are due
		event.run()
	}
}

// describeUnfinished describes the requests, permits and release that have not ended.
func (w *world) describeUnfinished() string {
	elapsed := w.now - faultsDuration
	if w.rollout != nil {
		return fmt.Sprintf("release not ended %v after the end of the faults: %s", elapsed, w.describeRelease())
	}
	remaining := map[string]string{}
	for _, d := range w.store.List(fleetstate.DrainKeyPrefix) {
		remaining[d.Key] = d.Value
	}
	return fmt.Sprintf("drains not ended %v after the end of the faults (%d nodes in %d zones, at most %d may be unavailable): %v",
		elapsed, len(w.nodes), w.zones, *w.budgets[0].MaxUnavailable, remaining)
}
