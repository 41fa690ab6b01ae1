package emulator

import (
	"testing"
	"time"
)

// TestDependency: below the dependency's capacity its calls add their service time and no more; while it is slow or too small,
// requests that can't meet their deadline are rejected or fail, no invariant is violated, and goodput recovers soon after.
func TestDependency(t *testing.T) {
	run := func(policy string, slots int, faults ...Fault) (*Result, float64) {
		t.Helper()
		w := smallFleet(4, 0.6, policy)
		w.Duration, w.WarmUp, w.BurstAmplitude, w.Faults = 20*time.Second, 2*time.Second, 0, faults
		w.Dependency = &Dependency{Slots: slots, ServiceTime: Distribution{Mean: 0.03, CV: 0.5, Kind: "lognormal"}, MaxQueued: 2 * slots}
		for i := range w.Classes {
			w.Classes[i].CallsDependency = true
		}
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range r.Classes {
			if sum := c.WithinObjective + c.Late + c.Rejected + c.Failed + c.TimedOut; sum != c.Offered {
				t.Errorf("%s, %d slots: %d offered, %d ended", policy, slots, c.Offered, sum)
			}
		}
		for _, b := range r.Violations {
			if policy == "sloehitch" {
				t.Fatalf("%s, %d slots: %v", policy, slots, b)
			}
		}
		return r, r.Goodput(&w)
	}
	// 238 calls a second of 30 ms want 7.2 slots.
	ample, all := run("sloehitch", 60)
	if all < 0.98 || ample.Classes[0].Latency.Mean() < 80_000 {
		t.Errorf("ample: goodput %.3f, searches take %.0f us", all, ample.Classes[0].Latency.Mean())
	}
	if _, plain := run("none", 60); plain < 0.98 {
		t.Errorf("ample, without a limit: goodput %.3f", plain)
	}
	if _, few := run("sloehitch", 4); few < 0.3 || few > 0.8 {
		t.Errorf("half of the slots that are wanted: goodput %.3f", few)
	}
	if _, slow := run("sloehitch", 60, Fault{At: 6 * time.Second, Kind: FaultSlowDependency, Duration: 4 * time.Second, Factor: 0.05}); slow < 0.7 || slow >= all {
		t.Errorf("slow for 4 of 18 s: goodput %.3f", slow)
	}
}
