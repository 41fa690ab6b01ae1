package fleetrig

import (
	"fmt"

	"sloehitch/internal/control/lease"
)

// The states of a drained node, by event, and the roles of a leaseholder, by lease, under the names that Drained.Met uses.
var (
	drainStates = map[string]string{"begins out": "out", "goes on out": "out", "replaced": "replaced", "enters": "back", "warm": "", "late": ""}
	leaseRoles  = map[string]string{"permits": "who grants permits", "release": "who releases", "store": "the store's leader"}
)

// faultCoverage counts the critical cases of a run: processes that were killed, stopped, shut down or isolated during a drain, or while
// they held a lease or led the store. A fault of a process that already had another one is not counted.
func faultCoverage(all []processEvent, faults []injectedFault) map[string]int {
	count := map[string]int{}
	held := spans(all)
	for i, c := range faults {
		switch c.Kind {
		case Kill, Stop, Leave, Isolate:
		default:
			continue
		}
		if overlapped(faults, i) {
			continue
		}
		if state := drainState(all, c.Nodes[0], c.from); state != "" {
			count[fmt.Sprintf("%s while %s", c.Kind, state)]++
		}
		for _, s := range held {
			if role := leaseRoles[s.What]; role != "" && s.Node == c.Nodes[0] && s.From <= c.from && c.from < s.To {
				count[fmt.Sprintf("%s of %s", c.Kind, role)]++
			}
		}
	}
	return count
}

// overlapped reports whether another process fault of the same node was active when the fault with this index began.
func overlapped(faults []injectedFault, index int) bool {
	c := faults[index]
	for i, other := range faults {
		isProcessFault := other.Kind == Kill || other.Kind == Stop || other.Kind == Leave
		if i != index && other.Nodes[0] == c.Nodes[0] && isProcessFault && other.from <= c.from && c.from < other.to {
			return true
		}
	}
	return false
}

// drainState returns the state of a node's drain at the given time, or "" if the node was in service.
func drainState(all []processEvent, node int, at lease.Instant) (state string) {
	for _, e := range all {
		if e.Node != node || e.At > at {
			continue
		}
		if to, changes := drainStates[e.What]; changes {
			state = to
		}
	}
	return state
}
