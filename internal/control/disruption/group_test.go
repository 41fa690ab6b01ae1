package disruption

import "testing"

func TestExceeded(t *testing.T) {
	exceeded := Exceeded(Budgets{{Scope: "zone", MaxUnavailable: ptr(1)}}, fleetOf(6, map[int]Availability{0: Silent, 2: HoldsPermit, 1: Draining}))
	if len(exceeded) != 1 || exceeded[0].Group != "zone a" || len(exceeded[0].Unavailable) != 2 {
		t.Errorf("exceeded: %v", exceeded)
	}
}

func TestHeadroom(t *testing.T) {
	if headroom := Headroom(fleetAndZone(), fleetOf(6, map[int]Availability{0: Silent})); headroom["fleet"] != 1 || headroom["zone a"] != 0 || headroom["zone b"] != 1 {
		t.Errorf("headroom: %v", headroom)
	}
}
