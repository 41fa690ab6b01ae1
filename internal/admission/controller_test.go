package admission

import (
	"testing"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

var settings = logic.Settings{Cores: 2, MemoryKB: 10000, RunMemoryFactor: 8, MaxConcurrencyPerCore: 5, ResponseGrace: 80000, StepInterval: 4000,
	SignalMode: logic.SignalPriorityFloor, Classes: []logic.Class{{Name: "read", LatencyObjective: 400000, ClientTimeout: 600000, PriorityWeight: 1}}}

func newController(t *testing.T, opts Options) *Controller {
	t.Helper()
	opts.Clock = clock.System{}
	c, err := New(settings, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// TestReportedEventsLeadToDecisions checks that reported arrivals lead to decisions and that gauges of idle cores let
// more requests run.
func TestReportedEventsLeadToDecisions(t *testing.T) {
	requested := make(chan struct{}, 100)
	c := newController(t, Options{GaugesTimeout: time.Hour, RequestGauges: func() { requested <- struct{}{} }})
	c.Report(Arrived(1, Arrival{Tenant: -1, MemoryKB: 10}), Arrived(2, Arrival{Tenant: -1, MemoryKB: 10}))
	for _, want := range []uint64{1, 2} {
		if d, ok := c.Next(); !ok || d.Kind != Run || d.ID != want {
			t.Fatalf("decision %+v, want Run of request %d", d, want)
		}
	}
	if v, set := c.LoadSignal(); !set || v != 0 || !c.Healthy() {
		t.Errorf("load signal %v, set %v, healthy %v; want 0, true, true", v, set, c.Healthy())
	}
	<-requested // the timer has expired and waits for the gauges
	c.Report(Arrived(3, Arrival{Tenant: -1, MemoryKB: 10}))
	c.ReportGauges(Gauges{RunQueueLength: 0, CPUUtilization: 0})
	if d, ok := c.Next(); !ok || d.Kind != Run || d.ID != 3 {
		t.Errorf("decision %+v, want Run of request 3 after gauges that show idle cores", d)
	}
	c.Close()
	if _, ok := c.Next(); ok {
		t.Error("Next returned a decision of a closed controller")
	}
}

// TestTimerIsDeliveredWithoutGauges checks that the timer is delivered although a runtime reports no gauges. Without
// the timer, requests would not be answered at their deadlines.
func TestTimerIsDeliveredWithoutGauges(t *testing.T) {
	c := newController(t, Options{GaugesTimeout: time.Millisecond, RequestGauges: func() {}})
	timeout := settings.Classes[0].ClientTimeout
	c.Report(Arrived(1, Arrival{Tenant: -1, MemoryKB: 10, Age: timeout - 50000}))
	for {
		d, ok := c.Next()
		if !ok {
			t.Fatal("the controller was closed before it answered the request")
		}
		if d.Kind == Reject || d.Kind == Fail {
			return // the timer was the only event after the arrival
		}
	}
}
