package modelcheck

import (
	"flag"
	"testing"
)

var seeds = flag.Int("walk.seeds", 100, "how many worlds are played")

// TestMembers: whatever happens to members, nothing that was acknowledged is lost, no change leaves the store without a majority, and
// tokens and revisions go on; each kind of thing has happened often enough to show it.
func TestMembers(t *testing.T) {
	met := map[string]int{}
	for seed := range uint64(*seeds) {
		wrong, here := Run(seed, "")
		if wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
		for what := range here {
			met[what]++
		}
	}
	t.Logf("of %d worlds: %v", *seeds, met)
	for _, what := range []string{"kept out", "all killed", "add", "promote", "remove", "refused", "restored", "recovered", "writes"} {
		if met[what]*100 < *seeds {
			t.Errorf("%s: in %d of %d worlds only", what, met[what], *seeds)
		}
	}
}

// TestMutants begins close to the seed at which each is seen first, of those from 0 (docs/design/fleet.md).
func TestMutants(t *testing.T) {
	for mutant, first := range map[string]uint64{"older copies let in": 0, "marks not on disk": 130, "majority not looked at": 0, "a vote at once": 0, "no floor after a restore": 0} {
		found := false
		for seed := first; seed < first+20 && !found; seed++ {
			if wrong, _ := Run(seed, mutant); wrong != "" {
				t.Logf("%s: seed %d: %s", mutant, seed, wrong)
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not seen in 20 seeds from %d", mutant, first)
		}
	}
}
