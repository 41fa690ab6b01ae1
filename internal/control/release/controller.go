package release

import (
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// Decision is what is to be changed of a release: at most one of its three parts is set.
type Decision struct {
	Requests   []NodeRequest
	HaltReason string   // why the release halts by itself
	Updated    *Release // the release as it is to be written
}

// Empty says whether nothing is to be changed.
func (d Decision) Empty() bool {
	return d.HaltReason == "" && d.Updated == nil && len(d.Requests) == 0
}

// NodeRequest is a drain request to be written for a node, or to be withdrawn.
type NodeRequest struct {
	Node          string
	TargetVersion string
	Withdraw      bool // delete the request that there is
}

// Controller decides on one release. What it remembers is since when it has seen something, on its own
// process's clock; another process that takes over counts anew. It is not safe for concurrent use.
type Controller struct {
	watching      bool
	watchingSince lease.Instant

	waveReady      bool // all nodes of readyWave are updated and available
	readyWave      int
	waveReadySince lease.Instant

	outSince map[string]lease.Instant // since when a permit has been seen as started, by permit ID
}

// Decide returns what is to be changed by a view, which a majority must have confirmed, and by the verdict on
// the nodes updated so far. It must be called with the same release each time.
func (c *Controller) Decide(r Release, view fleetstate.View, verdict canary.Verdict, minReady time.Duration, now lease.Instant) Decision {
	if view.Halted[fleetstate.HaltAll] || view.Halted[r.Name] || !r.Active() {
		c.waveReady, c.outSince = false, nil
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
