package admission

import (
	"testing"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

var settings = logic.Settings{Cores: 2, MemoryKB: 10000, RunFactor: 8, CrowdFactor: 5, AnswerGrace: 80000, Tick: 4000,
	Signal: logic.SignalFloor, Classes: []logic.Class{{Name: "read", Aim: 400000, Deadline: 600000, Worth: 1}}}

func open(t *testing.T, o Options) *Gate {
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
	g := open(t, Options{Patience: time.Hour, Ask: func() { asked <- struct{}{} }})
	g.Report(Arrived(1, Arrival{Tenant: -1, KB: 10}), Arrived(2, Arrival{Tenant: -1, KB: 10}))
	for _, want := range []uint64{1, 2} {
		if d, ok := g.Pick(); !ok || d.Verb != Run || d.ID != want {
			t.Fatalf("picked %+v, want to run %d", d, want)
		}
	}
	if v, set := g.Signal(); !set || v != 0 || !g.Well() {
		t.Errorf("signal %v %v, well %v", v, set, g.Well())
	}
	<-asked // the module looks at the clock while it has work, and waits for the gauges
	g.Report(Arrived(3, Arrival{Tenant: -1, KB: 10}))
	g.Tick(Gauges{RunQueue: 0, CoreUse: 0})
	if d, ok := g.Pick(); !ok || d.Verb != Run || d.ID != 3 {
		t.Errorf("picked %+v: gauges that show idle cores let one more run", d)
	}
	g.Close()
	if _, ok := g.Pick(); ok {
		t.Error("picked from a closed gate")
	}
}

// TestTickWithoutGauges: a runtime that tells no gauges must not stop the module's clock, by which it answers.
func TestTickWithoutGauges(t *testing.T) {
	g := open(t, Options{Patience: time.Millisecond, Ask: func() {}})
	due := settings.Classes[0].Deadline
	g.Report(Arrived(1, Arrival{Tenant: -1, KB: 10, Age: due - 50000}))
	for {
		d, ok := g.Pick()
		if !ok {
			t.Fatal("closed")
		}
		if d.Verb == Refuse || d.Verb == Fail {
			return // it fell due with no other event than the clock
		}
	}
}
