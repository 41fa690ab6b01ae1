package modelcheck

import (
	"flag"
	"testing"
)

var seeds = flag.Int("walk.seeds", 60, "how many fleets are simulated")

// expectCounted checks that each event has happened in at least 1/every of the runs. Without the events the runs
// would not exercise the checks.
func expectCounted(t *testing.T, runsWith map[string]int, runs, every int, events ...string) {
	t.Helper()
	for _, event := range events {
		if runsWith[event]*every < runs {
			t.Errorf("event %q happened in only %d of %d runs", event, runsWith[event], runs)
		}
	}
}

// TestDrainsKeepBudgetsAndEnd checks that, under faults, the number of nodes voluntarily out of service stays within
// the budgets and no node goes out of service after a halt was acknowledged, and that every request ends after the
// faults.
func TestDrainsKeepBudgetsAndEnd(t *testing.T) {
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
	t.Logf("%d fleets: runs with each event %v, total events %v", *seeds, runsWith, total)
	expectCounted(t, runsWith, *seeds, 10, countOutOfService, countRejected, countReplaced, countHalted, countGranters, countKilled)
}

// TestMutantsAreDetected checks that each mutant is detected. It starts close to the first seed that detects the
// mutant, to be fast (docs/design/drains.md has the runs of all mutants from seed 1).
func TestMutantsAreDetected(t *testing.T) {
	for mutant, first := range map[string]uint64{
		mutantIgnoresHalt:          5,
		mutantStartsStalePermit:    5,
		mutantIgnoresWindow:        1075,
		mutantGrantsOnStaleCount:   88,
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
			t.Errorf("mutant %q: not detected in 20 seeds from %d", mutant, first)
		}
	}
}

// TestReleasesCompleteOrRollBack: under faults, a release updates all nodes or is rolled back. The analysis finds
// bad versions, and never finds a good one worse.
func TestReleasesCompleteOrRollBack(t *testing.T) {
	runsWith, runs := map[string]int{}, max(1, *seeds/5) // a run takes about ten times as long as one of TestDrainsKeepBudgetsAndEnd
	for seed := range uint64(runs) {
		violation, counts := RunRelease(seed, "")
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		for event := range counts {
			runsWith[event]++
		}
	}
	t.Logf("%d releases: runs with each event %v", runs, runsWith)
	expectCounted(t, runsWith, runs, 12, countRequests, countReplaced, countHalted, countControllers, countKilled, countRolledBack, countFoundWorse)
}

// TestReleaseMutantsAreDetected checks that each mutant is detected, at the first seed that detects it.
func TestReleaseMutantsAreDetected(t *testing.T) {
	for mutant, seed := range map[string]uint64{
		mutantRequestIgnoresHalt:    26,
		mutantRequestWithoutLease:   75,
		mutantRollbackIgnoresBudget: 13,
		mutantUnpairedAnalysis:      21,
	} {
		if violation, _ := RunRelease(seed, mutant); violation == "" {
			t.Errorf("mutant %q: not detected at seed %d", mutant, seed)
		}
	}
}
