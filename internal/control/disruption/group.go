package disruption

import (
	"cmp"
	"slices"
	"strings"
)

// Which members count as unavailable, and in which groups.
//
// Inputs: the budgets, and each member's labels and Availability. A member belongs to the group "fleet" if it
// is a node, and to one group of each other scope for which it has a label. It counts as unavailable in all
// of its groups unless its Availability is Available, so a member that is not known to be in service counts
// against the budget. A member that is unavailable without a permit counts as involuntary: it is not known
// when it will be back.

// Availability is whether a member is in service, and if it is not, why it counts as unavailable. Its text is
// shown to operators.
type Availability string

// Availabilities of a member.
const (
	Available   Availability = ""
	HoldsPermit Availability = "permit"    // may be out of service at any moment
	Draining    Availability = "draining"  // out of service without a permit: shut down or evacuated
	Silent      Availability = "silent"    // does not report (failure detector)
	NotReady    Availability = "not ready" // reports that it is not ready or not healthy
	WarmingUp   Availability = "warming"   // has been in service for less than the minimum ready time
	Unknown     Availability = "unknown"   // its report cannot be read, or it has not been observed for long enough
)

// Member is a node or an upstream server.
type Member struct {
	Name string
	// Labels are the member's groups by scope: "zone", "kind", "service".
	Labels       map[string]string
	Availability Availability
	// SinceMS is when the member became unavailable, Unix milliseconds, if known; for display only.
	SinceMS int64
}

// group is a set of members that one budget bounds together.
type group struct {
	name           string
	size           int // members
	maxUnavailable int // members
	unavailable    []*Member
	// involuntary is how many of the unavailable members hold no permit.
	involuntary int
	// reserved is set if an earlier request waits for this group, so that later requests may not use its headroom.
	reserved bool
}

// headroom returns how many more members may become unavailable. It is negative if the budget is exceeded.
func (g *group) headroom() int { return g.maxUnavailable - len(g.unavailable) }

// rejection describes the group as the reason for a rejection.
func (g *group) rejection(request Request) Rejection {
	rejection := Rejection{Request: request, Group: g.name, MaxUnavailable: g.maxUnavailable}
	for _, member := range g.unavailable {
		rejection.Unavailable = append(rejection.Unavailable, *member)
	}
	return rejection
}

// groupIndex is all members and groups.
type groupIndex struct {
	members  map[string]*Member  // by name
	groupsOf map[string][]*group // by member name, in the order of the budgets
}

// indexGroups assigns the members to the groups of the budgets. The index keeps pointers into members.
func indexGroups(budgets Budgets, members []Member) *groupIndex {
	index := &groupIndex{members: map[string]*Member{}, groupsOf: map[string][]*group{}}
	groupsByBudget := make([]map[string]*group, len(budgets)) // by label value
	for i := range budgets {
		groupsByBudget[i] = map[string]*group{}
	}
	for i := range members {
		member := &members[i]
		index.members[member.Name] = member
		for j, budget := range budgets {
			value, covered := budget.covers(member)
			if !covered {
				continue
			}
			g := groupsByBudget[j][value]
			if g == nil {
				g = &group{name: strings.TrimSpace(budget.Scope + " " + value)}
				groupsByBudget[j][value] = g
			}
			g.add(member)
			index.groupsOf[member.Name] = append(index.groupsOf[member.Name], g)
		}
	}
	for j, budget := range budgets {
		for _, g := range groupsByBudget[j] {
			g.maxUnavailable = budget.allowedUnavailable(g.size)
		}
	}
	return index
}

// covers reports whether the budget bounds the member, and returns the label value of the member's group.
func (b Budget) covers(member *Member) (value string, covered bool) {
	value = member.Labels[b.Scope]
	if b.Scope == scopeFleet {
		return value, member.Labels[scopeService] == "" // upstream servers are not nodes of the fleet
	}
	return value, value != "" && (b.ScopeValue == "" || value == b.ScopeValue)
}

func (g *group) add(member *Member) {
	g.size++
	if member.Availability == Available {
		return
	}
	g.unavailable = append(g.unavailable, member)
	if member.Availability != HoldsPermit {
		g.involuntary++
	}
}

// Exceeded returns the groups with more unavailable members than their budget allows, sorted by name.
func Exceeded(budgets Budgets, members []Member) (exceeded []Rejection) {
	index := indexGroups(budgets, members)
	visited := map[*group]bool{}
	for _, member := range members {
		for _, g := range index.groupsOf[member.Name] {
			if visited[g] || g.headroom() >= 0 {
				continue
			}
			visited[g] = true
			exceeded = append(exceeded, g.rejection(Request{}))
		}
	}
	slices.SortFunc(exceeded, func(a, b Rejection) int { return cmp.Compare(a.Group, b.Group) })
	return exceeded
}

// Headroom returns, by group name, how many more members may become unavailable now. It is negative for a
// group that exceeds its budget.
func Headroom(budgets Budgets, members []Member) map[string]int {
	headroom := map[string]int{}
	for _, groups := range indexGroups(budgets, members).groupsOf {
		for _, g := range groups {
			headroom[g.name] = g.headroom()
		}
	}
	return headroom
}
