package modelcheck

import (
	"flag"
	"testing"
)

var seeds = flag.Uint64("duty.seeds", 1000, "how many seeds are simulated")

// TestStepsHappenOnceInTokenOrder checks that the invariants hold and all jobs make progress, with every seed.
func TestStepsHappenOnceInTokenOrder(t *testing.T) {
	for seed := range *seeds {
		if violation := Run(seed, ""); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// TestMutantsAreCaught checks that the simulation finds a violation with each mutant.
func TestMutantsAreCaught(t *testing.T) {
	for _, mutant := range Mutants {
		const maxSeeds = 2000
		seed := uint64(0)
		for ; seed < maxSeeds && Run(seed, mutant) == ""; seed++ {
		}
		if seed == maxSeeds {
			t.Errorf("mutant %q: no violation found with %d seeds", mutant, maxSeeds)
			continue
		}
		t.Logf("mutant %q: violation found with seed %d: %s", mutant, seed, Run(seed, mutant))
	}
}
