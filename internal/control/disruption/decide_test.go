package disruption

import (
	"fmt"
	"strings"
	"testing"
)

// fleetOf returns nodes n0, n1 and so on, in zones a and b in turn, with the given availabilities.
func fleetOf(size int, out map[int]Availability) (members []Member) {
	for i := range size {
		members = append(members, Member{Name: fmt.Sprint("n", i), Labels: map[string]string{"zone": string(rune('a' + i%2))}, Availability: out[i]})
	}
	return members
}

// fleetAndZone allows two nodes of the fleet to be out, and one of each zone.
func fleetAndZone() Budgets {
	return Budgets{{Scope: "fleet", MaxUnavailable: ptr(2)}, {Scope: "zone", MaxUnavailable: ptr(1)}}
}

func TestDecide(t *testing.T) {
	budgets := fleetAndZone()
	request := func(n int, order uint64) Request { return Request{Member: fmt.Sprint("n", n), Order: order} }
	urgent := func(r Request) Request { r.Urgent = true; return r }
	for _, c := range []struct {
		name     string
		budgets  Budgets
		out      map[int]Availability
		requests []Request
		granted  string
		rejected string // of the first that is
	}{
		{"one of each zone", budgets, nil, []Request{request(0, 1), request(1, 2), request(2, 3)}, "n0 n1", "n2: of fleet 2 may be out, and there are out: n0 (permit), n1 (permit)"},
		{"in the order of asking", budgets, nil, []Request{request(0, 2), request(2, 1)}, "n2", "n0: of zone a 1 may be out"},
		{"urgent first", budgets, nil, []Request{request(0, 1), urgent(request(2, 9))}, "n2", "n0: of zone a"},
		{"silence uses it up", budgets, map[int]Availability{0: Silent}, []Request{request(2, 1), request(1, 2)}, "n1", "n2: of zone a 1 may be out, and there are out: n0 (silent)"},
		{"a zone that is lost: nothing of it, one of the other", budgets, map[int]Availability{0: Silent, 2: Unknown, 4: WarmingUp}, []Request{request(1, 1)}, "", "n1: of fleet 2 may be out, and there are out: n0 (silent), n2 (unknown), n4 (warming)"},
		{"one that is out already adds nothing", budgets, map[int]Availability{0: NotReady}, []Request{request(0, 1)}, "n0", ""},
		{"but not above the budget", budgets, map[int]Availability{0: NotReady, 2: Silent}, []Request{request(0, 1)}, "", "n0: of zone a 1 may be out"},
		{"nobody takes the room that the first waits for", budgets, map[int]Availability{0: HoldsPermit}, []Request{request(2, 1), request(1, 2)}, "", "n2: of zone a"},
		{"what waits for the silent keeps no room", budgets, map[int]Availability{0: Silent}, []Request{request(2, 1), request(1, 2)}, "n1", "n2: of zone a"},
		{"no rules, no permits", nil, nil, []Request{request(0, 1)}, "", "no budget bounds a group of it"},
		{"one that nobody knows", budgets, nil, []Request{request(99, 1)}, "", "n99: no such member"},
		{"one that has one", budgets, map[int]Availability{0: HoldsPermit}, []Request{request(0, 1)}, "", "it holds a permit already"},
		{"a budget of none", Budgets{{Scope: "fleet", MaxUnavailable: ptr(0)}}, nil, []Request{request(0, 1)}, "", "n0: of fleet 0 may be out"},
	} {
		d := Decide(c.budgets, fleetOf(6, c.out), c.requests)
		var granted []string
		for _, r := range d.Granted {
			granted = append(granted, r.Member)
		}
		rejected := ""
		if len(d.Rejected) > 0 {
			rejected = d.Rejected[0].String()
		}
		if got := strings.Join(granted, " "); got != c.granted || !strings.Contains(rejected, c.rejected) || (rejected == "") != (c.rejected == "") {
			t.Errorf("%s: granted %q, rejected %q; want %q and %q", c.name, got, rejected, c.granted, c.rejected)
		}
	}
}
