package emulator

import (
	"strings"
	"testing"
	"time"
)

// TestValidate: a world that is not valid is not run, and the error names what is wrong.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		change func(*World)
		want   string
	}{
		{func(w *World) { w.Nodes = 0 }, "nodes"},
		{func(w *World) { w.ArrivalRate = 5 }, "one of rate and load"},
		{func(w *World) { w.Balancing = "best" }, `no habit "best"`},
		{func(w *World) { w.Classes[1].IdempotencyWindow = 0 }, "window"},
		{func(w *World) { w.Classes[0].ClientTimeout = 1 }, "deadline"},
		{func(w *World) { w.Faults = []Fault{{Node: 9, Kind: "stall"}} }, "node 9"},
		{func(w *World) { w.Faults = []Fault{{Kind: "melt"}} }, `no fault "melt"`},
		{func(w *World) { w.WarmUp = time.Hour }, "warm-up"},
	} {
		w := smallFleet(1, 0.5, "fixed")
		c.change(&w)
		if _, err := Run(w); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want a word on %s", err, c.want)
		}
	}
	if _, err := NewPolicy("best", 0); err == nil || !strings.Contains(err.Error(), "sloehitch, none") {
		t.Errorf("%v", err)
	}
}
