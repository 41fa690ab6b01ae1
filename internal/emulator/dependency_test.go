package emulator

import (
	"testing"
	"time"
)

// TestGoodputWithSlowOrSaturatedDependency: below the dependency's capacity calls add only their service time. While the
// dependency is slow or has too few slots, requests that can't meet their deadline are rejected or fail without a violated
// invariant, and goodput recovers soon afterwards.
func TestGoodputWithSlowOrSaturatedDependency(t *testing.T) {
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
				t.Errorf("policy %s, %d slots: %d requests offered, %d ended", policy, slots, c.Offered, sum)
			}
		}
		for _, v := range r.Violations {
			if policy == "sloehitch" {
				t.Fatalf("policy %s, %d slots: %v", policy, slots, v)
			}
		}
		return r, r.Goodput(&w)
	}
	// 238 calls a second of 30 ms occupy 7.2 slots.
	ample, ampleGoodput := run("sloehitch", 60)
	if ampleGoodput < 0.98 || ample.Classes[0].Latency.Mean() < 80_000 {
		t.Errorf("60 slots: goodput %.3f, mean latency of searches %.0f us", ampleGoodput, ample.Classes[0].Latency.Mean())
	}
	if _, goodput := run("none", 60); goodput < 0.98 {
		t.Errorf("60 slots, policy none: goodput %.3f", goodput)
	}
	if _, goodput := run("sloehitch", 4); goodput < 0.3 || goodput > 0.8 {
		t.Errorf("4 slots, about half of those needed: goodput %.3f", goodput)
	}
	if _, goodput := run("sloehitch", 60, Fault{At: 6 * time.Second, Kind: FaultSlowDependency, Duration: 4 * time.Second, Factor: 0.05}); goodput < 0.7 || goodput >= ampleGoodput {
		t.Errorf("dependency slow for 4 of 18 s: goodput %.3f", goodput)
	}
}
