package disruption

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Which drain requests (to go out of service) are granted. In this package a request is always a drain request.
//
// Inputs: the budgets, the members with their availability, and the requests. Requests are taken urgent
// first, then by Order. A request is granted if in every group of its member
//
//	unavailable + (1 if the member is available, else 0) <= maxUnavailable
//
// and no earlier request has the group reserved. A rejected request reserves its groups if only permits are
// in its way, that is if in every full group
//
//	involuntary + (1 if the member is available, else 0) <= maxUnavailable
//
// The first such request reserves all groups of its member, later ones only the group that is full.
//
// Why: permits are returned, so a request that waits for them gets its turn, and requests that came later
// must not starve it. A request that waits for silent or unhealthy members reserves nothing: they may never
// come back, and others would wait with it for ever.

// Request is a drain request: it asks that a member go out of service.
type Request struct {
	Member      string
	RequestedBy string // for the record
	Urgent      bool   // goes before requests that are not urgent
	Order       uint64 // position among requests of the same urgency, lowest first
}

// Rejection says why a request is not granted now, or which group exceeds its budget.
type Rejection struct {
	Request Request
	// Group is the group whose budget is in the way, for example "zone b"; MaxUnavailable is how many of its
	// members may be out, and Unavailable are those that are.
	Group          string
	MaxUnavailable int
	Unavailable    []Member
	// Reason is set instead where no group is in the way.
	Reason string
}

// String returns the rejection for operators.
func (r Rejection) String() string {
	if r.Reason != "" {
		return fmt.Sprintf("%s: %s", r.Request.Member, r.Reason)
	}
	if len(r.Unavailable) == 0 {
		return fmt.Sprintf("%s: of %s %d may be out", r.Request.Member, r.Group, r.MaxUnavailable)
	}
	var unavailable []string
	for _, member := range r.Unavailable {
		unavailable = append(unavailable, fmt.Sprintf("%s (%s)", member.Name, member.Availability))
	}
	return fmt.Sprintf("%s: of %s %d may be out, and there are out: %s", r.Request.Member, r.Group, r.MaxUnavailable, strings.Join(unavailable, ", "))
}

// Decision is the outcome for all requests, in the order in which they were decided.
type Decision struct {
	Granted  []Request
	Rejected []Rejection
}

// Decide returns which requests are granted now. It changes none of its arguments.
func Decide(budgets Budgets, members []Member, requests []Request) Decision {
	d := decider{index: indexGroups(budgets, slices.Clone(members))}
	for _, request := range inGrantOrder(requests) {
		d.decide(request)
	}
	return d.decision
}

// inGrantOrder returns the requests sorted urgent first, then by order, then by member name.
func inGrantOrder(requests []Request) []Request {
	sorted := slices.Clone(requests)
	slices.SortStableFunc(sorted, func(a, b Request) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Member, b.Member))
	})
	return sorted
}

// decider is the state of one call of Decide: what is granted counts against the requests that follow.
type decider struct {
	index       *groupIndex
	anyReserved bool // an earlier request has reserved its groups
	decision    Decision
}

func (d *decider) decide(request Request) {
	member := d.index.members[request.Member]
	groups := d.index.groupsOf[request.Member]
	if reason := ineligible(member, groups); reason != "" {
		d.reject(Rejection{Request: request, Reason: reason})
		return
	}
	if full, onlyPermits := firstFull(member, groups); full != nil {
		d.reject(full.rejection(request))
		if onlyPermits {
			d.reserve(groups, full)
		}
		return
	}
	if i := slices.IndexFunc(groups, func(g *group) bool { return g.reserved }); i >= 0 {
		d.reject(Rejection{Request: request, Reason: fmt.Sprintf("others that asked before it wait for %s", groups[i].name)})
		return
	}
	d.grant(request, member, groups)
}

// ineligible says why a member could not be granted anything, whatever its groups are like. member is nil if
// it is not known.
func ineligible(member *Member, groups []*group) (reason string) {
	switch {
	case member == nil:
		return "no such member has reported"
	case len(groups) == 0:
		return "no budget bounds a group of it; set one first"
	case member.Availability == HoldsPermit:
		return "it holds a permit already"
	}
	return ""
}

// firstFull returns the first group that has no room for the member to go out, or nil, and whether only
// permits are in the way in all of those that have none.
func firstFull(member *Member, groups []*group) (full *group, onlyPermits bool) {
	added := 0 // to the unavailable members of each group
	if member.Availability == Available {
		added = 1
	}
	onlyPermits = true
	for _, g := range groups {
		if len(g.unavailable)+added <= g.maxUnavailable {
			continue
		}
		if full == nil {
			full = g
		}
		onlyPermits = onlyPermits && g.involuntary+added <= g.maxUnavailable
	}
	return full, onlyPermits
}

// reserve keeps later requests from the groups that a rejected request waits for.
func (d *decider) reserve(groups []*group, full *group) {
	for _, g := range groups {
		if !d.anyReserved || g == full {
			g.reserved = true
		}
	}
	d.anyReserved = true
}

func (d *decider) grant(request Request, member *Member, groups []*group) {
	d.decision.Granted = append(d.decision.Granted, request)
	for _, g := range groups {
		if member.Availability == Available {
			g.unavailable = append(g.unavailable, member)
		} else {
			g.involuntary--
		}
	}
	member.Availability = HoldsPermit
}

func (d *decider) reject(rejection Rejection) {
	d.decision.Rejected = append(d.decision.Rejected, rejection)
}
