package modelcheck

import (
	"flag"
	"testing"
)

var seeds = flag.Int("walk.seeds", 100, "how many seeds are simulated")

// TestRulesHoldUnderFaults checks that in simulations with faults no acknowledged write is lost, no change leaves the
// store without a majority, and tokens and revisions never decrease. It also checks that each kind of event occurs in at
// least 1 % of the seeds.
func TestRulesHoldUnderFaults(t *testing.T) {
	seedsWith := map[string]int{}
	for seed := range uint64(*seeds) {
		violation, events := Run(seed, "")
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		for event := range events {
			seedsWith[event]++
		}
	}
	t.Logf("of %d seeds: %v", *seeds, seedsWith)
	for _, event := range []string{eventExcluded, eventAllKilled, actionAdd, actionPromote, actionRemove, eventRejected, eventRestored, eventRecovered, eventWrites} {
		if seedsWith[event]*100 < *seeds {
			t.Errorf("%s: occurred in only %d of %d seeds", event, seedsWith[event], *seeds)
		}
	}
}

// TestDetectsMutants checks that the simulation detects each mutant. Each search starts shortly before the first
// seed that detects the mutant, counted from 0 (docs/design/fleet.md).
func TestDetectsMutants(t *testing.T) {
	for mutant, first := range map[string]uint64{mutantOlderCopies: 0, mutantProgressInRAM: 130, mutantMajorityIgnored: 0, mutantVoteAtOnce: 0, mutantNoTokenFloor: 0} {
		found := false
		for seed := first; seed < first+20 && !found; seed++ {
			if violation, _ := Run(seed, mutant); violation != "" {
				t.Logf("%s: seed %d: %s", mutant, seed, violation)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not detected in 20 seeds from %d", mutant, first)
		}
	}
}
