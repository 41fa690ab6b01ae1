// Package handover decides how a process hands its work to the one that replaces it. It does no I/O and reads no
// clock: what a process sees goes in, what it is to do comes out.
package handover

import "time"

// ShutdownConditions is what a process sees when it is told to leave.
type ShutdownConditions struct {
	InheritedListener bool          // clients come from a listener that the platform holds
	OtherProcesses    int           // other processes of this node that live
	DrainGrace        time.Duration // after the notice, within which what arrives may still run
	SafetyMargin      time.Duration // kept before the grace's end and before the kill
	StopTimeout       time.Duration // until the kill
}

// ShutdownPlan is how a process leaves.
type ShutdownPlan struct {
	// KeepAdvertised: callers are not told to stay away from the node, nor its registry that it closes, as another process
	// serves it. Only their connections move.
	KeepAdvertised     bool
	CloseListenerAfter time.Duration // from the notice until the process takes no more connections and asks callers to close theirs
}

// PlanShutdown says how to leave. A node that ends is to be known as ending before it shuts: callers learn of it late, and
// what they send until then is served. A process that is replaced shuts at once: its clients' next connections wait in
// the listener's queue for the other process. To tell callers to stay away would empty the node, not the process; the
// cores would stand idle until callers trust it again.
//
// Where the listener is inherited and nobody else lives, no connection would be taken any more: then it is as where
// the node ends.
func PlanShutdown(s ShutdownConditions) ShutdownPlan {
	if s.InheritedListener && s.OtherProcesses > 0 {
		return ShutdownPlan{KeepAdvertised: true}
	}
	return ShutdownPlan{CloseListenerAfter: max(0, min(s.DrainGrace-s.SafetyMargin, s.StopTimeout/2))}
}
