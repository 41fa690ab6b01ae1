package desiredstate

import (
	"math/rand/v2"
	"testing"
)

// TestFollowerNeverGoesBackAndEndsAtNewest: in whatever order and however often documents are observed, and however
// stale they are, the applied version never decreases, and the newest state is applied in the end.
func TestFollowerNeverGoesBackAndEndsAtNewest(t *testing.T) {
	type observation struct {
		text              string
		version, revision uint64
	}
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 3))
		var observations []observation
		newest := Applied{}
		for v := uint64(1 + r.IntN(5)); len(observations) < 12; v += uint64(1 + r.IntN(5)) {
			switch r.IntN(4) {
			case 0:
				observations = append(observations, observation{"", 0, v})
				newest = Applied{v, State{}}
			case 1:
				observations = append(observations, observation{"{", v, v})
			default:
				out := r.IntN(2) == 0
				observations = append(observations, observation{map[bool]string{true: `{"out":true}`, false: `{"out":false}`}[out], v, v})
				newest = Applied{v, State{OutOfService: out}}
			}
		}
		f := NewFollower(Applied{})
		for i := range 100 {
			index := r.IntN(len(observations))
			if i >= 90 {
				index = len(observations) - 1 - (i-90)%len(observations) // the last ten observations start with the newest
			}
			before := f.LastApplied()
			switch next, decision, _ := f.Observe(observations[index].text, observations[index].version, observations[index].revision); decision {
			case Apply:
				if next.Version <= before.Version {
					t.Fatalf("seed %d: version %d was applied after version %d", seed, next.Version, before.Version)
				}
				f.MarkApplied(next)
			case Reject:
				if observations[index].text != "{" {
					t.Fatalf("seed %d: valid document %q was rejected", seed, observations[index].text)
				}
			}
		}
		if f.LastApplied().State != newest.State {
			t.Fatalf("seed %d: last applied %+v, want %+v", seed, f.LastApplied(), newest)
		}
	}
}
