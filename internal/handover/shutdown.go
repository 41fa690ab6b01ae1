// Package handover decides how a process hands its work over to the process that replaces it: how it shuts down
// (PlanShutdown), how both share the node's resources (ComputeQuota), and which of the old process's learned values the
// new one starts from (Snapshot, Validate, Discount). It performs no I/O and reads no clock.
package handover

import "time"

// ShutdownConditions are the inputs of PlanShutdown, as a process observes them when it is notified of its shutdown.
type ShutdownConditions struct {
	InheritedListener bool          // the platform holds the clients' listener and passes it on to the next process
	OtherProcesses    int           // number of other processes of this node that are alive
	DrainGrace        time.Duration // time after the notice within which arriving requests may still be started
	SafetyMargin      time.Duration // time to keep before the end of DrainGrace
	StopTimeout       time.Duration // time from the notice until the process is killed
}

// ShutdownPlan describes how a process shuts down.
type ShutdownPlan struct {
	// KeepAdvertised: neither callers nor the directory are notified that the node closes, since another process serves
	// it. Only the callers' connections move.
	KeepAdvertised bool
	// CloseListenerAfter is the time from the notice until the process stops accepting connections and asks callers to
	// close theirs.
	CloseListenerAfter time.Duration
}

// PlanShutdown returns how a process shuts down:
//
//	listener inherited, another process alive   keep advertised, close the listener at once
//	otherwise                                   close it after max(0, min(DrainGrace - SafetyMargin, StopTimeout/2))
//
// A node that shuts down must be advertised as closing before it closes its listener: callers learn of it late, and the
// requests that they send until then are served. A process that is replaced closes its listener at once: its clients'
// next connections wait in the listener's queue for the other process. If callers were sent to other nodes, the whole
// node would be drained instead of the process, and its cores would be idle until callers use it again. If the listener
// is inherited and no other process is alive, no process would accept connections any more, so the whole node
// shuts down.
func PlanShutdown(c ShutdownConditions) ShutdownPlan {
	if c.InheritedListener && c.OtherProcesses > 0 {
		return ShutdownPlan{KeepAdvertised: true}
	}
	return ShutdownPlan{CloseListenerAfter: max(0, min(c.DrainGrace-c.SafetyMargin, c.StopTimeout/2))}
}
