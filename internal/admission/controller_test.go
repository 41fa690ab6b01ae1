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
	c, err := New(settings, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// TestReportAndNext: what is reported leads to decisions, and gauges that show idle cores let more requests run.
func TestReportAndNext(t *testing.T) {
	requested := make(chan struct{}, 100)
	c := open(t, Options{GaugesTimeout: time.Hour, RequestGauges: func() { requested <- struct{}{} }})
	c.Report(Arrived(1, Arrival{Tenant: -1, MemoryKB: 10}), Arrived(2, Arrival{Tenant: -1, MemoryKB: 10}))
	for _, want := range []uint64{1, 2} {
		if d, ok := c.Next(); !ok || d.Kind != Run || d.ID != want {
			t.Fatalf("decided %+v, want to run %d", d, want)
		}
	}
	if v, set := c.LoadSignal(); !set || v != 0 || !c.Healthy() {
		t.Errorf("signal %v %v, healthy %v", v, set, c.Healthy())
	}
	<-requested // logic sets a timer while it has work, and waits for the gauges
	c.Report(Arrived(3, Arrival{Tenant: -1, MemoryKB: 10}))
	c.ReportGauges(Gauges{RunQueueLength: 0, CPUUtilization: 0})
	if d, ok := c.Next(); !ok || d.Kind != Run || d.ID != 3 {
		t.Errorf("decided %+v: gauges that show idle cores let one more run", d)
	}
	c.Close()
	if _, ok := c.Next(); ok {
		t.Error("a decision of a closed controller")
	}
}

// TestTimerWithoutGauges: a runtime that reports no gauges must not stop logic's clock, by which it answers.
func TestTimerWithoutGauges(t *testing.T) {
	c := open(t, Options{GaugesTimeout: time.Millisecond, RequestGauges: func() {}})
	timeout := settings.Classes[0].ClientTimeout
	c.Report(Arrived(1, Arrival{Tenant: -1, MemoryKB: 10, Age: timeout - 50000}))
	for {
		d, ok := c.Next()
		if !ok {
			t.Fatal("closed")
		}
		if d.Kind == Reject || d.Kind == Fail {
			return // it was answered with no other event than the timer
		}
	}
}
