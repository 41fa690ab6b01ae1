package drainpermit

import (
	"slices"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// When the controller removes a permit.
//
// Inputs: permits and requests, halts, the start window (lease.Terms.Duration), and since when this controller has seen a permit.
//
//   - A node's permit that is granted and not started is removed if its request is gone, replaced by another, failed or halted; and
//     if it has not been started for a whole start window. In that last case its request goes to the end of the queue.
//   - An upstream server's permit becomes PermitReturning once its request is gone or replaced, and is removed once every
//     node that reports has used the server, and found it healthy, for MinReady.
//
// Why: the transaction that removes a permit is made only if the permit is unchanged, and so is the one that starts it. Only one of
// them is committed, and no clocks are compared. A node returns a started permit itself (next_action.go). Nobody starts an upstream
// server's permit, so the controller returns it.

// decidePermits decides on all permits that exist.
func (c *Controller) decidePermits(view fleetstate.View, now lease.Instant, d *Decision) {
	firstSeen := map[string]lease.Instant{}
	for name, permit := range view.Permits {
		switch {
		case fleetstate.IsUpstream(name):
			c.decideUpstream(view, name, permit, now, firstSeen, d)
		case permit.State == fleetstate.PermitGranted:
			c.decideNotStarted(view, name, permit, now, firstSeen, d)
		}
	}
	c.firstSeen = firstSeen
}

// decideNotStarted decides on a node's permit that is granted and not started.
func (c *Controller) decideNotStarted(view fleetstate.View, name string, permit fleetstate.Permit, now lease.Instant, firstSeen map[string]lease.Instant, d *Decision) {
	first := c.seenSince(permit, now)
	firstSeen[permit.ID] = first
	request, requested := view.Requests[name]
	switch {
	case !requested || request.ID != permit.RequestID || request.FailureReason != "" || view.IsHalted(request):
		d.Remove = append(d.Remove, name)
	case time.Duration(now-first) >= c.Terms.Duration:
		d.Remove = append(d.Remove, name)
		d.Requeue = append(d.Requeue, name)
	}
}

// decideUpstream decides on an upstream server's permit.
func (c *Controller) decideUpstream(view fleetstate.View, name string, permit fleetstate.Permit, now lease.Instant, firstSeen map[string]lease.Instant, d *Decision) {
	request, requested := view.Requests[name]
	wanted := requested && request.ID == permit.RequestID
	switch {
	case permit.State != fleetstate.PermitReturning:
		if !wanted {
			d.MarkReturning = append(d.MarkReturning, name)
		}
	case upstreamInUse(view, name):
		first := c.seenSince(permit, now)
		firstSeen[permit.ID] = first
		if time.Duration(now-first) >= c.MinReady {
			d.Remove = append(d.Remove, name)
		}
	}
}

// seenSince returns since when the condition to remove a permit has been seen without a break.
func (c *Controller) seenSince(permit fleetstate.Permit, now lease.Instant) lease.Instant {
	if first, seen := c.firstSeen[permit.ID]; seen {
		return first
	}
	return now
}

// upstreamInUse says whether all nodes use an upstream server again; one that no node reports any more counts as used.
func upstreamInUse(view fleetstate.View, name string) bool {
	i := slices.IndexFunc(view.Members, func(m fleetstate.ObservedMember) bool { return m.Name == name })
	return i < 0 || view.Members[i].InUseByAll()
}
