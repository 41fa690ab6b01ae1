package fleetrig

import (
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
)

// checkDrains checks by the processes' events that at no instant more nodes were drained than the disruption budgets allow, counted from a
// drain's start until the node has been healthy for settleTime, and that no drain began while an acknowledged halt was in force. It counts
// into count.
func checkDrains(all []processEvent, halts []halt, count *Drained) (wrong []string) {
	out := map[int]bool{}
	for _, e := range all {
		switch e.What {
		case "begins out":
			count.Begun++
			out[e.Node] = true
			zones := map[string]int{}
			for node := range out {
				zones[zoneOf(node)]++
			}
			count.Most = max(count.Most, len(out))
			for zone, n := range zones {
				if n > maxUnavailablePerZone {
					wrong = append(wrong, fmt.Sprintf("at %d %d nodes of zone %s are out by choice, n%d last", e.At, n, zone, e.Node))
				}
			}
			if len(out) > maxUnavailable {
				wrong = append(wrong, fmt.Sprintf("at %d %d nodes are out by choice, n%d last", e.At, len(out), e.Node))
			}
			for _, h := range halts {
				if (h.what == fleetstate.HaltAll || h.what == e.Duty) && e.At > h.from && (h.to == 0 || e.At < h.to) {
					wrong = append(wrong, fmt.Sprintf("at %d n%d began to go out, %v after a halt of %s was acknowledged", e.At, e.Node, time.Duration(e.At-h.from), h.what))
				}
			}
		case "warm":
			delete(out, e.Node)
		case "late":
			count.Late++
		case "replaced":
			count.Replaced++
		case "starts":
			if out[e.Node] {
				count.Killed++
			}
		case "holds":
			if e.Duty == "permits" {
				count.Keepers++
			}
		}
	}
	count.Halts += len(halts)
	return wrong
}
