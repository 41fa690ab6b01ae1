package main

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	permits "sloehitch/internal/control/drainpermit/modelcheck"
	"sloehitch/internal/control/lease"
	leases "sloehitch/internal/control/lease/modelcheck"
	duties "sloehitch/internal/control/leasedtask/modelcheck"
	members "sloehitch/internal/store/quorum/modelcheck"
)

// modelCheckCmd runs the model checks of leases, leased tasks, the store's membership, drain permits and releases for many seeds.
type modelCheckCmd struct {
	What   string  `arg:"" enum:"leases,duties,members,permits,releases" help:"The model: leases, duties, members, permits or releases."`
	First  uint64  `default:"0" help:"The first seed."`
	Seeds  uint64  `default:"100000" help:"Number of seeds."`
	Mutant string  `help:"A deliberate fault of the program that the check must find; default: none."`
	Nodes  int     `help:"Permits: number of nodes of each fleet, up to 1000; default: drawn from the seed."`
	Drift  float64 `default:"0.05" help:"Leases: actual drift of the clocks; the leases allow for 0.05."`
}

func (c *modelCheckCmd) Run() error {
	mutants, runSeed := c.model()
	if c.Mutant != "" && !slices.Contains(mutants, c.Mutant) {
		return fmt.Errorf("--mutant %q is unknown: expected one of %q", c.Mutant, mutants)
	}
	if c.Nodes < 0 || c.Nodes > 1000 {
		return fmt.Errorf("--nodes %d is out of range: expected 1 to 1000", c.Nodes)
	}
	run := &seedRun{runSeed: runSeed, start: c.First, end: c.First + c.Seeds}
	var workers sync.WaitGroup
	for range runtime.NumCPU() {
		workers.Go(run.work)
	}
	workers.Wait()
	if run.violation != "" {
		fmt.Printf("seed %d: %s\n", run.end, run.violation)
		return errCheckFailed
	}
	fmt.Printf("%d seeds without a violation\n", run.completed.Load())
	return nil
}

// model returns the mutants of the chosen model, and a function that runs one seed and returns the violated rule, or "".
func (c *modelCheckCmd) model() (mutants []string, runSeed func(seed uint64) string) {
	switch c.What {
	case "members":
		return members.Mutants, func(seed uint64) string {
			violation, _ := members.Run(seed, c.Mutant)
			return violation
		}
	case "permits":
		return permits.Mutants, func(seed uint64) string {
			violation, _ := permits.RunFleet(c.Nodes, seed, c.Mutant)
			return violation
		}
	case "releases":
		return permits.ReleaseMutants, func(seed uint64) string {
			violation, _ := permits.RunRelease(seed, c.Mutant)
			return violation
		}
	case "leases":
		terms := lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.05}
		return leases.Mutants, func(seed uint64) string { return leases.Run(seed, terms, c.Drift, c.Mutant) }
	}
	return duties.Mutants, func(seed uint64) string { return duties.Run(seed, c.Mutant) }
}

// seedRun runs the seeds of a model on several workers, and records the lowest seed that violates a rule.
type seedRun struct {
	runSeed         func(seed uint64) string
	start           uint64
	next, completed atomic.Uint64

	mu        sync.Mutex
	end       uint64 // seeds from here on need not run: only the lowest seed that violates a rule is reported
	violation string // violation of seed end
}

// work runs seeds until none is left.
func (r *seedRun) work() {
	for {
		seed := r.start + r.next.Add(1) - 1
		if !r.needed(seed) {
			return
		}
		violation := r.runSeed(seed)
		r.completed.Add(1)
		if violation != "" {
			r.record(seed, violation)
		}
	}
}

func (r *seedRun) needed(seed uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return seed < r.end
}

func (r *seedRun) record(seed uint64, violation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if seed < r.end {
		r.end, r.violation = seed, violation
	}
}
