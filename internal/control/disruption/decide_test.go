package disruption

import (
	"fmt"
	"strings"
	"testing"
)

// newMembers returns the nodes n0, n1 and so on, alternating between zones a and b. Nodes without an entry in
// availability are available.
func newMembers(size int, availability map[int]Availability) (members []Member) {
	for i := range size {
		members = append(members, Member{Name: fmt.Sprint("n", i), Labels: map[string]string{"zone": string(rune('a' + i%2))}, Availability: availability[i]})
	}
	return members
}

// fleetAndZoneBudgets returns budgets that allow two unavailable nodes in the fleet, and one in each zone.
func fleetAndZoneBudgets() Budgets {
	return Budgets{{Scope: "fleet", MaxUnavailable: ptr(2)}, {Scope: "zone", MaxUnavailable: ptr(1)}}
}

func TestDecideGrantsWithinBudgets(t *testing.T) {
	budgets := fleetAndZoneBudgets()
	request := func(n int, order uint64) Request { return Request{Member: fmt.Sprint("n", n), Order: order} }
	urgent := func(r Request) Request { r.Urgent = true; return r }
	for _, c := range []struct {
		name         string
		budgets      Budgets
		availability map[int]Availability
		requests     []Request
		granted      string
		rejected     string // part of the first rejection
	}{
		{"one node of each zone is granted", budgets, nil, []Request{request(0, 1), request(1, 2), request(2, 3)}, "n0 n1", "n2: the budget of fleet allows 2 unavailable, already unavailable: n0 (permit), n1 (permit)"},
		{"requests are granted by order", budgets, nil, []Request{request(0, 2), request(2, 1)}, "n2", "n0: the budget of zone a allows 1 unavailable, already unavailable: n2 (permit)"},
		{"urgent requests are granted first", budgets, nil, []Request{request(0, 1), urgent(request(2, 9))}, "n2", "n0: the budget of zone a allows 1 unavailable, already unavailable: n2 (permit)"},
		{"a silent node counts against the budget", budgets, map[int]Availability{0: Silent}, []Request{request(2, 1), request(1, 2)}, "n1", "n2: the budget of zone a allows 1 unavailable, already unavailable: n0 (silent)"},
		{"a lost zone exhausts the fleet's budget", budgets, map[int]Availability{0: Silent, 2: Unknown, 4: WarmingUp}, []Request{request(1, 1)}, "", "n1: the budget of fleet allows 2 unavailable, already unavailable: n0 (silent), n2 (unknown), n4 (warming)"},
		{"a node that is already unavailable adds nothing", budgets, map[int]Availability{0: NotReady}, []Request{request(0, 1)}, "n0", ""},
		{"an unavailable node is not granted above the budget", budgets, map[int]Availability{0: NotReady, 2: Silent}, []Request{request(0, 1)}, "", "n0: the budget of zone a allows 1 unavailable, already unavailable: n0 (not ready), n2 (silent)"},
		{"a request that waits for a permit reserves its groups", budgets, map[int]Availability{0: HoldsPermit}, []Request{request(2, 1), request(1, 2)}, "", "n2: the budget of zone a allows 1 unavailable, already unavailable: n0 (permit)"},
		{"a request that waits for a silent node reserves nothing", budgets, map[int]Availability{0: Silent}, []Request{request(2, 1), request(1, 2)}, "n1", "n2: the budget of zone a allows 1 unavailable, already unavailable: n0 (silent)"},
		{"without budgets no request is granted", nil, nil, []Request{request(0, 1)}, "", "no disruption budget covers it; set one first"},
		{"an unknown member is rejected", budgets, nil, []Request{request(99, 1)}, "", "n99: no member of this name has reported"},
		{"a member that holds a permit is rejected", budgets, map[int]Availability{0: HoldsPermit}, []Request{request(0, 1)}, "", "it already holds a permit"},
		{"a budget of 0 grants nothing", Budgets{{Scope: "fleet", MaxUnavailable: ptr(0)}}, nil, []Request{request(0, 1)}, "", "n0: the budget of fleet allows 0 unavailable"},
	} {
		d := Decide(c.budgets, newMembers(6, c.availability), c.requests)
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
