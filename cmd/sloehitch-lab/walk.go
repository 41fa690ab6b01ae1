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

// walkCmd plays many seeds of the models of leases, duties, the store's members, permits and releases.
type walkCmd struct {
	What   string  `arg:"" enum:"leases,duties,members,permits,releases" help:"leases, duties, members, permits or releases."`
	First  uint64  `default:"0" help:"The first seed."`
	Seeds  uint64  `default:"100000" help:"How many."`
	Mutant string  `help:"A fault of the program itself to be found; leave it out to play the program as it is."`
	Nodes  int     `help:"Of permits: nodes of each fleet, up to 1000; left out, some."`
	Drift  float64 `default:"0.05" help:"Of leases: how wrong clocks really go; 0.05 is allowed for."`
}

func (c *walkCmd) Run() error {
	mutants, play := duties.Mutants, func(seed uint64) string { return duties.Run(seed, c.Mutant) }
	switch c.What {
	case "members":
		mutants, play = members.Mutants, func(seed uint64) string {
			wrong, _ := members.Run(seed, c.Mutant)
			return wrong
		}
	case "permits":
		mutants, play = permits.Mutants, func(seed uint64) string {
			wrong, _ := permits.RunFleet(c.Nodes, seed, c.Mutant)
			return wrong
		}
	case "releases":
		mutants, play = permits.ReleaseMutants, func(seed uint64) string {
			wrong, _ := permits.RunRelease(seed, c.Mutant)
			return wrong
		}
	case "leases":
		terms := lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.05}
		mutants, play = leases.Mutants, func(seed uint64) string { return leases.Run(seed, terms, c.Drift, c.Mutant) }
	}
	if c.Mutant != "" && !slices.Contains(mutants, c.Mutant) {
		return fmt.Errorf("--mutant %q: one of %q is wanted", c.Mutant, mutants)
	}
	if c.Nodes < 0 || c.Nodes > 1000 {
		return fmt.Errorf("--nodes %d: 1 to 1000 are wanted", c.Nodes)
	}
	var next, played atomic.Uint64
	var mu sync.Mutex
	first, wrong := c.First+c.Seeds, ""
	var wg sync.WaitGroup
	for range runtime.NumCPU() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				seed := c.First + next.Add(1) - 1
				mu.Lock()
				over := seed >= first // a later seed than one that is known to be wrong says nothing new
				mu.Unlock()
				if over {
					return
				}
				found := play(seed)
				played.Add(1)
				if found != "" {
					mu.Lock()
					if seed < first {
						first, wrong = seed, found
					}
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	if wrong != "" {
		fmt.Printf("seed %d: %s\n", first, wrong)
		return errFailed
	}
	fmt.Printf("%d seeds held\n", played.Load())
	return nil
}
