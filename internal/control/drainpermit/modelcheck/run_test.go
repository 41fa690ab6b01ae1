package modelcheck

import (
	"flag"
	"testing"
)

var seeds = flag.Int("walk.seeds", 60, "how many fleets are simulated")

// expectCounted checks that each event has happened in at least one of every so many runs: otherwise they
// show little.
func expectCounted(t *testing.T, runsWith map[string]int, runs, every int, events ...string) {
	t.Helper()
	for _, event := range events {
		if runsWith[event]*every < runs {
			t.Errorf("%s: in %d of %d runs only", event, runsWith[event], runs)
		}
	}
}

// TestDrains: whatever happens, no more nodes are out of service voluntarily than the budgets allow, nothing
// starts after a halt was acknowledged, and every request comes to its end once the faults are over.
func TestDrains(t *testing.T) {
	runsWith, total := map[string]int{}, map[string]int{}
	for seed := range uint64(*seeds) {
		violation, counts := Run(seed, "")
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		for event, n := range counts {
			runsWith[event]++
			total[event] += n
		}
	}
	t.Logf("of %d fleets: %v; in all %v", *seeds, runsWith, total)
	expectCounted(t, runsWith, *seeds, 10, countOutOfService, countRejected, countReplaced, countHalted, countGranters, countKilled)
}

// TestMutants begins close to the seed at which each is seen first (docs/design/drains.md has all of them from 1).
func TestMutants(t *testing.T) {
	for mutant, first := range map[string]uint64{
		mutantIgnoresHalt:          5,
		mutantStartsOldPermit:      5,
		mutantIgnoresWindow:        1075,
		mutantGrantsOnOldCount:     88,
		mutantRemovesStarted:       282,
		mutantWarmingUpIsAvailable: 5,
	} {
		found := false
		for seed := first; seed < first+20 && !found; seed++ {
			if violation, _ := Run(seed, mutant); violation != "" {
				t.Logf("%s: seed %d: %.200s", mutant, seed, violation)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not seen in 20 seeds from %d", mutant, first)
		}
	}
}

// TestReleases: a release goes through the fleet or back, whatever happens; a bad one is seen, a good one is
// never found worse.
func TestReleases(t *testing.T) {
	runsWith, runs := map[string]int{}, max(1, *seeds/5) // each takes some ten times as long
	for seed := range uint64(runs) {
		violation, counts := RunRelease(seed, "")
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		for event := range counts {
			runsWith[event]++
		}
	}
	t.Logf("of %d releases: %v", runs, runsWith)
	expectCounted(t, runsWith, runs, 12, countRequests, countReplaced, countHalted, countControllers, countKilled, countRolledBack, countFoundWorse)
}

// TestReleaseMutants has the first seed at which each is seen.
func TestReleaseMutants(t *testing.T) {
	for mutant, seed := range map[string]uint64{
		mutantRequestIgnoresHalt:    26,
		mutantRequestWithoutLease:   75,
		mutantRollbackIgnoresBudget: 13,
		mutantUnpairedAnalysis:      21,
	} {
		if violation, _ := RunRelease(seed, mutant); violation == "" {
			t.Errorf("%s: not seen at seed %d", mutant, seed)
		}
	}
}
