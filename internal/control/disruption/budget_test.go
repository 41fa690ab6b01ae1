package disruption

import (
	"fmt"
	"strings"
	"testing"
)

func ptr[T any](v T) *T { return &v }

func TestRules(t *testing.T) {
	for _, c := range []struct {
		rules Budgets
		wrong string
	}{
		{Budgets{{Scope: "fleet", MaxUnavailable: ptr(1)}, {Scope: "zone", MinAvailableFraction: ptr(0.5)}, {Scope: "zone", ScopeValue: "a", MinAvailable: ptr(2)}}, ""},
		{Budgets{{Scope: "rack", MaxUnavailable: ptr(1)}}, `budget 1: group is "rack"; write one of fleet, zone`},
		{Budgets{{Scope: "fleet"}}, "0 bounds are set"},
		{Budgets{{Scope: "fleet", MaxUnavailable: ptr(1), MinAvailable: ptr(1)}}, "2 bounds are set"},
		{Budgets{{Scope: "fleet", MaxUnavailable: ptr(-1)}}, "0 or more"},
		{Budgets{{Scope: "fleet", MaxUnavailableFraction: ptr(1.5)}}, "a share from 0 to 1"},
		{Budgets{{Scope: "fleet", ScopeValue: "x", MaxUnavailable: ptr(1)}}, "there is one fleet"},
		{Budgets{{Scope: "zone", MaxUnavailable: ptr(1)}, {Scope: "kind", MaxUnavailable: ptr(-2)}, {Scope: "zone", MaxUnavailable: ptr(2)}}, "budget 2: 0 or more is wanted\nbudget 3: group \"zone\" only \"\" is bounded by budget 1 already"},
	} {
		if err := c.rules.Validate(); (err == nil) != (c.wrong == "") || err != nil && !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%v: %v, want %q", c.rules, err, c.wrong)
		}
	}
	for _, c := range []struct {
		rule       Budget
		size, most int
	}{
		{Budget{MaxUnavailable: ptr(2)}, 10, 2}, {Budget{MaxUnavailableFraction: ptr(0.1)}, 10, 1}, {Budget{MaxUnavailableFraction: ptr(0.1)}, 9, 0}, {Budget{MaxUnavailableFraction: ptr(0.3)}, 10, 3},
		{Budget{MinAvailable: ptr(4)}, 10, 6}, {Budget{MinAvailable: ptr(4)}, 3, 0}, {Budget{MinAvailableFraction: ptr(0.75)}, 10, 2}, {Budget{MinAvailableFraction: ptr(1.0)}, 10, 0},
	} {
		if got := c.rule.allowedUnavailable(c.size); got != c.most {
			t.Errorf("%+v of %d: %d, want %d", c.rule, c.size, got, c.most)
		}
	}
}

// fleetOf is n0, n1 and so on, in zones a and b in turn, but for those that are out.
func fleetOf(size int, out map[int]Availability) (list []Member) {
	for i := range size {
		list = append(list, Member{Name: fmt.Sprint("n", i), Labels: map[string]string{"zone": string(rune('a' + i%2))}, Availability: out[i]})
	}
	return list
}

func TestDecide(t *testing.T) {
	rules := Budgets{{Scope: "fleet", MaxUnavailable: ptr(2)}, {Scope: "zone", MaxUnavailable: ptr(1)}}
	ask := func(n int, order uint64) Request { return Request{Member: fmt.Sprint("n", n), Order: order} }
	urgent := func(a Request) Request { a.Urgent = true; return a }
	for _, c := range []struct {
		name    string
		rules   Budgets
		out     map[int]Availability
		asks    []Request
		granted string
		refused string // of the first that is
	}{
		{"one of each zone", rules, nil, []Request{ask(0, 1), ask(1, 2), ask(2, 3)}, "n0 n1", "n2: of fleet 2 may be out, and there are out: n0 (permit), n1 (permit)"},
		{"in the order of asking", rules, nil, []Request{ask(0, 2), ask(2, 1)}, "n2", "n0: of zone a 1 may be out"},
		{"urgent first", rules, nil, []Request{ask(0, 1), urgent(ask(2, 9))}, "n2", "n0: of zone a"},
		{"silence uses it up", rules, map[int]Availability{0: Silent}, []Request{ask(2, 1), ask(1, 2)}, "n1", "n2: of zone a 1 may be out, and there are out: n0 (silent)"},
		{"a zone that is lost: nothing of it, one of the other", rules, map[int]Availability{0: Silent, 2: Unknown, 4: WarmingUp}, []Request{ask(1, 1)}, "", "n1: of fleet 2 may be out, and there are out: n0 (silent), n2 (unknown), n4 (warming)"},
		{"one that is out already adds nothing", rules, map[int]Availability{0: NotReady}, []Request{ask(0, 1)}, "n0", ""},
		{"but not above the budget", rules, map[int]Availability{0: NotReady, 2: Silent}, []Request{ask(0, 1)}, "", "n0: of zone a 1 may be out"},
		{"nobody takes the room that the first waits for", rules, map[int]Availability{0: HoldsPermit}, []Request{ask(2, 1), ask(1, 2)}, "", "n2: of zone a"},
		{"what waits for the silent keeps no room", rules, map[int]Availability{0: Silent}, []Request{ask(2, 1), ask(1, 2)}, "n1", "n2: of zone a"},
		{"no rules, no permits", nil, nil, []Request{ask(0, 1)}, "", "no budget bounds a group of it"},
		{"one that nobody knows", rules, nil, []Request{ask(99, 1)}, "", "n99: no such member"},
		{"one that has one", rules, map[int]Availability{0: HoldsPermit}, []Request{ask(0, 1)}, "", "it holds a permit already"},
		{"a budget of none", Budgets{{Scope: "fleet", MaxUnavailable: ptr(0)}}, nil, []Request{ask(0, 1)}, "", "n0: of fleet 0 may be out"},
	} {
		d := Decide(c.rules, fleetOf(6, c.out), c.asks)
		var granted []string
		for _, a := range d.Granted {
			granted = append(granted, a.Member)
		}
		refused := ""
		if len(d.Rejected) > 0 {
			refused = d.Rejected[0].String()
		}
		if got := strings.Join(granted, " "); got != c.granted || !strings.Contains(refused, c.refused) || (refused == "") != (c.refused == "") {
			t.Errorf("%s: granted %q, refused %q; want %q and %q", c.name, got, refused, c.granted, c.refused)
		}
	}
	over := Exceeded(Budgets{{Scope: "zone", MaxUnavailable: ptr(1)}}, fleetOf(6, map[int]Availability{0: Silent, 2: HoldsPermit, 1: Draining}))
	if len(over) != 1 || over[0].Group != "zone a" || len(over[0].Unavailable) != 2 {
		t.Errorf("over: %v", over)
	}
	if room := Headroom(rules, fleetOf(6, map[int]Availability{0: Silent})); room["fleet"] != 1 || room["zone a"] != 0 || room["zone b"] != 1 {
		t.Errorf("room: %v", room)
	}
}
