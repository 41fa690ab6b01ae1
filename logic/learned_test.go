package logic

import (
	"reflect"
	"testing"
)

// TestLearned: a server that adopts what another learned knows it, and decides from its first request as one that has
// learned: what can't be answered in time is refused, where one that knows nothing starts it.
func TestLearned(t *testing.T) {
	cfg := Settings{Cores: 1, MemoryKB: 1e6, MaxConcurrencyPerCore: 9, Classes: []Class{{Name: "read", LatencyObjective: 1e6, ClientTimeout: 2e6, PriorityWeight: 1}},
		Tenants: []Tenant{{Name: "a", QuotaPerSecond: 100}}}
	slow, fresh, next := newServer(t, cfg), newServer(t, cfg), newServer(t, cfg)
	slow.runLimit, slow.tenantTokens[0] = 4, 7
	slow.classes[0].RunTime.add(5e6, runTimeSampleWeight)
	slow.timeoutHistogram[3] = 2
	next.RestoreLearned(slow.LearnedState())
	if got, want := next.LearnedState(), slow.LearnedState(); !reflect.DeepEqual(got, want) {
		t.Errorf("adopted %+v, want %+v", got, want)
	}
	for _, c := range []struct {
		s    *Server
		want ActionKind
	}{{fresh, ActionRun}, {next, ActionReject}} {
		c.s.Step(0, nil)
		c.s.lastProbeAt = 0 // no probe is due
		var got []ActionKind
		for _, a := range c.s.Step(100, []Event{{Kind: EventArrival, ID: 1, Arrival: Arrival{Tenant: 0}}}) {
			if a.Kind == ActionRun || a.Kind == ActionReject {
				got = append(got, a.Kind)
			}
		}
		if !reflect.DeepEqual(got, []ActionKind{c.want}) {
			t.Errorf("decided %v, want %v", got, c.want)
		}
	}
}

// TestShare: a server that has a part of the cores and the memory runs and holds no more than that part, and all of it
// once it has all again.
func TestShare(t *testing.T) {
	started := func(s *Server, now Micros, ids ...RequestID) (n int) {
		var events []Event
		for _, id := range ids {
			events = append(events, Event{Kind: EventArrival, ID: id, Arrival: Arrival{Tenant: -1, MemoryKB: 10}})
		}
		for _, a := range s.Step(now, events) {
			if a.Kind == ActionRun {
				n++
			}
		}
		return n
	}
	cfg := Settings{Cores: 8, MemoryKB: 1e6, RunMemoryFactor: 1, MaxConcurrencyPerCore: 9, Classes: []Class{{Name: "read", LatencyObjective: 1e9, ClientTimeout: 2e9, PriorityWeight: 1}}}
	s := newServer(t, cfg)
	s.SetResourceShare(0.25)
	if n := started(s, 0, 1, 2, 3, 4, 5, 6, 7, 8); n != 2 {
		t.Errorf("%d of 8 cores used with a quarter of them", n)
	}
	s.SetResourceShare(1)
	if n := started(s, 1); n != 6 {
		t.Errorf("%d more started with all of them", n)
	}
	cfg.MemoryKB = 100 // room for 9 requests of 10 KB
	s = newServer(t, cfg)
	s.SetResourceShare(0.5)
	started(s, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	if held := len(s.byID); held != 4 {
		t.Errorf("%d requests in half of the memory, 4 fit", held)
	}
}

func newServer(t *testing.T, cfg Settings) *Server {
	t.Helper()
	s, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
