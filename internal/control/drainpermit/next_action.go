package drainpermit

import (
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// When a node starts its permit, goes out of service, is replaced, comes back and returns the permit.
//
// Inputs: the node's drain request and permit, its callers' requests in flight, its health, and since when it has been in
// service and healthy.
//
//   - No permit: it is in service.
//   - Granted: it starts the permit if the drain request still wants it out, and returns it otherwise.
//   - Started, by this process: it goes out of service within HolderDuration (package lease) of having asked.
//     Started by the process before it: this one may not go out, because the window may be over, and comes
//     back instead.
//   - Out of service: for a release, once no caller's request is in flight, its process is replaced, at most
//     MaxReplaceAttempts times; then the drain request fails. It enters service once the drain request is gone, or when
//     it runs the release's target version.
//   - Returning: it returns the permit once it has been in service and healthy for MinReady.
//
// Why: the permit is returned last, since from then on another node may go out in its place. An observation
// from before the agent's last write is ignored, and so is everything while a write is pending.

// NextAction returns what the node is to do by what it observes now, or ActionNone.
func (a *Agent) NextAction(o Observation, now lease.Instant) Action {
	a.trackHealth(o.Healthy, now)
	if a.writePending || o.Revision < a.minRevision {
		return Action{}
	}
	if o.Permit == nil {
		return a.withoutPermit()
	}
	wanted := o.Request != nil && o.Request.ID == o.Permit.RequestID && o.Request.FailureReason == ""
	if o.Permit.State == fleetstate.PermitGranted {
		return a.startOrReturn(*o.Permit, wanted, now)
	}
	a.adopt(*o.Permit)
	updated := wanted && o.Request.ReleaseName != "" && o.Request.TargetVersion == a.options.DeployedVersion
	switch {
	case a.outOfService && (!wanted || updated):
		return Action{Kind: ActionEnterService}
	case a.outOfService:
		return a.whileOutOfService(o)
	case wanted && !updated && !a.mustStay && o.Permit.State != fleetstate.PermitReturning:
		return a.leaveOrFail(o)
	}
	return a.returnPermit(o, wanted, now)
}

// trackHealth keeps since when the process has been in service and healthy.
func (a *Agent) trackHealth(healthy bool, now lease.Instant) {
	inService := !a.outOfService && healthy
	if inService && !a.healthy {
		a.healthySince = now
	}
	a.healthy = inService
}

// withoutPermit has a process that is out of service enter it: its permit was deleted by an operator, or the
// store was restored to a state from before it.
func (a *Agent) withoutPermit() Action {
	a.startedLate, a.permitID = false, ""
	if a.outOfService {
		return Action{Kind: ActionEnterService}
	}
	return Action{}
}

// startOrReturn starts a granted permit, or returns it if the drain request no longer wants the node out.
func (a *Agent) startOrReturn(permit fleetstate.Permit, wanted bool, now lease.Instant) Action {
	if !wanted {
		return a.awaitWrite(Action{Kind: ActionReturnPermit, NeverUsed: true})
	}
	permit.State, permit.StartWindowMS = fleetstate.PermitStarted, a.options.Terms.Duration.Milliseconds()
	a.startRequestedAt, a.startedLate, a.mustStay, a.permitID = now, false, false, permit.ID
	return a.awaitWrite(Action{Kind: ActionStart, Permit: permit})
}

// adopt takes over a permit that the process before this one started. That process may have gone out of
// service by it, and this one may not do so now: its window is over.
func (a *Agent) adopt(permit fleetstate.Permit) {
	if a.permitID != permit.ID {
		a.permitID, a.startedLate, a.mustStay = permit.ID, false, permit.State == fleetstate.PermitStarted
	}
}

// leaveOrFail goes out of service, or fails the drain request of a release after too many replacements.
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

// whileOutOfService writes down that the node is out, and replaces the process of a release once no caller's
// request is in flight.
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

// returnPermit writes down that the node is in service again, and returns the permit after MinReady.
func (a *Agent) returnPermit(o Observation, wanted bool, now lease.Instant) Action {
	if o.Permit.State != fleetstate.PermitReturning {
		permit := *o.Permit
		permit.State = fleetstate.PermitReturning
		return a.awaitWrite(Action{Kind: ActionUpdatePermit, Permit: permit})
	}
	if !a.healthy || time.Duration(now-a.healthySince) < a.options.MinReady {
		return Action{}
	}
	return a.awaitWrite(Action{Kind: ActionReturnPermit, RequestDone: wanted && o.Request.ReleaseName != "" && !a.startedLate})
}

// awaitWrite returns an action that is a transaction: nothing else is done until its result is reported.
func (a *Agent) awaitWrite(action Action) Action {
	a.writePending = true
	return action
}
