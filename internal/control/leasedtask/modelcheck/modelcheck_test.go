package modelcheck

import (
	"flag"
	"testing"
)

var seeds = flag.Uint64("duty.seeds", 1000, "how many seeds the walk is played with")

func TestStepsHappenOnceInTokenOrder(t *testing.T) {
	for seed := range *seeds {
		if wrong := Run(seed, ""); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
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
			t.Errorf("%s: not caught within %d seeds", mutant, within)
			continue
		}
		t.Logf("%s: caught by seed %d: %s", mutant, seed, Run(seed, mutant))
	}
}
