package handover

import (
	"testing"

	"sloehitch/logic"
)

const ms = logic.Micros(1000)

// serveLightLoad offers a server short requests that its cores have capacity for, and returns how many it served.
func serveLightLoad(t *testing.T, cfg logic.Settings, learned *logic.LearnedState) (served int) {
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

// TestDiscountedOverloadStateDoesNotPreventServing checks that values learned under overload, when no run came near
// its latency objective, do not keep a new server from serving a light load once they are discounted, though they do
// without the discount. Values learned under a light load are not reduced.
func TestDiscountedOverloadStateDoesNotPreventServing(t *testing.T) {
	cfg := logic.Settings{Cores: 2, MemoryKB: 1e6, MaxConcurrencyPerCore: 5, StepInterval: 5 * ms, Classes: []logic.Class{
		{Name: "book", LatencyObjective: 1000 * ms, ClientTimeout: 4000 * ms, PriorityWeight: 1}}}
	overload := logic.LearnedState{RunLimit: 9, RejectedShare: logic.Average{Mean: 0.95, Samples: 5000}, Classes: map[string]logic.Estimate{"book": {
		RunTime: logic.Average{Mean: 3e6, Samples: 5000}, HintedRunTime: logic.Average{Mean: 3e6, Samples: 5000}, Hint: logic.Average{Mean: 4e5, Samples: 5000}, Covariance: 8e11, HintVariance: 1e11}}}
	light := logic.LearnedState{RunLimit: 3, Classes: map[string]logic.Estimate{"book": {RunTime: logic.Average{Mean: 2e4, Samples: 50}}}}
	fresh := serveLightLoad(t, cfg, nil)
	afterOverload, afterLight := Discount(overload, cfg), Discount(light, cfg)
	if got := serveLightLoad(t, cfg, &afterOverload); got < fresh-2 {
		t.Errorf("%d requests served with discounted values from an overload, %d without learned values", got, fresh)
	}
	if got := serveLightLoad(t, cfg, &overload); got > fresh-2 {
		t.Errorf("%d requests served without the discount, %d without learned values: the test has no effect", got, fresh)
	}
	if got := serveLightLoad(t, cfg, &afterLight); got < fresh {
		t.Errorf("%d requests served with values from a light load, %d without learned values", got, fresh)
	}
	if e := afterLight.Classes["book"]; e.RunTime.Mean != 2e4 || e.RunTime.Samples != maxSamples {
		t.Errorf("a mean below the objective was changed, or its samples not limited: %+v", e)
	}
}
