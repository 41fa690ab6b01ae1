package logic

import (
	"reflect"
	"testing"
)

// TestRestoredServerDecidesByLearnedState checks that a server with restored state uses it from its first request on: it
// rejects a request that can't be answered in time, which a server without learned state starts.
func TestRestoredServerDecidesByLearnedState(t *testing.T) {
	cfg := Settings{Cores: 1, MemoryKB: 1e6, MaxConcurrencyPerCore: 9, Classes: []Class{{Name: "read", LatencyObjective: 1e6, ClientTimeout: 2e6, PriorityWeight: 1}},
		Tenants: []Tenant{{Name: "a", QuotaPerSecond: 100}}}
	trained, untrained, restored := newServer(t, cfg), newServer(t, cfg), newServer(t, cfg)
	trained.runLimit, trained.tenantTokens[0] = 4, 7
	trained.classes[0].RunTime.add(5e6, runTimeSampleWeight)
	trained.timeoutHistogram[3] = 2
	restored.RestoreLearned(trained.LearnedState())
	if got, want := restored.LearnedState(), trained.LearnedState(); !reflect.DeepEqual(got, want) {
		t.Errorf("restored %+v, want %+v", got, want)
	}
	for _, c := range []struct {
		s    *Server
		want ActionKind
	}{{untrained, ActionRun}, {restored, ActionReject}} {
		c.s.Step(0, nil)
		c.s.lastProbeAt = 0 // so that the request is not started as a probe
		var got []ActionKind
		for _, a := range c.s.Step(100, []Event{{Kind: EventArrival, ID: 1, Arrival: Arrival{Tenant: 0}}}) {
			if a.Kind == ActionRun || a.Kind == ActionReject {
				got = append(got, a.Kind)
			}
		}
		if !reflect.DeepEqual(got, []ActionKind{c.want}) {
			t.Errorf("action kinds %v, want %v", got, c.want)
		}
	}
}
