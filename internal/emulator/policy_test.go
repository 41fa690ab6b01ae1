package emulator

import (
	"math"
	"testing"
)

// TestPlainPolicies: in overload each simple policy has its known properties.
func TestPlainPolicies(t *testing.T) {
	got := map[string]*Result{}
	for _, policy := range []string{"fixed", "codel", "worth", "gradient"} {
		w := smallFleet(9, 1.5, policy)
		w.MaxRetries, w.BurstAmplitude = 0, 0
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		got[policy] = r
	}
	share := func(policy string, class int) float64 {
		c := got[policy].Classes[class]
		return float64(c.WithinObjective) / float64(c.Offered)
	}
	if b, s := share("worth", 1), share("worth", 0); b < 0.9 || b < s+0.3 {
		t.Errorf("by worth: %.2f of bookings and %.2f of searches served", b, s)
	}
	if b, s := share("fixed", 1), share("fixed", 0); math.Abs(b-s) > 0.12 {
		t.Errorf("first come, first served: %.2f of bookings and %.2f of searches", b, s)
	}
	if p99 := got["codel"].Classes[0].Latency.ValueAtQuantile(50); p99 > 1_500_000 || got["codel"].Classes[0].Rejected == 0 {
		t.Errorf("codel: half wait longer than %d us, %d refused", p99, got["codel"].Classes[0].Rejected)
	}
	if u := got["gradient"].Utilization; u < 0.9 {
		t.Errorf("gradient: %.2f of the cores used", u)
	}
}
