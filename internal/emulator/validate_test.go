package emulator

import (
	"strings"
	"testing"
	"time"
)

// TestRejectsInvalidWorld: an invalid world is not run, and the error names the invalid value.
func TestRejectsInvalidWorld(t *testing.T) {
	for _, c := range []struct {
		change func(*World)
		want   string
	}{
		{func(w *World) { w.Nodes = 0 }, "nodes"},
		{func(w *World) { w.ArrivalRate = 5 }, "exactly one of rate and load"},
		{func(w *World) { w.Balancing = "best" }, `unknown habit "best": must be round-robin`},
		{func(w *World) { w.Classes[1].IdempotencyWindow = 0 }, "window"},
		{func(w *World) { w.Classes[0].ClientTimeout = 1 }, "deadline"},
		{func(w *World) { w.Faults = []Fault{{Node: 9, Kind: "stall"}} }, "node 9 does not exist, number of nodes: 4"},
		{func(w *World) { w.Faults = []Fault{{Kind: "melt"}} }, `unknown fault "melt": must be stall`},
		{func(w *World) { w.WarmUp = time.Hour }, "warmup must not be below 0 and must be shorter than length"},
	} {
		w := smallFleet(1, 0.5, "fixed")
		c.change(&w)
		if _, err := Run(w); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want one that contains %q", err, c.want)
		}
	}
	if _, err := NewPolicy("best", 0); err == nil || !strings.Contains(err.Error(), `unknown policy "best": must be sloehitch, none`) {
		t.Errorf("unknown policy: error %v", err)
	}
}
