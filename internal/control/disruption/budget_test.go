package disruption

import (
	"strings"
	"testing"
)

func ptr[T any](v T) *T { return &v }

func TestValidateRejectsInvalidBudgets(t *testing.T) {
	for _, c := range []struct {
		budgets Budgets
		want    string
	}{
		{Budgets{{Scope: "fleet", MaxUnavailable: ptr(1)}, {Scope: "zone", MinAvailableFraction: ptr(0.5)}, {Scope: "zone", ScopeValue: "a", MinAvailable: ptr(2)}}, ""},
		{Budgets{{Scope: "rack", MaxUnavailable: ptr(1)}}, `budget 1: unknown group "rack": must be one of fleet, zone, kind, service`},
		{Budgets{{Scope: "fleet"}}, "0 bounds are set: exactly one of most_out, most_out_share, least_in, least_in_share is required"},
		{Budgets{{Scope: "fleet", MaxUnavailable: ptr(1), MinAvailable: ptr(1)}}, "2 bounds are set: exactly one of most_out, most_out_share, least_in, least_in_share is required"},
		{Budgets{{Scope: "fleet", MaxUnavailable: ptr(-1)}}, "most_out and least_in must be 0 or more"},
		{Budgets{{Scope: "fleet", MaxUnavailableFraction: ptr(1.5)}}, "most_out_share and least_in_share must be from 0 to 1"},
		{Budgets{{Scope: "fleet", ScopeValue: "x", MaxUnavailable: ptr(1)}}, `only is "x": must be empty for the group "fleet"`},
		{Budgets{{Scope: "zone", MaxUnavailable: ptr(1)}, {Scope: "kind", MaxUnavailable: ptr(-2)}, {Scope: "zone", MaxUnavailable: ptr(2)}}, "budget 2: most_out and least_in must be 0 or more\nbudget 3: group \"zone\" only \"\" is already bounded by budget 1"},
	} {
		if err := c.budgets.Validate(); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("Validate of %v: %v, want %q", c.budgets, err, c.want)
		}
	}
}

func TestAllowedUnavailableRoundsDown(t *testing.T) {
	for _, c := range []struct {
		budget        Budget
		size, allowed int
	}{
		{Budget{MaxUnavailable: ptr(2)}, 10, 2}, {Budget{MaxUnavailableFraction: ptr(0.1)}, 10, 1}, {Budget{MaxUnavailableFraction: ptr(0.1)}, 9, 0}, {Budget{MaxUnavailableFraction: ptr(0.3)}, 10, 3},
		{Budget{MinAvailable: ptr(4)}, 10, 6}, {Budget{MinAvailable: ptr(4)}, 3, 0}, {Budget{MinAvailableFraction: ptr(0.75)}, 10, 2}, {Budget{MinAvailableFraction: ptr(1.0)}, 10, 0},
	} {
		if got := c.budget.allowedUnavailable(c.size); got != c.allowed {
			t.Errorf("%+v in a group of %d members: %d may be unavailable, want %d", c.budget, c.size, got, c.allowed)
		}
	}
}
