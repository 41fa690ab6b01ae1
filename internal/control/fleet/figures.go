package fleet

import (
	"maps"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
)

// Stats are what this node has done in the fleet since its process began, and what it knows where it has a duty.
type Stats struct {
	OutOfService bool              // this node is out of service by a permit
	DrainOverdue bool              // and has been for longer than it was to take
	Reports      map[string]uint64 // made, failed
	Permits      map[string]uint64 // its own: begun, late, replaced; as the keeper: granted, freed
	Grants       *GrantStats       // nil: another node grants permits, or nobody has anything to decide
	Releases     []release.Status  // that this node takes through the fleet
}

// GrantStats is what the keeper of permits sees.
type GrantStats struct {
	Waiting     int                             // asks without a permit
	Permits     map[fleetstate.PermitState]int  // by how far they are
	Unavailable map[disruption.Availability]int // nodes and servers that count as out, by why
}

// Stats returns them as they are now. It does not block for long.
func (f *Participant) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.stats
	x.DrainOverdue, x.Reports, x.Permits = f.drainOverdue, maps.Clone(x.Reports), maps.Clone(x.Permits)
	return x
}

// updateStats has the figures changed.
func (f *Participant) updateStats(change func(x *Stats)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.stats)
}

// addPermitCount counts something of permits.
func (f *Participant) addPermitCount(what string, n int) {
	f.updateStats(func(x *Stats) { x.Permits[what] += uint64(n) })
}

// grantStatsOf is what a view comes to, and what a step counted in it.
func grantStatsOf(v fleetstate.View, counted []disruption.Member) *GrantStats {
	kept := &GrantStats{Permits: map[fleetstate.PermitState]int{}, Unavailable: map[disruption.Availability]int{}}
	for name := range v.Requests {
		if _, permitted := v.Permits[name]; !permitted {
			kept.Waiting++
		}
	}
	for _, p := range v.Permits {
		kept.Permits[p.State]++
	}
	for _, m := range counted {
		if m.Availability != disruption.Available {
			kept.Unavailable[m.Availability]++
		}
	}
	return kept
}
