package emulator

import (
	"math"
	"testing"
)

// TestBaselinePoliciesInOverload: in overload "worth" prefers the class with the higher priority weight and "fixed"
// prefers none, "codel" bounds the median latency, and "gradient" keeps the cores busy.
func TestBaselinePoliciesInOverload(t *testing.T) {
	results := map[string]*Result{}
	for _, policy := range []string{"fixed", "codel", "worth", "gradient"} {
		w := smallFleet(9, 1.5, policy)
		w.MaxRetries, w.BurstAmplitude = 0, 0
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		results[policy] = r
	}
	share := func(policy string, class int) float64 {
		c := results[policy].Classes[class]
		return float64(c.WithinObjective) / float64(c.Offered)
	}
	if booking, search := share("worth", 1), share("worth", 0); booking < 0.9 || booking < search+0.3 {
		t.Errorf("policy worth: %.2f of bookings and %.2f of searches served in time", booking, search)
	}
	if booking, search := share("fixed", 1), share("fixed", 0); math.Abs(booking-search) > 0.12 {
		t.Errorf("policy fixed: %.2f of bookings and %.2f of searches served in time", booking, search)
	}
	if median := results["codel"].Classes[0].Latency.ValueAtQuantile(50); median > 1_500_000 || results["codel"].Classes[0].Rejected == 0 {
		t.Errorf("policy codel: median latency of searches %d us, %d rejected", median, results["codel"].Classes[0].Rejected)
	}
	if utilization := results["gradient"].Utilization; utilization < 0.9 {
		t.Errorf("policy gradient: utilization %.2f", utilization)
	}
}
