package drainpermit

import (
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// Controller decides on the permits of the whole fleet. One process decides at a time, under a lease; another
// may take over at any moment, since all that a controller remembers is since when it has seen what it would
// remove. It is not safe for concurrent use.
type Controller struct {
	Terms    lease.Terms   // of the start window
	MinReady time.Duration // for which a node is to be in service and healthy before it counts as available

	firstSeen map[string]lease.Instant // by permit ID
}

// Decision is what a controller changes, by member name. Each list is sorted and becomes transactions
// (Decision.Transactions).
type Decision struct {
	Grant         []string // members whose drain request gets a permit
	Remove        []string // members whose permit ends
	MarkReturning []string // upstream servers whose permit becomes PermitReturning
	Requeue       []string // members whose permit ends and whose drain request goes to the end of the queue
	Expire        []string // members whose drain request expires
	// Rejected says why other drain requests get no permit now.
	Rejected []disruption.Rejection
	// BudgetMembers are the members as the budgets counted them, sorted by name.
	BudgetMembers []disruption.Member
}

// Empty says whether nothing is to be changed.
func (d Decision) Empty() bool {
	return len(d.Grant)+len(d.Remove)+len(d.MarkReturning)+len(d.Expire) == 0
}

// Decide returns what is to be changed by a view, which a majority must have confirmed. What is removed
// counts as out until the next call: its removal may not commit.
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
