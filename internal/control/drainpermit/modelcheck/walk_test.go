package modelcheck

import (
	"flag"
	"testing"
)

var seeds = flag.Int("walk.seeds", 60, "how many fleets are played")

// TestPermits: whatever happens, no more are out by choice than the budgets let, nothing begins after a halt was acknowledged, and every
// wish has its way once the faults are over; each kind of thing has happened often enough to show it.
func TestPermits(t *testing.T) {
	met, sum := map[string]int{}, map[string]int{}
	for seed := range uint64(*seeds) {
		wrong, here := Run(seed, "")
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for what, n := range here {
			met[what]++
			sum[what] += n
		}
	}
	t.Logf("of %d fleets: %v; in all %v", *seeds, met, sum)
	for _, what := range []string{"out", "refused", "replaced", "halted", "keepers", "killed"} {
		if met[what]*10 < *seeds {
			t.Errorf("%s: in %d of %d fleets only", what, met[what], *seeds)
		}
	}
}

// TestMutants begins close to the seed at which each is seen first (docs/design/drains.md has all of them from 1).
func TestMutants(t *testing.T) {
	for mutant, first := range map[string]uint64{"halt not looked at": 5, "old permit still good": 5, "window not counted": 1075, "counted before others were granted": 88, "lapse frees a begun permit": 282, "warming counts as in": 5} {
		found := false
		for seed := first; seed < first+20 && !found; seed++ {
			if wrong, _ := Run(seed, mutant); wrong != "" {
				t.Logf("%s: seed %d: %.200s", mutant, seed, wrong)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not seen in 20 seeds from %d", mutant, first)
		}
	}
}

// TestReleases: a release goes through the fleet or back, whatever happens; a bad one is seen, a good one never called worse.
func TestReleases(t *testing.T) {
	met, few := map[string]int{}, max(1, *seeds/5) // each takes some ten times as long
	for seed := range uint64(few) {
		wrong, here := RunRelease(seed, "")
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for what := range here {
			met[what]++
		}
	}
	t.Logf("of %d releases: %v", few, met)
	for _, what := range []string{"steps", "replaced", "halted", "owners", "killed", "back", "called worse"} {
		if met[what]*12 < few {
			t.Errorf("%s: in %d of %d releases only", what, met[what], few)
		}
	}
	for mutant, seed := range map[string]uint64{"halt not looked at before a step": 26, "step of an overtaken owner": 75, "way back ignores the budget": 13, "judgement without pairing": 21} {
		if wrong, _ := RunRelease(seed, mutant); wrong == "" {
			t.Errorf("%s: not seen at seed %d", mutant, seed)
		}
	}
}
