package disruption

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Which drain requests are granted. In this package a request is always a drain request.
//
// Inputs: the budgets, the members with their availability, and the requests. Urgent requests are decided
// first, then the others, both by Order. A request is granted if in every group of its member
//
//	unavailable + (1 if the member is available, else 0) <= maxUnavailable
//
// and no earlier request has reserved the group. A rejected request reserves its groups if it is blocked by
// permits alone, that is if in every full group
//
//	involuntary + (1 if the member is available, else 0) <= maxUnavailable
//
// The first such request reserves all groups of its member, later ones only the group that is full.
//
// Why: permits are returned, so a request that waits for them will be granted, and later requests must not
// starve it. A request that waits for silent or unhealthy members reserves nothing: they may never come back,
// and other requests would be blocked with it forever.

// Request is a drain request: it asks for a member to be taken out of service.
type Request struct {
	Member      string
	RequestedBy string // not used for the decision
	Urgent      bool   // decided before requests that are not urgent
	Order       uint64 // position among requests of the same urgency, lowest first
}

// Rejection is the reason why a request is not granted now, or a group that exceeds its budget.
type Rejection struct {
	Request Request
	// Group is the group whose budget blocks the request, for example "zone b". MaxUnavailable is how many of
	// its members may be unavailable, and Unavailable are the members that are.
	Group          string
	MaxUnavailable int
	Unavailable    []Member
	// Reason is set instead of Group if no budget blocks the request.
	Reason string
}

// String formats the rejection for operators.
func (r Rejection) String() string {
	if r.Reason != "" {
		return fmt.Sprintf("%s: %s", r.Request.Member, r.Reason)
	}
	if len(r.Unavailable) == 0 {
		return fmt.Sprintf("%s: the budget of %s allows %d unavailable", r.Request.Member, r.Group, r.MaxUnavailable)
	}
	var unavailable []string
	for _, member := range r.Unavailable {
		unavailable = append(unavailable, fmt.Sprintf("%s (%s)", member.Name, member.Availability))
	}
	return fmt.Sprintf("%s: the budget of %s allows %d unavailable, already unavailable: %s",
		r.Request.Member, r.Group, r.MaxUnavailable, strings.Join(unavailable, ", "))
}

// Decision is the outcome for all requests, in the order in which they were decided.
type Decision struct {
	Granted  []Request
	Rejected []Rejection
}

// Decide returns which requests are granted now. It does not modify its arguments.
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

// decider is the state of one call of Decide. Each granted request counts against the requests after it.
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
	if full, blockedByPermits := firstFull(member, groups); full != nil {
		d.reject(full.rejection(request))
		if blockedByPermits {
			d.reserve(groups, full)
		}
		return
	}
	if i := slices.IndexFunc(groups, func(g *group) bool { return g.reserved }); i >= 0 {
		d.reject(Rejection{Request: request, Reason: fmt.Sprintf("earlier requests wait for the budget of %s", groups[i].name)})
		return
	}
	d.grant(request, member, groups)
}

// ineligible returns why a member cannot be granted a permit whatever the state of its groups, or "". member
// is nil if it is not known.
func ineligible(member *Member, groups []*group) (reason string) {
	switch {
	case member == nil:
		return "no member of this name has reported"
	case len(groups) == 0:
		return "no disruption budget covers it; set one first"
	case member.Availability == HoldsPermit:
		return "it already holds a permit"
	}
	return ""
}

// firstFull returns the first group whose budget does not let the member go out of service, or nil, and whether
// all such groups are blocked by permits alone.
func firstFull(member *Member, groups []*group) (full *group, blockedByPermits bool) {
	added := 0 // unavailable members that a grant adds to each group
	if member.Availability == Available {
		added = 1
	}
	blockedByPermits = true
	for _, g := range groups {
		if len(g.unavailable)+added <= g.maxUnavailable {
			continue
		}
		if full == nil {
			full = g
		}
		blockedByPermits = blockedByPermits && g.involuntary+added <= g.maxUnavailable
	}
	return full, blockedByPermits
}

// reserve blocks later requests in the groups that a rejected request waits for.
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
