package disruption

import (
	"strings"
	"testing"
)

func ptr[T any](v T) *T { return &v }

func TestBudgetsValidate(t *testing.T) {
	for _, c := range []struct {
		budgets Budgets
		want    string
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
		if err := c.budgets.Validate(); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v, want %q", c.budgets, err, c.want)
		}
	}
}

func TestAllowedUnavailable(t *testing.T) {
	for _, c := range []struct {
		budget        Budget
		size, allowed int
	}{
		{Budget{MaxUnavailable: ptr(2)}, 10, 2}, {Budget{MaxUnavailableFraction: ptr(0.1)}, 10, 1}, {Budget{MaxUnavailableFraction: ptr(0.1)}, 9, 0}, {Budget{MaxUnavailableFraction: ptr(0.3)}, 10, 3},
		{Budget{MinAvailable: ptr(4)}, 10, 6}, {Budget{MinAvailable: ptr(4)}, 3, 0}, {Budget{MinAvailableFraction: ptr(0.75)}, 10, 2}, {Budget{MinAvailableFraction: ptr(1.0)}, 10, 0},
	} {
		if got := c.budget.allowedUnavailable(c.size); got != c.allowed {
			t.Errorf("%+v of %d: %d, want %d", c.budget, c.size, got, c.allowed)
		}
	}
}
