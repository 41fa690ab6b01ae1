package modelcheck

import (
	"flag"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
)

var seeds = flag.Uint64("lease.seeds", 10000, "how many seeds the walk is played with")

var terms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.05}

// TestOneHolderAtATime: with clocks that go wrong by as much as the terms allow.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range *seeds {
		if wrong := Run(seed, terms, terms.MaxDrift, ""); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// TestBreaksAboveTheBound: what the bound on drift says is what holds: clocks that are worse, and mutants, are caught.
func TestBreaksAboveTheBound(t *testing.T) {
	caught := func(mutant string, drift float64) {
		const within = 3000
		seed := uint64(0)
		for ; seed < within && Run(seed, terms, drift, mutant) == ""; seed++ {
		}
		if seed == within {
			t.Errorf("%q with a drift of %v: not caught within %d seeds", mutant, drift, within)
			return
		}
		t.Logf("%q with a drift of %v: caught by seed %d", mutant, drift, seed)
	}
	caught("", 0.08) // of 0.05 allowed for
	for _, mutant := range Mutants {
		caught(mutant, terms.MaxDrift)
	}
}
