package emulator

import (
	"fmt"
	"time"
)

// Release is the rollout of a new version while the fleet serves requests.
type Release struct {
	At       time.Duration // since the simulation's start
	Strategy ReleaseStrategy

	Zones               int           // nodes are assigned to zones round-robin
	MaxUnavailableShare float64       // of BudgetedWaves: of the fleet, above 0 and up to 1; for a zone three times its part
	BatchShare          float64       // of FixedBatches: of the fleet, above 0 and up to 1
	MinReady            time.Duration // time in service and healthy before a node counts as available
	Soak                time.Duration // for how long a wave is observed
	RestartDuration     time.Duration // from the end of a process until the next one serves

	SpeedFactor  float64 // the new version's speed relative to the old one's; 0 stands for 1
	FailureShare float64 // share of the new version's responses that fail, 0 to 1
}

// ReleaseStrategy is how a release replaces nodes. Its values are those of experiment files.
type ReleaseStrategy string

// The release strategies. The first two run the fleet's own drain permits, release controller and canary analysis on a
// store without message loss.
const (
	BudgetedWaves  ReleaseStrategy = "agreed"    // waves within disruption budgets
	UnboundedWaves ReleaseStrategy = "unbounded" // the same waves without budgets: all nodes of a wave are replaced at once
	FixedBatches   ReleaseStrategy = "batch"     // fixed-size batches without analysis; each starts when the last has restarted
)

// ReleaseResult is the outcome of a release.
type ReleaseResult struct {
	NodesChanged   int           // nodes on the new version at the end
	MaxUnavailable int           // most nodes that were out of service or in slow start at the same time
	Duration       time.Duration // until the release completed or halted itself; 0: it did neither
	HaltReason     string        // why the release halted itself; empty: it didn't
}

func (r *Release) validate(v *validation) {
	if r == nil {
		return
	}
	known := r.Strategy == BudgetedWaves || r.Strategy == UnboundedWaves || r.Strategy == FixedBatches
	v.require(known, fmt.Sprintf("release: unknown roll %q: must be agreed, unbounded or batch", r.Strategy))
	v.require(r.Zones >= 1 && r.MinReady >= 0 && r.Soak >= 0 && r.RestartDuration > 0,
		"release: zones and start must be above 0, settle and soak must not be below 0")
	v.require(r.Strategy != BudgetedWaves || r.MaxUnavailableShare > 0 && r.MaxUnavailableShare <= 1,
		"release: most_out must be above 0 and at most 1")
	v.require(r.Strategy != FixedBatches || r.BatchShare > 0 && r.BatchShare <= 1, "release: batch must be above 0 and at most 1")
	v.require(r.SpeedFactor >= 0 && r.SpeedFactor <= 1 && r.FailureShare >= 0 && r.FailureShare <= 1, "release: slow and fails must be from 0 to 1")
}
