package release

import (
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// Decision holds the changes that a controller makes for a release. At most one of its fields is set.
type Decision struct {
	Requests   []NodeRequest
	HaltReason string   // why the release halts by itself
	Updated    *Release // the release to write
}

// Empty reports whether the decision changes nothing.
func (d Decision) Empty() bool {
	return d.HaltReason == "" && d.Updated == nil && len(d.Requests) == 0
}

// NodeRequest is a drain request to write or to withdraw for a node.
type NodeRequest struct {
	Node          string
	TargetVersion string
	Withdraw      bool // delete the existing request
}

// Controller decides on one release. Its state is when it first observed certain conditions, on the clock of its
// process. Another process that takes over starts these measurements again. It is not safe for concurrent use.
type Controller struct {
	watching      bool
	watchingSince lease.Instant

	waveReady      bool // all nodes of readyWave are updated and available
	readyWave      int
	waveReadySince lease.Instant

	outOfServiceSince map[string]lease.Instant // when a permit was first observed as started, by permit ID
}

// Decide returns the changes for a view, which a majority must have confirmed, and for the verdict on the nodes
// updated so far. It must be called with the same release each time.
func (c *Controller) Decide(r Release, view fleetstate.View, verdict canary.Verdict, minReady time.Duration, now lease.Instant) Decision {
	if view.Halted[fleetstate.HaltAll] || view.Halted[r.Name] || !r.Active() {
		c.waveReady, c.outOfServiceSince = false, nil
		return Decision{}
	}
	if !c.watching {
		c.watchingSince, c.watching = now, true
	}
	members := map[string]fleetstate.ObservedMember{}
	for _, m := range view.Members {
		members[m.Name] = m
	}
	if reason := c.overdueNode(r, view, now); reason != "" {
		return Decision{HaltReason: reason}
	}
	if r.State == RollingBack {
		return rollBack(r, view, members)
	}
	if reason := badVersion(r, members, verdict); reason != "" {
		return Decision{HaltReason: reason}
	}
	return c.advance(r, inspectWave(r, view, members, minReady), members, verdict, now)
}
