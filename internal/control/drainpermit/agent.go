package drainpermit

import (
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// Observation is what a node knows when it decides what to do next: what it read from the store, which may be
// old, and its own condition.
type Observation struct {
	Request        *fleetstate.DrainRequest // the node's drain request; nil: there is none
	RequestVersion uint64
	Permit         *fleetstate.Permit // nil: there is none
	PermitVersion  uint64
	Revision       uint64 // of the store, as of which the documents were read
	InFlight       int    // callers' requests, running and queued
	Healthy        bool   // ready and healthy, if it is in service
}

// ActionKind is what a node is to do.
type ActionKind int

// The kinds of action. ActionStart, ActionUpdatePermit, ActionReplaceProcess, ActionReturnPermit and
// ActionFailRequest are transactions, which must be committed only if the drain request and the permit have the
// observed versions (StartTransaction, ActionTransaction).
const (
	ActionNone           ActionKind = iota
	ActionStart                     // commit the permit as started; report HandleStartResult
	ActionLeaveService              // go out of service now; report LeftService
	ActionEnterService              // go into service now; report EnteredService
	ActionUpdatePermit              // write the permit's new state; report HandleWriteResult
	ActionReplaceProcess            // write the permit, then replace the process; report HandleReplaceFailure if that fails
	ActionReturnPermit              // delete the permit, and the drain request with RequestDone; report HandleWriteResult
	ActionFailRequest               // write the drain request as failed; report HandleWriteResult
)

// Action is what a node is to do.
type Action struct {
	Kind        ActionKind
	Permit      fleetstate.Permit       // as it is to be written
	Request     fleetstate.DrainRequest // of ActionFailRequest: as it is to be written
	RequestDone bool                    // of ActionReturnPermit: the drain request is done and is to be deleted
	NeverUsed   bool                    // of ActionReturnPermit: the node has not gone out of service by the permit
}

// AgentOptions describe the node of an Agent.
type AgentOptions struct {
	DeployedVersion    string
	Terms              lease.Terms   // of the start window
	MinReady           time.Duration // in service and healthy, before the permit is returned
	MaxReplaceAttempts int           // after which a release's drain request fails
}

// Agent decides what one process of a node does with the node's permits. Whoever drives it carries out what
// NextAction returns and reports the result. It is not safe for concurrent use.
type Agent struct {
	options      AgentOptions
	outOfService bool // by a permit
	leftAt       lease.Instant

	writePending bool
	minRevision  uint64 // of the agent's last write: an older observation does not count

	startRequestedAt lease.Instant
	permitID         string // of the permit that this process started, or adopted from the process before it
	mustStay         bool   // this process may not go out by the permit: adopted as started by an earlier process, or its start was confirmed too late
	startedLate      bool   // the start of the permit was confirmed too late, or not at all

	healthy        bool // in service and healthy
	healthySince   lease.Instant
	replaceFailure string // why the last replacement failed
}

// NewAgent returns the agent of a process that has just started, and is in service.
func NewAgent(options AgentOptions) *Agent { return &Agent{options: options} }

// OutOfService says whether the process is out of service by a permit.
func (a *Agent) OutOfService() bool { return a.outOfService }

// DrainOverdue says whether the node still has callers' requests after the drain timeout of its drain request.
func (a *Agent) DrainOverdue(o Observation, now lease.Instant) bool {
	if !a.outOfService || o.Request == nil || o.Request.DrainTimeoutMS <= 0 || o.InFlight <= 0 {
		return false
	}
	return time.Duration(now-a.leftAt) > time.Duration(o.Request.DrainTimeoutMS)*time.Millisecond
}

// HandleStartResult reports how an ActionStart ended: committed, and as which revision, or not, as far as is
// known. It returns whether the node is to go out of service now: the permit was started and the answer came
// within the window. If not, and the permit turns out to have been started all the same, this process or the
// one before it may not have known in time. The process then stays in service and returns the permit as one
// that came back does.
func (a *Agent) HandleStartResult(committed bool, revision uint64, now lease.Instant) (leave bool) {
	a.HandleWriteResult(committed, revision)
	a.startedLate = !committed || now >= a.startRequestedAt.Add(a.options.Terms.HolderDuration())
	a.mustStay = a.startedLate
	return !a.startedLate
}

// HandleWriteResult reports how another transaction ended: committed, and as which revision, or not, as far
// as is known.
func (a *Agent) HandleWriteResult(committed bool, revision uint64) {
	a.writePending = false
	if committed {
		a.minRevision = max(a.minRevision, revision)
	}
}

// LeftService reports that the process went out of service.
func (a *Agent) LeftService(now lease.Instant) { a.outOfService, a.leftAt = true, now }

// EnteredService reports that the process is in service again.
func (a *Agent) EnteredService() { a.outOfService, a.healthy = false, false }

// HandleReplaceFailure reports that the process could not be replaced.
func (a *Agent) HandleReplaceFailure(reason string) { a.writePending, a.replaceFailure = false, reason }
