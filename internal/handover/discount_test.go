package handover

import (
	"testing"

	"sloehitch/logic"
)

const ms = logic.Micros(1000)

// calm offers a server short work that its cores have room for, and returns how much it served of it.
func calm(t *testing.T, cfg logic.Settings, learned *logic.LearnedState) (served int) {
	t.Helper()
	s, err := logic.New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	if learned != nil {
		s.RestoreLearned(*learned)
	}
	now := logic.Micros(0)
	running := map[logic.RequestID]logic.Micros{}
	for id := logic.RequestID(1); id <= 200; {
		now += 5 * ms
		events := []logic.Event{{Kind: logic.EventTimer, Gauges: logic.Gauges{RunQueueLength: float64(len(running))}}}
		for r, from := range running {
			if now-from >= 20*ms {
				events = append(events, logic.Event{Kind: logic.EventRunEnded, ID: r, Outcome: logic.OutcomeOK, Elapsed: now - from})
				delete(running, r)
				served++
			}
		}
		if now%(25*ms) == 0 {
			events = append(events, logic.Event{Kind: logic.EventArrival, ID: id, Arrival: logic.Arrival{Tenant: -1, MemoryKB: 1, WorkHint: 400 * ms}})
			id++
		}
		for _, a := range s.Step(now, events) {
			if a.Kind == logic.ActionRun {
				running[a.ID] = now
			}
		}
	}
	return served
}

// TestStormIntoCalm: what was learned in a storm, when no run came near its aim, does not keep a new server from
// serving a calm; untempered it does. What was learned in a calm changes nothing.
func TestStormIntoCalm(t *testing.T) {
	cfg := logic.Settings{Cores: 2, MemoryKB: 1e6, MaxConcurrencyPerCore: 5, StepInterval: 5 * ms, Classes: []logic.Class{
		{Name: "book", LatencyObjective: 1000 * ms, ClientTimeout: 4000 * ms, PriorityWeight: 1}}}
	storm := logic.LearnedState{RunLimit: 9, RejectedShare: logic.Average{Mean: 0.95, Samples: 5000}, Classes: map[string]logic.Estimate{"book": {
		RunTime: logic.Average{Mean: 3e6, Samples: 5000}, HintedRunTime: logic.Average{Mean: 3e6, Samples: 5000}, Hint: logic.Average{Mean: 4e5, Samples: 5000}, Covariance: 8e11, HintVariance: 1e11}}}
	mild := logic.LearnedState{RunLimit: 3, Classes: map[string]logic.Estimate{"book": {RunTime: logic.Average{Mean: 2e4, Samples: 50}}}}
	fresh := calm(t, cfg, nil)
	tempered, told := Discount(storm, cfg), Discount(mild, cfg)
	if got := calm(t, cfg, &tempered); got < fresh-2 {
		t.Errorf("after a storm %d served, a server that knows nothing %d", got, fresh)
	}
	if got := calm(t, cfg, &storm); got > fresh-2 {
		t.Errorf("untempered %d of %d served: this test shows nothing", got, fresh)
	}
	if got := calm(t, cfg, &told); got < fresh {
		t.Errorf("after a calm %d served, a server that knows nothing %d", got, fresh)
	}
	if e := told.Classes["book"]; e.RunTime.Mean != 2e4 || e.RunTime.Samples != maxSamples {
		t.Errorf("a mild mean is changed: %+v", e)
	}
}
