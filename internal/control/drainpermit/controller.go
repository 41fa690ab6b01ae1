package drainpermit

import (
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// Controller decides on the permits of the whole fleet. One process decides at a time, under a lease. Another
// process may take over at any moment: the only state of a controller is when it first observed each permit that
// it may remove. It is not safe for concurrent use.
type Controller struct {
	Terms    lease.Terms   // of the start window
	MinReady time.Duration // for which a node must be in service and healthy before it counts as available

	firstSeen map[string]lease.Instant // by permit ID
}

// Decision holds the changes that a controller makes, by member name. Each list is sorted and becomes
// transactions (Decision.Transactions).
type Decision struct {
	Grant         []string // members whose drain request gets a permit
	Remove        []string // members whose permit ends
	MarkReturning []string // upstream servers whose permit becomes PermitReturning
	Requeue       []string // members whose permit ends and whose drain request moves to the end of the queue
	Expire        []string // members whose drain request expires
	// Rejected are the drain requests that get no permit now, with the reasons.
	Rejected []disruption.Rejection
	// BudgetMembers are the members as they count against the budgets, sorted by name.
	BudgetMembers []disruption.Member
}

// Empty reports whether the decision changes nothing.
func (d Decision) Empty() bool {
	return len(d.Grant)+len(d.Remove)+len(d.MarkReturning)+len(d.Expire) == 0
}

// Decide returns the changes for a view, which a majority must have confirmed. A member whose permit is removed
// still counts as unavailable until the next call, because the removal may not be committed.
func (c *Controller) Decide(view fleetstate.View, now lease.Instant) (d Decision) {
	c.decidePermits(view, now, &d)
	requests := decideRequests(view, &d)
	c.grant(view, requests, &d)
	for _, names := range [][]string{d.Remove, d.MarkReturning, d.Requeue, d.Expire} {
		slices.Sort(names)
	}
	slices.SortFunc(d.Rejected, func(a, b disruption.Rejection) int { return strings.Compare(a.Request.Member, b.Request.Member) })
	return d
}
