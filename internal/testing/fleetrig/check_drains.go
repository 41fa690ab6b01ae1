package fleetrig

import (
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
)

// checkDrains checks from the processes' events that the number of drained nodes never exceeded the disruption budgets, and that no drain
// began while an acknowledged halt was in force. A node counts as drained from its drain's start until it has been healthy for settleTime.
// The drains are counted into count.
func checkDrains(all []processEvent, halts []halt, count *Drained) (violations []string) {
	drained := map[int]bool{}
	for _, e := range all {
		switch e.What {
		case "begins out":
			count.Begun++
			drained[e.Node] = true
			zones := map[string]int{}
			for node := range drained {
				zones[zoneOf(node)]++
			}
			count.Most = max(count.Most, len(drained))
			for zone, n := range zones {
				if n > maxUnavailablePerZone {
					violations = append(violations,
						fmt.Sprintf("at %d: %d nodes of zone %s are drained, more than the disruption budget of the zone, n%d last", e.At, n, zone, e.Node))
				}
			}
			if len(drained) > maxUnavailable {
				violations = append(violations,
					fmt.Sprintf("at %d: %d nodes are drained, more than the disruption budget of the fleet, n%d last", e.At,
						len(drained), e.Node))
			}
			for _, h := range halts {
				if (h.scope == fleetstate.HaltAll || h.scope == e.Duty) && e.At > h.from && (h.to == 0 || e.At < h.to) {
					violations = append(violations, fmt.Sprintf("at %d: the drain of n%d began %v after a halt of %s was acknowledged",
						e.At, e.Node, time.Duration(e.At-h.from), h.scope))
				}
			}
		case "warm":
			delete(drained, e.Node)
		case "late":
			count.Late++
		case "replaced":
			count.Replaced++
		case "starts":
			if drained[e.Node] {
				count.Killed++
			}
		case "holds":
			if e.Duty == "permits" {
				count.Keepers++
			}
		}
	}
	count.Halts += len(halts)
	return violations
}
