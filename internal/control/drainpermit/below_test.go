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
	v := View{Rules: disruption.Rules{{Group: "service", MostOut: &one}}, Asks: map[string]Ask{}, Orders: map[string]uint64{}, Permits: map[string]Permit{}, Halted: map[string]bool{}}
	below := map[string]Below{"a:1": {Uses: true, Open: 2, Well: true}, "b:1": {Uses: true, Well: true}}
	for i := range 3 {
		b := map[string]Below{}
		for k, x := range below {
			b[k] = x
		}
		v.Members = append(v.Members, Seen{Name: fmt.Sprint("n", i), Report: Report{State: "ready", Well: true, InMS: 1e6, Below: b}})
	}
	k := Keeper{Terms: lease.Terms{Length: time.Second}, Settle: time.Second}
	a, b := ServerName("a:1"), ServerName("b:1")
	v.Asks[a], v.Orders[a] = Ask{ID: "1"}, 1
	v.Asks[b], v.Orders[b] = Ask{ID: "2"}, 2
	s := k.Decide(v.WithServers("uwsgi"), 0)
	if fmt.Sprint(s.Grant) != "["+a+"]" || len(s.Refused) != 1 {
		t.Fatalf("%+v", s)
	}
	ts := s.Transactions(v, Versions{}, "permits", 1, "k", func() string { return "id" })
	p, err := Read[Permit](ts[0].Do[1].Value)
	if err != nil || p.State != Out {
		t.Fatalf("%+v, %v", p, err)
	}
	v.Permits[a] = p
	agreed := func(name string) string {
		for _, m := range v.WithServers("uwsgi").Members {
			if m.Name == name {
				ok, open, silent := m.Agreed()
				return fmt.Sprint(ok, open, silent)
			}
		}
		return "none"
	}
	v.Members[0].Report.Below["a:1"] = Below{Open: 1}
	v.Members[1].Report.Below["a:1"] = Below{}
	v.Members[2].Quiet = disruption.Silent
	if got := agreed(a); got != "false [n0] [n2]" {
		t.Errorf("agreed: %s", got)
	}
	v.Members[0].Report.Below["a:1"] = Below{}
	v.Members[2].Quiet = disruption.In
	v.Members[2].Report.Below["a:1"] = Below{}
	if got := agreed(a); got != "true [] []" {
		t.Errorf("agreed: %s", got)
	}
	if s := k.Decide(v.WithServers("uwsgi"), 1); !s.Empty() {
		t.Errorf("%+v", s)
	}
	delete(v.Asks, a)
	if s := k.Decide(v.WithServers("uwsgi"), 2); fmt.Sprint(s.Return) != "["+a+"]" || len(s.Grant) != 0 {
		t.Fatalf("%+v", s)
	}
	p.State = Back
	v.Permits[a] = p
	for i, uses := range []bool{false, true, true, true} { // seconds
		for n := range 3 {
			v.Members[n].Report.Below["a:1"] = Below{Uses: uses, Well: true}
		}
		s := k.Decide(v.WithServers("uwsgi"), lease.Instant(i)*lease.Instant(time.Second))
		if freed := len(s.Free) == 1; freed != (i > 1) || len(s.Grant) != 0 {
			t.Errorf("after %ds: %+v", i, s)
		}
	}
	delete(v.Permits, a)
	for n := range 2 { // two of three find a:1 sick: it uses the budget up
		v.Members[n].Report.Below["a:1"] = Below{Uses: true}
	}
	if s := k.Decide(v.WithServers("uwsgi"), 9e9); len(s.Grant) != 0 || len(s.Refused) != 1 {
		t.Errorf("%+v", s)
	}
}
