package soak

import (
	"reflect"
	"testing"
	"time"
)

// TestDraw: a seed gives the same plan every time, and only the faults that are asked for.
func TestDraw(t *testing.T) {
	for seed := range uint64(50) {
		first, second := Draw(seed, 10*time.Second, nil), Draw(seed, 10*time.Second, nil)
		if !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d gives two plans", seed)
		}
		if stop := first.Site.Stop(); stop > 3700*time.Millisecond || stop < 1300*time.Millisecond {
			t.Errorf("seed %d: killed after %v", seed, stop)
		}
		for _, f := range Draw(seed, 10*time.Second, []FaultKind{Pause}).Faults {
			if f.Kind != Pause {
				t.Fatalf("seed %d: %s was not asked for", seed, f.Kind)
			}
		}
	}
}
