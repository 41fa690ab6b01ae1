package emulator

import (
	"fmt"
	"time"
)

// Release is the rollout of another version while the fleet serves.
type Release struct {
	At       time.Duration // since the simulation's start
	Strategy ReleaseStrategy

	Zones               int           // the nodes are assigned to them in turn
	MaxUnavailableShare float64       // of BudgetedWaves: of the fleet, above 0 and up to 1; for each zone three times its part
	BatchShare          float64       // of FixedBatches: of the fleet, above 0 and up to 1
	MinReady            time.Duration // in service and healthy, before a node counts as available
	Soak                time.Duration // for which a wave is observed
	RestartDuration     time.Duration // from a process's end until the next one serves

	SpeedFactor  float64 // the new version's speed over the old one's; 0: 1
	FailureShare float64 // of the new version's responses, 0 to 1
}

// ReleaseStrategy is how a release replaces nodes. Its values are the words of experiment files.
type ReleaseStrategy string

// The release strategies. The first two run the fleet's own drain permits, release controller and canary analysis over
// a store without message loss.
const (
	BudgetedWaves  ReleaseStrategy = "agreed"    // waves within disruption budgets
	UnboundedWaves ReleaseStrategy = "unbounded" // the same waves, each replaced all at once
	FixedBatches   ReleaseStrategy = "batch"     // batches of a fixed size; the next starts as the last one has restarted, without analysis
)

// ReleaseResult is the outcome of a release.
type ReleaseResult struct {
	NodesChanged   int           // nodes on the new version at the end
	MaxUnavailable int           // most nodes that were out of service or in slow start at the same time
	Duration       time.Duration // until the release was complete or halted itself; 0: neither
	HaltReason     string        // why it halted itself; empty: it didn't
}

func (r *Release) validate(v *validation) {
	if r == nil {
		return
	}
	known := r.Strategy == BudgetedWaves || r.Strategy == UnboundedWaves || r.Strategy == FixedBatches
	v.require(known, fmt.Sprintf("release: no roll %q: agreed, unbounded or batch", r.Strategy))
	v.require(r.Zones >= 1 && r.MinReady >= 0 && r.Soak >= 0 && r.RestartDuration > 0, "release: zones and start above 0 are wanted, settle and soak of 0 or more")
	v.require(r.Strategy != BudgetedWaves || r.MaxUnavailableShare > 0 && r.MaxUnavailableShare <= 1, "release: most_out above 0 and up to 1 is wanted")
	v.require(r.Strategy != FixedBatches || r.BatchShare > 0 && r.BatchShare <= 1, "release: batch above 0 and up to 1 is wanted")
	v.require(r.SpeedFactor >= 0 && r.SpeedFactor <= 1 && r.FailureShare >= 0 && r.FailureShare <= 1, "release: slow and fails must be from 0 to 1")
}
