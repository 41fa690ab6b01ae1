package soak

import (
	"reflect"
	"testing"
	"time"
)

// TestDrawIsDeterministic checks that a seed always gives the same plan, with a permitted shutdown time and only the requested kinds of
// fault.
func TestDrawIsDeterministic(t *testing.T) {
	for seed := range uint64(50) {
		first, second := Draw(seed, 10*time.Second, nil), Draw(seed, 10*time.Second, nil)
		if !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d gives different plans in two calls", seed)
		}
		if stop := first.Site.Stop(); stop > 3700*time.Millisecond || stop < 1300*time.Millisecond {
			t.Errorf("seed %d: processes are killed after %v, want 1.3s to 3.7s", seed, stop)
		}
		for _, f := range Draw(seed, 10*time.Second, []FaultKind{Pause}).Faults {
			if f.Kind != Pause {
				t.Fatalf("seed %d: the plan has a fault of kind %s, which was not requested", seed, f.Kind)
			}
		}
	}
}
