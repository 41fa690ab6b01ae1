package admission

import (
	"testing"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

var settings = logic.Settings{Cores: 2, MemoryKB: 10000, RunMemoryFactor: 8, MaxConcurrencyPerCore: 5, ResponseGrace: 80000, StepInterval: 4000,
	SignalMode: logic.SignalPriorityFloor, Classes: []logic.Class{{Name: "read", LatencyObjective: 400000, ClientTimeout: 600000, PriorityWeight: 1}}}

func open(t *testing.T, o Options) *Controller {
	t.Helper()
	o.Clock = clock.System{}
	g, err := New(settings, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func TestPickReportTick(t *testing.T) {
	asked := make(chan struct{}, 100)
	g := open(t, Options{GaugesTimeout: time.Hour, RequestGauges: func() { asked <- struct{}{} }})
	g.Report(Arrived(1, Arrival{Tenant: -1, MemoryKB: 10}), Arrived(2, Arrival{Tenant: -1, MemoryKB: 10}))
	for _, want := range []uint64{1, 2} {
		if d, ok := g.Next(); !ok || d.Kind != Run || d.ID != want {
			t.Fatalf("picked %+v, want to run %d", d, want)
		}
	}
	if v, set := g.LoadSignal(); !set || v != 0 || !g.Healthy() {
		t.Errorf("signal %v %v, well %v", v, set, g.Healthy())
	}
	<-asked // the module looks at the clock while it has work, and waits for the gauges
	g.Report(Arrived(3, Arrival{Tenant: -1, MemoryKB: 10}))
	g.ReportGauges(Gauges{RunQueueLength: 0, CPUUtilization: 0})
	if d, ok := g.Next(); !ok || d.Kind != Run || d.ID != 3 {
		t.Errorf("picked %+v: gauges that show idle cores let one more run", d)
	}
	g.Close()
	if _, ok := g.Next(); ok {
		t.Error("picked from a closed gate")
	}
}

// TestTickWithoutGauges: a runtime that tells no gauges must not stop the module's clock, by which it answers.
func TestTickWithoutGauges(t *testing.T) {
	g := open(t, Options{GaugesTimeout: time.Millisecond, RequestGauges: func() {}})
	due := settings.Classes[0].ClientTimeout
	g.Report(Arrived(1, Arrival{Tenant: -1, MemoryKB: 10, Age: due - 50000}))
	for {
		d, ok := g.Next()
		if !ok {
			t.Fatal("closed")
		}
		if d.Kind == Reject || d.Kind == Fail {
			return // it fell due with no other event than the clock
		}
	}
}
