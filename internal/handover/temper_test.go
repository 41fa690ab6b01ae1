package handover

import (
	"testing"

	"sloehitch/logic"
)

const ms = logic.Micros(1000)

// calm offers a server short work that its cores have room for, and returns how much it served of it.
func calm(t *testing.T, cfg logic.Settings, learned *logic.Learned) (served int) {
	t.Helper()
	s, err := logic.New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	if learned != nil {
		s.Adopt(*learned)
	}
	now := logic.Micros(0)
	running := map[logic.RequestID]logic.Micros{}
	for id := logic.RequestID(1); id <= 200; {
		now += 5 * ms
		events := []logic.Event{{Kind: logic.EvTimer, Gauges: logic.Gauges{RunQueue: float64(len(running))}}}
		for r, from := range running {
			if now-from >= 20*ms {
				events = append(events, logic.Event{Kind: logic.EvDone, ID: r, Outcome: logic.OK, Elapsed: now - from})
				delete(running, r)
				served++
			}
		}
		if now%(25*ms) == 0 {
			events = append(events, logic.Event{Kind: logic.EvArrival, ID: id, Arrival: logic.Arrival{Tenant: -1, KB: 1, Hint: 400 * ms}})
			id++
		}
		for _, a := range s.Step(now, events) {
			if a.Kind == logic.ActRun {
				running[a.ID] = now
			}
		}
	}
	return served
}

// TestStormIntoCalm: what was learned in a storm, when no run came near its aim, does not keep a new server from
// serving a calm; untempered it does. What was learned in a calm changes nothing.
func TestStormIntoCalm(t *testing.T) {
	cfg := logic.Settings{Cores: 2, MemoryKB: 1e6, CrowdFactor: 5, Tick: 5 * ms, Classes: []logic.Class{
		{Name: "book", Aim: 1000 * ms, Deadline: 4000 * ms, Worth: 1}}}
	storm := logic.Learned{Limit: 9, Refusing: logic.Average{Mean: 0.95, N: 5000}, Classes: map[string]logic.Estimate{"book": {
		Run: logic.Average{Mean: 3e6, N: 5000}, Hinted: logic.Average{Mean: 3e6, N: 5000}, Hint: logic.Average{Mean: 4e5, N: 5000}, Cov: 8e11, Spread: 1e11}}}
	mild := logic.Learned{Limit: 3, Classes: map[string]logic.Estimate{"book": {Run: logic.Average{Mean: 2e4, N: 50}}}}
	fresh := calm(t, cfg, nil)
	tempered, told := Temper(storm, cfg), Temper(mild, cfg)
	if got := calm(t, cfg, &tempered); got < fresh-2 {
		t.Errorf("after a storm %d served, a server that knows nothing %d", got, fresh)
	}
	if got := calm(t, cfg, &storm); got > fresh-2 {
		t.Errorf("untempered %d of %d served: this test shows nothing", got, fresh)
	}
	if got := calm(t, cfg, &told); got < fresh {
		t.Errorf("after a calm %d served, a server that knows nothing %d", got, fresh)
	}
	if e := told.Classes["book"]; e.Run.Mean != 2e4 || e.Run.N != few {
		t.Errorf("a mild mean is changed: %+v", e)
	}
}
