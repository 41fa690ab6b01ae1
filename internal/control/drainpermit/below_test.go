package drainpermit

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/lease"
)

// TestServersBelow: a server goes out by its service's budget, is out once every node has said so, and comes back by the same road.
func TestServersBelow(t *testing.T) {
	one := 1
	v := View{Budgets: disruption.Budgets{{Scope: "service", MaxUnavailable: &one}}, Requests: map[string]Request{}, RequestOrder: map[string]uint64{}, Permits: map[string]Permit{}, Halted: map[string]bool{}}
	below := map[string]UpstreamStatus{"a:1": {Routable: true, InFlight: 2, Healthy: true}, "b:1": {Routable: true, Healthy: true}}
	for i := range 3 {
		b := map[string]UpstreamStatus{}
		for k, x := range below {
			b[k] = x
		}
		v.Members = append(v.Members, ObservedMember{Name: fmt.Sprint("n", i), Report: Report{State: "ready", Healthy: true, InServiceMS: 1e6, Upstreams: b}})
	}
	k := Controller{Terms: lease.Terms{Duration: time.Second}, MinReady: time.Second}
	a, b := UpstreamName("a:1"), UpstreamName("b:1")
	v.Requests[a], v.RequestOrder[a] = Request{ID: "1"}, 1
	v.Requests[b], v.RequestOrder[b] = Request{ID: "2"}, 2
	s := k.Decide(v.WithUpstreams("uwsgi"), 0)
	if fmt.Sprint(s.Grant) != "["+a+"]" || len(s.Rejected) != 1 {
		t.Fatalf("%+v", s)
	}
	ts := s.Transactions(v, Versions{}, "permits", 1, "k", func() string { return "id" })
	p, err := Decode[Permit](ts[0].Operations[1].Value)
	if err != nil || p.State != OutOfService {
		t.Fatalf("%+v, %v", p, err)
	}
	v.Permits[a] = p
	agreed := func(name string) string {
		for _, m := range v.WithUpstreams("uwsgi").Members {
			if m.Name == name {
				ok, open, silent := m.DrainConfirmed()
				return fmt.Sprint(ok, open, silent)
			}
		}
		return "none"
	}
	v.Members[0].Report.Upstreams["a:1"] = UpstreamStatus{InFlight: 1}
	v.Members[1].Report.Upstreams["a:1"] = UpstreamStatus{}
	v.Members[2].Liveness = disruption.Silent
	if got := agreed(a); got != "false [n0] [n2]" {
		t.Errorf("agreed: %s", got)
	}
	v.Members[0].Report.Upstreams["a:1"] = UpstreamStatus{}
	v.Members[2].Liveness = disruption.Available
	v.Members[2].Report.Upstreams["a:1"] = UpstreamStatus{}
	if got := agreed(a); got != "true [] []" {
		t.Errorf("agreed: %s", got)
	}
	if s := k.Decide(v.WithUpstreams("uwsgi"), 1); !s.Empty() {
		t.Errorf("%+v", s)
	}
	delete(v.Requests, a)
	if s := k.Decide(v.WithUpstreams("uwsgi"), 2); fmt.Sprint(s.MarkReturning) != "["+a+"]" || len(s.Grant) != 0 {
		t.Fatalf("%+v", s)
	}
	p.State = Returning
	v.Permits[a] = p
	for i, uses := range []bool{false, true, true, true} { // seconds
		for n := range 3 {
			v.Members[n].Report.Upstreams["a:1"] = UpstreamStatus{Routable: uses, Healthy: true}
		}
		s := k.Decide(v.WithUpstreams("uwsgi"), lease.Instant(i)*lease.Instant(time.Second))
		if freed := len(s.Remove) == 1; freed != (i > 1) || len(s.Grant) != 0 {
			t.Errorf("after %ds: %+v", i, s)
		}
	}
	delete(v.Permits, a)
	for n := range 2 { // two of three find a:1 sick: it uses the budget up
		v.Members[n].Report.Upstreams["a:1"] = UpstreamStatus{Routable: true}
	}
	if s := k.Decide(v.WithUpstreams("uwsgi"), 9e9); len(s.Grant) != 0 || len(s.Rejected) != 1 {
		t.Errorf("%+v", s)
	}
}
