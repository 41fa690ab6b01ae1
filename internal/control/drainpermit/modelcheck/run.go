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

// How long a run lasts, in simulated time.
const (
	faultsDuration = 60 * time.Second
	// endDuration and endDurationPerNode are what a run without faults may take until all has come to its end.
	endDuration        = 30 * time.Second
	endDurationPerNode = 20 * time.Second
	// releaseDurationPerNode is what a release may take beside that, there and back.
	releaseDurationPerNode = 4 * 60 * time.Second
)

// Sizes of fleets, in nodes. Every largeFleetEvery-th seed has a large one.
const (
	maxNodes        = 9
	maxZones        = 3
	largeFleet      = 60
	largeFleetEvery = 50
)

// Run runs the fleet of a seed: with faults for a while, then without, by the end of which every request must
// have come to its end. It returns what did not hold, or "": more nodes out of service voluntarily than a
// budget allows, a node that went out after a halt was acknowledged, or requests that did not end. counts
// says how often what has happened. mutant is one of Mutants, or empty. It may be called concurrently.
func Run(seed uint64, mutant string) (violation string, counts map[string]int) {
	return run(seed, mutant, 0, false)
}

// RunFleet is Run with a fleet of the given number of nodes; 0: as the seed has it.
func RunFleet(nodes int, seed uint64, mutant string) (violation string, counts map[string]int) {
	return run(seed, mutant, nodes, false)
}

// RunRelease is Run with a release through the fleet, of a good or a bad version: its controllers stall and
// take each other's place, and operators halt it, resume it, roll it back and drain nodes meanwhile. Beside
// the budgets and halts it checks that no node is requested for the release after its halt was acknowledged,
// or with a version that contradicts the release's state; that a good version is never found worse, whatever
// the upstream servers do; and that in the end all nodes run the version that they should, or none do. mutant
// is one of ReleaseMutants, or empty.
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
	return w.unfinished(), w.counts
}

// newWorld draws the world of a seed.
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
	for i := range candidates {
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

// setBudgets draws the budgets, and writes them to the store.
func (w *world) setBudgets() {
	inFleet, inZone := 1+w.random.IntN(max(1, len(w.nodes)/2)), 1
	w.budgets = disruption.Budgets{{Scope: "fleet", MaxUnavailable: &inFleet}}
	if w.zones > 1 {
		w.budgets = append(w.budgets, disruption.Budget{Scope: "zone", MaxUnavailable: &inZone})
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

// endFaults ends the faults: operators resume what is halted and withdraw their drains, and releases go on.
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

// runEvents runs all events that are due, those too that they add, in the order in which they were added.
func (w *world) runEvents() {
	for i := 0; i < len(w.queue); i++ {
		event := w.queue[i]
		if event.at > w.now {
			continue
		}
		w.queue = slices.Delete(w.queue, i, i+1)
		i = -1 // an event may add others that are due
		event.run()
	}
}

// unfinished describes what has not come to its end.
func (w *world) unfinished() string {
	took := w.now - faultsDuration
	if w.rollout != nil {
		return fmt.Sprintf("%v after the faults: %s", took, w.describeRelease())
	}
	left := map[string]string{}
	for _, d := range w.store.List(fleetstate.DrainKeyPrefix) {
		left[d.Key] = d.Value
	}
	return fmt.Sprintf("%v after the faults of %d nodes in %d zones, %d of them out at most, there are %v",
		took, len(w.nodes), w.zones, *w.budgets[0].MaxUnavailable, left)
}
