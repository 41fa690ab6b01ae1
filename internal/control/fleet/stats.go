package fleet

import (
	"maps"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
)

// Keys of Stats.Reports and Stats.Permits, which are values of metric labels.
const (
	reportsMade     = "made"
	reportsFailed   = "failed"
	permitsStarted  = "begun"
	permitsLate     = "late"
	permitsReplaced = "replaced"
	permitsGranted  = "granted"
	permitsRemoved  = "freed"
)

// Stats are the statistics of this node's participation in the fleet since its process started, and of the tasks
// whose leases it holds.
type Stats struct {
	OutOfService bool // this node is out of service under a permit
	DrainOverdue bool // this node is out of service and still has requests after its drain timeout
	// Reports counts reports to the store: "made", "failed".
	Reports map[string]uint64
	// Permits counts this node's own permits as "begun", "late" and "replaced", and the permits that it granted or
	// removed as "granted" and "freed".
	Permits map[string]uint64
	// Grants is nil unless this node grants permits.
	Grants *GrantStats
	// Releases are the active releases that this node controls.
	Releases []release.Status
}

// GrantStats are the statistics of the node that grants permits.
type GrantStats struct {
	Waiting     int // requests without a permit
	Permits     map[fleetstate.PermitState]int
	Unavailable map[disruption.Availability]int // nodes and upstream servers that count as unavailable
}

// Stats returns the current statistics.
func (p *Participant) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	stats.DrainOverdue, stats.Reports, stats.Permits = p.drainOverdue, maps.Clone(stats.Reports), maps.Clone(stats.Permits)
	return stats
}

// updateStats changes the statistics under the lock. change must not block.
func (p *Participant) updateStats(change func(stats *Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.stats)
}

// addPermitCount adds to one of Stats.Permits.
func (p *Participant) addPermitCount(key string, n int) {
	p.updateStats(func(stats *Stats) { stats.Permits[key] += uint64(n) })
}

// grantStatsOf returns the statistics of a view, and of its members as they count against the budgets.
func grantStatsOf(view fleetstate.View, members []disruption.Member) *GrantStats {
	stats := &GrantStats{Permits: map[fleetstate.PermitState]int{}, Unavailable: map[disruption.Availability]int{}}
	for name := range view.Requests {
		if _, permitted := view.Permits[name]; !permitted {
			stats.Waiting++
		}
	}
	for _, permit := range view.Permits {
		stats.Permits[permit.State]++
	}
	for _, member := range members {
		if member.Availability != disruption.Available {
			stats.Unavailable[member.Availability]++
		}
	}
	return stats
}
