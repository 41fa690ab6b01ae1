package disruption

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// How many members of a group may be unavailable at once.
//
// Inputs: the group's size in members, and the one bound that the budget sets. The allowed number is
//
//	max_unavailable            most_out (members)
//	max_unavailable_fraction   floor(most_out_share * size)
//	min_available              max(0, size - least_in)
//	min_available_fraction     max(0, size - ceil(least_in_share * size))
//
// Fractions round towards fewer members out, so a budget is never exceeded by rounding.
// Source: the minAvailable and maxUnavailable fields of Kubernetes' PodDisruptionBudget.

const (
	// maxBudgets is how many budgets one fleet may have.
	maxBudgets = 64
	// fractionTolerance, in members, compensates for the rounding of binary fractions: 0.1 of 10 members must be 1.
	fractionTolerance = 1e-9
)

// Scopes of a budget: the values of its "group" setting.
const (
	scopeFleet   = "fleet"
	scopeZone    = "zone"
	scopeKind    = "kind"
	scopeService = "service"
)

var scopes = []string{scopeFleet, scopeZone, scopeKind, scopeService}

var (
	errNegativeCount      = errors.New("most_out and least_in must be 0 or more")
	errFractionOutOfRange = errors.New("most_out_share and least_in_share must be from 0 to 1")
)

// Budget bounds how many members of each group of a scope may be unavailable at once. Exactly one of the four
// bounds is set.
type Budget struct {
	// Scope is "fleet" (all nodes), "zone", "kind" or "service" (upstream servers). Members with the same label
	// value for the scope form one group.
	Scope string `toml:"group" json:"group"`
	// ScopeValue restricts the budget to the group with this label value. If empty, it bounds every group of the scope.
	ScopeValue string `toml:"only" json:"only,omitempty"`
	// MaxUnavailable is a number of members, 0 or more.
	MaxUnavailable *int `toml:"most_out" json:"most_out,omitempty"`
	// MaxUnavailableFraction is a fraction of the group's size, 0 to 1, rounded down.
	MaxUnavailableFraction *float64 `toml:"most_out_share" json:"most_out_share,omitempty"`
	// MinAvailable is a number of members, 0 or more.
	MinAvailable *int `toml:"least_in" json:"least_in,omitempty"`
	// MinAvailableFraction is a fraction of the group's size, 0 to 1, rounded up.
	MinAvailableFraction *float64 `toml:"least_in_share" json:"least_in_share,omitempty"`
}

// validate returns an error for a budget that cannot be used.
func (b Budget) validate() error {
	bounds, boundErr := b.bounds()
	switch {
	case !slices.Contains(scopes, b.Scope):
		return fmt.Errorf("unknown group %q: must be one of %s", b.Scope, strings.Join(scopes, ", "))
	case b.Scope == scopeFleet && b.ScopeValue != "":
		return fmt.Errorf("only is %q: must be empty for the group \"fleet\"", b.ScopeValue)
	case bounds != 1:
		return fmt.Errorf("%d bounds are set: exactly one of most_out, most_out_share, least_in, least_in_share is required", bounds)
	}
	return boundErr
}

// bounds returns how many bounds are set, and an error if one is out of range.
func (b Budget) bounds() (set int, err error) {
	for _, count := range []*int{b.MaxUnavailable, b.MinAvailable} {
		if count == nil {
			continue
		}
		set++
		if *count < 0 {
			err = errNegativeCount
		}
	}
	for _, fraction := range []*float64{b.MaxUnavailableFraction, b.MinAvailableFraction} {
		if fraction == nil {
			continue
		}
		set++
		if inRange := *fraction >= 0 && *fraction <= 1; !inRange { // NaN is out of range
			err = errFractionOutOfRange
		}
	}
	return set, err
}

// allowedUnavailable returns how many members of a group of the given size may be unavailable. The budget
// must be valid.
func (b Budget) allowedUnavailable(size int) int {
	switch {
	case b.MaxUnavailable != nil:
		return *b.MaxUnavailable
	case b.MaxUnavailableFraction != nil:
		return int(math.Floor(*b.MaxUnavailableFraction*float64(size) + fractionTolerance))
	case b.MinAvailable != nil:
		return max(0, size-*b.MinAvailable)
	}
	return max(0, size-int(math.Ceil(*b.MinAvailableFraction*float64(size)-fractionTolerance)))
}

// Budgets are all budgets of a fleet. A member that no budget covers is never granted a permit, so without
// budgets no member may go out of service.
type Budgets []Budget

// Validate returns an error that lists all problems of the budgets, or nil.
func (bs Budgets) Validate() error {
	type target struct{ scope, value string }
	var errs []error
	if len(bs) > maxBudgets {
		errs = append(errs, fmt.Errorf("%d budgets exceed the limit of %d", len(bs), maxBudgets))
	}
	numberOf := map[target]int{}
	for i, b := range bs {
		number := i + 1
		if err := b.validate(); err != nil {
			errs = append(errs, fmt.Errorf("budget %d: %w", number, err))
		}
		t := target{b.Scope, b.ScopeValue}
		if earlier, found := numberOf[t]; found {
			errs = append(errs, fmt.Errorf("budget %d: group %q only %q is already bounded by budget %d", number, b.Scope, b.ScopeValue, earlier))
		}
		numberOf[t] = number
	}
	return errors.Join(errs...)
}
