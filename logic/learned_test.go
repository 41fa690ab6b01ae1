package logic

import (
	"reflect"
	"testing"
)

// TestLearned: a server that adopts what another learned knows it, and decides from its first request as one that has
// learned: what can't be answered in time is refused, where one that knows nothing starts it.
func TestLearned(t *testing.T) {
	cfg := Settings{Cores: 1, MemoryKB: 1e6, CrowdFactor: 9, Classes: []Class{{Name: "read", Aim: 1e6, Deadline: 2e6, Worth: 1}},
		Tenants: []Tenant{{Name: "a", Quota: 100}}}
	slow, fresh, next := newServer(t, cfg), newServer(t, cfg), newServer(t, cfg)
	slow.limit, slow.tokens[0] = 4, 7
	slow.classes[0].Run.add(5e6, meanWeight)
	slow.told[3] = 2
	next.Adopt(slow.Learned())
	if got, want := next.Learned(), slow.Learned(); !reflect.DeepEqual(got, want) {
		t.Errorf("adopted %+v, want %+v", got, want)
	}
	for _, c := range []struct {
		s    *Server
		want ActionKind
	}{{fresh, ActRun}, {next, ActRefuse}} {
		c.s.Step(0, nil)
		c.s.lastProbe = 0 // no probe is due
		var got []ActionKind
		for _, a := range c.s.Step(100, []Event{{Kind: EvArrival, ID: 1, Arrival: Arrival{Tenant: 0}}}) {
			if a.Kind == ActRun || a.Kind == ActRefuse {
				got = append(got, a.Kind)
			}
		}
		if !reflect.DeepEqual(got, []ActionKind{c.want}) {
			t.Errorf("decided %v, want %v", got, c.want)
		}
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
