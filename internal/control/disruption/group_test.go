package disruption

import "testing"

func TestExceededReturnsGroupsOverBudget(t *testing.T) {
	exceeded := Exceeded(Budgets{{Scope: "zone", MaxUnavailable: ptr(1)}}, newMembers(6, map[int]Availability{0: Silent, 2: HoldsPermit, 1: Draining}))
	if len(exceeded) != 1 || exceeded[0].Group != "zone a" || len(exceeded[0].Unavailable) != 2 {
		t.Errorf("exceeded groups %v, want zone a with 2 unavailable members", exceeded)
	}
}

func TestHeadroomCountsUnavailableMembers(t *testing.T) {
	if headroom := Headroom(fleetAndZoneBudgets(), newMembers(6, map[int]Availability{0: Silent})); headroom["fleet"] != 1 || headroom["zone a"] != 0 || headroom["zone b"] != 1 {
		t.Errorf("headroom %v, want fleet 1, zone a 0, zone b 1", headroom)
	}
}
