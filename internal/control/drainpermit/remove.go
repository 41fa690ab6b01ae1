package drainpermit

import (
	"slices"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// When the controller removes a permit.
//
// Inputs: permits and drain requests, halts, the start window (lease.Terms.Duration), and since when this
// controller has observed a permit.
//
//   - A node's permit that is granted and not started is removed if its drain request is gone, replaced by
//     another, failed or halted. It is also removed if it has not been started for a whole start window, and
//     then its drain request moves to the end of the queue.
//   - An upstream server's permit becomes PermitReturning once its drain request is gone or replaced. It is
//     removed once every reporting node has used the server, and found it healthy, for MinReady.
//
// Why: the transactions that remove and that start a permit both require that the permit is unchanged. So only
// one of them is committed, and no clocks are compared. A node returns a started permit itself
// (next_action.go). An upstream server's permit is never started, so the controller returns it.

// decidePermits decides on all existing permits.
func (c *Controller) decidePermits(view fleetstate.View, now lease.Instant, d *Decision) {
	r := permitReview{Controller: c, view: view, now: now, firstSeen: map[string]lease.Instant{}, decision: d}
	for name, permit := range view.Permits {
		switch {
		case fleetstate.IsUpstream(name):
			r.decideUpstream(name, permit)
		case permit.State == fleetstate.PermitGranted:
			r.decideNotStarted(name, permit)
		}
	}
	c.firstSeen = r.firstSeen
}

// permitReview is one pass of a controller over all permits.
type permitReview struct {
	*Controller
	view      fleetstate.View
	now       lease.Instant
	firstSeen map[string]lease.Instant // replaces the controller's, by permit ID
	decision  *Decision
}

// decideNotStarted decides on a node's permit that is granted and not started.
func (r permitReview) decideNotStarted(name string, permit fleetstate.Permit) {
	observedFor := r.observedFor(permit)
	request, requested := r.view.Requests[name]
	switch {
	case !requested || request.ID != permit.RequestID || request.FailureReason != "" || r.view.IsHalted(request):
		r.decision.Remove = append(r.decision.Remove, name)
	case observedFor >= r.Terms.Duration:
		r.decision.Remove = append(r.decision.Remove, name)
		r.decision.Requeue = append(r.decision.Requeue, name)
	}
}

// decideUpstream decides on an upstream server's permit.
func (r permitReview) decideUpstream(name string, permit fleetstate.Permit) {
	request, requested := r.view.Requests[name]
	requestActive := requested && request.ID == permit.RequestID
	switch {
	case permit.State != fleetstate.PermitReturning:
		if !requestActive {
			r.decision.MarkReturning = append(r.decision.MarkReturning, name)
		}
	case r.upstreamInUse(name):
		if r.observedFor(permit) >= r.MinReady {
			r.decision.Remove = append(r.decision.Remove, name)
		}
	}
}

// observedFor returns for how long every pass has found the permit in the same state, either granted and not
// started, or returning with its upstream server in use again. It must be called in each pass that finds the
// permit in that state; a pass without a call restarts the measurement.
func (r permitReview) observedFor(permit fleetstate.Permit) time.Duration {
	first, seen := r.Controller.firstSeen[permit.ID]
	if !seen {
		first = r.now
	}
	r.firstSeen[permit.ID] = first
	return time.Duration(r.now - first)
}

// upstreamInUse reports whether all nodes use an upstream server again. A server that no node reports any more
// counts as in use.
func (r permitReview) upstreamInUse(name string) bool {
	i := slices.IndexFunc(r.view.Members, func(m fleetstate.ObservedMember) bool { return m.Name == name })
	return i < 0 || r.view.Members[i].InUseByAll()
}
