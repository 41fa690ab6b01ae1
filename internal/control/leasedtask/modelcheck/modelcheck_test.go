package modelcheck

import (
	"flag"
	"testing"
)

var seeds = flag.Uint64("duty.seeds", 1000, "how many seeds are simulated")

func TestStepsHappenOnceInTokenOrder(t *testing.T) {
	for seed := range *seeds {
		if violation := Run(seed, ""); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

func TestMutantsAreCaught(t *testing.T) {
	for _, mutant := range Mutants {
		const within = 2000
		seed := uint64(0)
		for ; seed < within && Run(seed, mutant) == ""; seed++ {
		}
		if seed == within {
			t.Errorf("%s: not found within %d seeds", mutant, within)
			continue
		}
		t.Logf("%s: found by seed %d: %s", mutant, seed, Run(seed, mutant))
	}
}
