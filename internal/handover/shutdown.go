// Package handover decides how a process hands its work over to the one that replaces it: how it shuts down
// (PlanShutdown), how both share the node's resources (ComputeQuota), and what the new one takes over of what the old
// one has learned (Snapshot, Validate, Discount). It does no I/O and reads no clock.
package handover

import "time"

// ShutdownConditions are what a process sees at the notice of shutdown.
type ShutdownConditions struct {
	InheritedListener bool          // the platform holds the clients' listener and passes it on
	OtherProcesses    int           // of this node, that live
	DrainGrace        time.Duration // after the notice, within which a request that arrives may still be started
	SafetyMargin      time.Duration // kept before the end of DrainGrace
	StopTimeout       time.Duration // from the notice until the kill
}

// ShutdownPlan is how a process shuts down.
type ShutdownPlan struct {
	// KeepAdvertised: neither callers nor the directory are notified that the node closes, as another
	// process serves it. Only their connections move.
	KeepAdvertised bool
	// CloseListenerAfter is the time from the notice until the process accepts no more connections and asks callers
	// to close theirs.
	CloseListenerAfter time.Duration
}

// PlanShutdown says how a process shuts down:
//
//	listener inherited, another process lives   keep advertised, close the listener at once
//	otherwise                                   close it after max(0, min(DrainGrace - SafetyMargin, StopTimeout/2))
//
// A node that ends is to be known as ending before it closes: callers learn of it late, and what they send until then
// is served. A process that is replaced closes at once: its clients' next connections wait in the listener's queue
// for the other process. If callers were sent elsewhere, the node would be empty, not the process: its cores would
// idle until callers trust it again. Where the listener is inherited and no other process lives, nobody would accept
// connections any more: then the node ends.
func PlanShutdown(c ShutdownConditions) ShutdownPlan {
	if c.InheritedListener && c.OtherProcesses > 0 {
		return ShutdownPlan{KeepAdvertised: true}
	}
	return ShutdownPlan{CloseListenerAfter: max(0, min(c.DrainGrace-c.SafetyMargin, c.StopTimeout/2))}
}
