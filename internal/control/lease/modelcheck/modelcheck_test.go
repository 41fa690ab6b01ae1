package modelcheck

import (
	"flag"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
)

var seeds = flag.Uint64("lease.seeds", 10000, "how many seeds are simulated")

var terms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.05}

// TestOneHolderAtATime checks that no two candidates hold the task at once with clocks that drift by the maximum of
// the terms.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range *seeds {
		if violation := Run(seed, terms, terms.MaxDrift, ""); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// TestFindsExcessiveDriftAndMutants checks that the bound on drift is tight: the simulation finds violations with clocks that
// drift more, and with each mutant.
func TestFindsExcessiveDriftAndMutants(t *testing.T) {
	expectViolation := func(mutant string, drift float64) {
		const maxSeeds = 3000
		seed := uint64(0)
		for ; seed < maxSeeds && Run(seed, terms, drift, mutant) == ""; seed++ {
		}
		if seed == maxSeeds {
			t.Errorf("mutant %q with a drift of %v: no violation found with %d seeds", mutant, drift, maxSeeds)
			return
		}
		t.Logf("mutant %q with a drift of %v: violation found with seed %d", mutant, drift, seed)
	}
	expectViolation("", 0.08) // the terms allow for 0.05
	for _, mutant := range Mutants {
		expectViolation(mutant, terms.MaxDrift)
	}
}
