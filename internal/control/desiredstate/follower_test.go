package desiredstate

import (
	"math/rand/v2"
	"testing"
)

// TestFollower: in whatever order documents are observed, how often, and from however stale a member, what is
// applied never goes back and ends at the newest.
func TestFollower(t *testing.T) {
	type observation struct {
		text              string
		version, revision uint64
	}
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 3))
		var all []observation
		newest := Applied{}
		for v := uint64(1 + r.IntN(5)); len(all) < 12; v += uint64(1 + r.IntN(5)) {
			switch r.IntN(4) {
			case 0:
				all = append(all, observation{"", 0, v})
				newest = Applied{v, State{}}
			case 1:
				all = append(all, observation{"{", v, v})
			default:
				out := r.IntN(2) == 0
				all = append(all, observation{map[bool]string{true: `{"out":true}`, false: `{"out":false}`}[out], v, v})
				newest = Applied{v, State{OutOfService: out}}
			}
		}
		f := NewFollower(Applied{})
		for i := range 100 {
			at := r.IntN(len(all))
			if i >= 90 {
				at = len(all) - 1 - (i-90)%len(all) // in the end all of them, the newest first
			}
			before := f.LastApplied()
			switch a, v, _ := f.Observe(all[at].text, all[at].version, all[at].revision); v {
			case Apply:
				if a.Version <= before.Version {
					t.Fatalf("seed %d: version %d after %d", seed, a.Version, before.Version)
				}
				f.MarkApplied(a)
			case Reject:
				if all[at].text != "{" {
					t.Fatalf("seed %d: %q was refused", seed, all[at].text)
				}
			}
		}
		if f.LastApplied().State != newest.State {
			t.Fatalf("seed %d: ends at %+v, want %+v", seed, f.LastApplied(), newest)
		}
	}
}
