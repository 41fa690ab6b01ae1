package drainpermit

import (
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// When a node starts its permit, goes out of service, is replaced, comes back and returns the permit.
//
// Inputs: the node's drain request and permit, its callers' requests in flight, its health, and since when it
// has been in service and healthy. By the state of the permit:
//
//   - No permit: the node is in service.
//   - Granted: the node starts the permit if the drain request still exists, and returns it otherwise.
//   - Started by this process: the node goes out of service within HolderDuration (package lease) of sending
//     the start transaction. Started by the previous process: this process may not go out, because the window
//     may have ended, and marks the permit as returning instead.
//   - Out of service: for a release, the node's process is replaced once no caller's request is in flight, at
//     most MaxReplaceAttempts times; then the drain request fails. The node enters service once the drain
//     request is gone, or when it runs the release's target version.
//   - Returning: the node returns the permit once it has been in service and healthy for MinReady.
//
// Why: the permit is returned last, because from then on another node may go out of service. Observations from
// before the agent's last write are ignored, and so are all observations while a write is pending.

// NextAction returns the node's next action for an observation, or one of kind ActionNone.
func (a *Agent) NextAction(o Observation, now lease.Instant) Action {
	a.trackHealth(o.Healthy, now)
	if a.writePending || o.Revision < a.minRevision {
		return Action{}
	}
	if o.Permit == nil {
		return a.withoutPermit()
	}
	requestActive := o.Request != nil && o.Request.ID == o.Permit.RequestID && o.Request.FailureReason == ""
	if o.Permit.State == fleetstate.PermitGranted {
		return a.startOrReturn(*o.Permit, requestActive, now)
	}
	a.adopt(*o.Permit)
	updated := requestActive && o.Request.ReleaseName != "" && o.Request.TargetVersion == a.options.DeployedVersion
	switch {
	case a.outOfService && (!requestActive || updated):
		return Action{Kind: ActionEnterService}
	case a.outOfService:
		return a.whileOutOfService(o)
	case requestActive && !updated && !a.mustStayInService && o.Permit.State != fleetstate.PermitReturning:
		return a.leaveOrFail(o)
	}
	return a.returnPermit(o, requestActive, now)
}

// trackHealth tracks since when the process has been in service and healthy.
func (a *Agent) trackHealth(healthy bool, now lease.Instant) {
	inService := !a.outOfService && healthy
	if inService && !a.healthy {
		a.healthySince = now
	}
	a.healthy = inService
}

// withoutPermit returns the node to service if it is out of service without a permit: an operator deleted the
// permit, or the store was restored to a state from before the permit.
func (a *Agent) withoutPermit() Action {
	a.startedLate, a.permitID = false, ""
	if a.outOfService {
		return Action{Kind: ActionEnterService}
	}
	return Action{}
}

// startOrReturn starts a granted permit, or returns it unused if its drain request no longer holds.
func (a *Agent) startOrReturn(permit fleetstate.Permit, requestActive bool, now lease.Instant) Action {
	if !requestActive {
		return a.awaitWrite(Action{Kind: ActionReturnPermit, NeverUsed: true})
	}
	permit.State, permit.StartWindowMS = fleetstate.PermitStarted, a.options.Terms.Duration.Milliseconds()
	a.startRequestedAt, a.startedLate, a.mustStayInService, a.permitID = now, false, false, permit.ID
	return a.awaitWrite(Action{Kind: ActionStart, Permit: permit})
}

// adopt takes over a permit that the previous process started. That process may have gone out of service under
// it. This one may not, because the start window may have ended.
func (a *Agent) adopt(permit fleetstate.Permit) {
	if a.permitID != permit.ID {
		a.permitID, a.startedLate, a.mustStayInService = permit.ID, false, permit.State == fleetstate.PermitStarted
	}
}

// leaveOrFail takes the node out of service, or fails a release's drain request after MaxReplaceAttempts.
func (a *Agent) leaveOrFail(o Observation) Action {
	if o.Request.ReleaseName == "" || o.Permit.ReplaceAttempts < a.options.MaxReplaceAttempts {
		return Action{Kind: ActionLeaveService}
	}
	failed := *o.Request
	failed.FailureReason = fmt.Sprintf("replaced %d times and still %q, not %q",
		o.Permit.ReplaceAttempts, a.options.DeployedVersion, o.Request.TargetVersion)
	if a.replaceFailure != "" {
		failed.FailureReason += ": " + a.replaceFailure
	}
	return a.awaitWrite(Action{Kind: ActionFailRequest, Request: failed})
}

// whileOutOfService records in the permit that the node is out of service. For a release, it then replaces the
// process once no caller's request is in flight.
func (a *Agent) whileOutOfService(o Observation) Action {
	permit := *o.Permit
	switch {
	case permit.State != fleetstate.PermitOutOfService:
		permit.State = fleetstate.PermitOutOfService
		return a.awaitWrite(Action{Kind: ActionUpdatePermit, Permit: permit})
	case o.Request.ReleaseName == "" || o.InFlight > 0:
		return Action{}
	case a.replaceFailure != "" && permit.ReplaceAttempts >= a.options.MaxReplaceAttempts:
		return Action{Kind: ActionEnterService}
	}
	permit.ReplaceAttempts++
	return a.awaitWrite(Action{Kind: ActionReplaceProcess, Permit: permit})
}

// returnPermit records in the permit that the node is in service again, and returns the permit after MinReady.
func (a *Agent) returnPermit(o Observation, requestActive bool, now lease.Instant) Action {
	if o.Permit.State != fleetstate.PermitReturning {
		permit := *o.Permit
		permit.State = fleetstate.PermitReturning
		return a.awaitWrite(Action{Kind: ActionUpdatePermit, Permit: permit})
	}
	if !a.healthy || time.Duration(now-a.healthySince) < a.options.MinReady {
		return Action{}
	}
	return a.awaitWrite(Action{Kind: ActionReturnPermit, RequestDone: requestActive && o.Request.ReleaseName != "" && !a.startedLate})
}

// awaitWrite returns an action that is a transaction. NextAction returns no other action until its result is
// reported.
func (a *Agent) awaitWrite(action Action) Action {
	a.writePending = true
	return action
}
