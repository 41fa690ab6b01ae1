package drainpermit

import (
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// Observation is the input of NextAction: the documents that the node read from the store, which may be stale,
// and the node's own condition.
type Observation struct {
	Request        *fleetstate.DrainRequest // the node's drain request; nil if there is none
	RequestVersion uint64
	Permit         *fleetstate.Permit // nil if there is none
	PermitVersion  uint64
	Revision       uint64 // of the store at which the documents were read
	InFlight       int    // callers' requests, running and queued
	Healthy        bool   // the node is ready and healthy, apart from being out of service
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of action. ActionStart, ActionUpdatePermit, ActionReplaceProcess, ActionReturnPermit and
// ActionFailRequest are transactions, which must be committed only if the drain request and the permit have the
// observed versions (StartTransaction, ActionTransaction).
const (
	ActionNone           ActionKind = iota
	ActionStart                     // commit the permit as started; report HandleStartResult
	ActionLeaveService              // go out of service now; report LeftService
	ActionEnterService              // go into service now; report EnteredService
	ActionUpdatePermit              // write the permit's new state; report HandleWriteResult
	ActionReplaceProcess            // write the permit, then replace the process; report HandleReplaceFailure if that fails
	ActionReturnPermit              // delete the permit, and the drain request if RequestDone; report HandleWriteResult
	ActionFailRequest               // write the drain request as failed; report HandleWriteResult
)

// Action is the next step that a node must carry out.
type Action struct {
	Kind        ActionKind
	Permit      fleetstate.Permit       // the permit to write
	Request     fleetstate.DrainRequest // ActionFailRequest: the drain request to write
	RequestDone bool                    // ActionReturnPermit: the drain request is done and must be deleted
	NeverUsed   bool                    // ActionReturnPermit: the node did not go out of service under the permit
}

// AgentOptions describe the node of an Agent.
type AgentOptions struct {
	DeployedVersion    string
	Terms              lease.Terms   // of the start window
	MinReady           time.Duration // for which the node must be in service and healthy before it returns the permit
	MaxReplaceAttempts int           // after which a release's drain request fails
}

// Agent decides what one process of a node does with the node's permits. Its driver carries out the actions
// that NextAction returns and reports the results. It is not safe for concurrent use.
type Agent struct {
	options       AgentOptions
	outOfService  bool // under a permit
	leftServiceAt lease.Instant

	writePending bool
	minRevision  uint64 // revision of the agent's last write; older observations are ignored

	startRequestedAt  lease.Instant
	permitID          string // of the permit that this process started, or adopted from the previous process
	mustStayInService bool   // this process may not go out under the permit: an earlier process started it, or its start was late
	startedLate       bool   // the start of the permit was confirmed too late, or not at all

	healthy        bool // in service and healthy
	healthySince   lease.Instant
	replaceFailure string // why the last replacement failed
}

// NewAgent returns the agent of a process that has just started and is in service.
func NewAgent(options AgentOptions) *Agent { return &Agent{options: options} }

// OutOfService reports whether the process is out of service under a permit.
func (a *Agent) OutOfService() bool { return a.outOfService }

// DrainOverdue reports whether the node still has callers' requests after the drain timeout of its drain request.
func (a *Agent) DrainOverdue(o Observation, now lease.Instant) bool {
	if !a.outOfService || o.Request == nil || o.Request.DrainTimeoutMS <= 0 || o.InFlight <= 0 {
		return false
	}
	return time.Duration(now-a.leftServiceAt) > time.Duration(o.Request.DrainTimeoutMS)*time.Millisecond
}

// HandleStartResult records the result of an ActionStart: whether it is known to be committed, and at which
// revision. It returns whether the node must go out of service now, that is whether the permit was started and
// the answer arrived within the start window. Otherwise the permit may still turn out to have been started: by
// this process, if its transaction was committed but the answer was late or lost, or by the previous one. The
// process then stays in service, and returns the permit in the same way as a node that has come back into service.
func (a *Agent) HandleStartResult(committed bool, revision uint64, now lease.Instant) (leave bool) {
	a.HandleWriteResult(committed, revision)
	a.startedLate = !committed || now >= a.startRequestedAt.Add(a.options.Terms.HolderDuration())
	a.mustStayInService = a.startedLate
	return !a.startedLate
}

// HandleWriteResult records the result of any other transaction: whether it is known to be committed, and at
// which revision.
func (a *Agent) HandleWriteResult(committed bool, revision uint64) {
	a.writePending = false
	if committed {
		a.minRevision = max(a.minRevision, revision)
	}
}

// LeftService records that the process went out of service.
func (a *Agent) LeftService(now lease.Instant) { a.outOfService, a.leftServiceAt = true, now }

// EnteredService records that the process is in service again.
func (a *Agent) EnteredService() { a.outOfService, a.healthy = false, false }

// HandleReplaceFailure records that the process could not be replaced.
func (a *Agent) HandleReplaceFailure(reason string) { a.writePending, a.replaceFailure = false, reason }
