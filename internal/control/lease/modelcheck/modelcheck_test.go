package modelcheck

import (
	"flag"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
)

var seeds = flag.Uint64("lease.seeds", 10000, "how many seeds are simulated")

var terms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.05}

// TestOneHolderAtATime: with clocks that are as wrong as the terms allow.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range *seeds {
		if violation := Run(seed, terms, terms.MaxDrift, ""); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// TestBreaksAboveTheBound: the bound on drift is tight: clocks that are worse, and mutants, are found.
func TestBreaksAboveTheBound(t *testing.T) {
	expectViolation := func(mutant string, drift float64) {
		const within = 3000
		seed := uint64(0)
		for ; seed < within && Run(seed, terms, drift, mutant) == ""; seed++ {
		}
		if seed == within {
			t.Errorf("%q with a drift of %v: not found within %d seeds", mutant, drift, within)
			return
		}
		t.Logf("%q with a drift of %v: found by seed %d", mutant, drift, seed)
	}
	expectViolation("", 0.08) // of 0.05 allowed for
	for _, mutant := range Mutants {
		expectViolation(mutant, terms.MaxDrift)
	}
}
