// Package disruption decides who may go out of service by choice: how many nodes of a group may be out at once, who counts as out, and
// who is next. It has no I/O and no clock. What is known of the nodes and who asks goes in; permits, and for each refusal the
// group, who is out and since when, come out.
//
// What is not known to be in counts as out: silence and sickness use a budget up, and never give it back.
package disruption

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Budget bounds how many members of each group of a kind may be out at once. Exactly one of its bounds is set.
type Budget struct {
	// Scope is "fleet" (all nodes), "zone", "kind" or "service" (servers below): there is a group for each value that members have of it.
	Scope string `toml:"group" json:"group"`
	// ScopeValue narrows the rule to the group of one value; empty: to each.
	ScopeValue             string   `toml:"only" json:"only,omitempty"`
	MaxUnavailable         *int     `toml:"most_out" json:"most_out,omitempty"`
	MaxUnavailableFraction *float64 `toml:"most_out_share" json:"most_out_share,omitempty"` // of the group's size, rounded down
	MinAvailable           *int     `toml:"least_in" json:"least_in,omitempty"`
	MinAvailableFraction   *float64 `toml:"least_in_share" json:"least_in_share,omitempty"` // rounded up
}

// scopes are the kinds of group that a rule may name.
var scopes = []string{"fleet", "zone", "kind", "service"}

func (r Budget) validate() error {
	set, bad := 0, ""
	for _, n := range []*int{r.MaxUnavailable, r.MinAvailable} {
		if n != nil {
			if set++; *n < 0 {
				bad = "0 or more is wanted"
			}
		}
	}
	for _, share := range []*float64{r.MaxUnavailableFraction, r.MinAvailableFraction} {
		if share != nil {
			if set++; !(*share >= 0 && *share <= 1) {
				bad = "a share from 0 to 1 is wanted"
			}
		}
	}
	switch {
	case !slices.Contains(scopes, r.Scope):
		return fmt.Errorf("group is %q; write one of %s", r.Scope, strings.Join(scopes, ", "))
	case r.Scope == "fleet" && r.ScopeValue != "":
		return fmt.Errorf("only is %q, and there is one fleet; leave it out", r.ScopeValue)
	case set != 1:
		return fmt.Errorf("%d bounds are set; write one of most_out, most_out_share, least_in, least_in_share", set)
	}
	if bad != "" {
		return errors.New(bad)
	}
	return nil
}

// allowedUnavailable is how many of a group of so many may be out.
func (r Budget) allowedUnavailable(size int) int {
	const eps = 1e-9 // a share such as 0.1 of 10 is 1
	switch {
	case r.MaxUnavailable != nil:
		return *r.MaxUnavailable
	case r.MaxUnavailableFraction != nil:
		return int(math.Floor(*r.MaxUnavailableFraction*float64(size) + eps))
	case r.MinAvailable != nil:
		return max(0, size-*r.MinAvailable)
	}
	return max(0, size-int(math.Ceil(*r.MinAvailableFraction*float64(size)-eps)))
}

// Budgets are all of a fleet's. Without any nothing is bounded, and so nothing is permitted: a budget is to be meant.
type Budgets []Budget

// Validate errs on rules that can't be used, naming all that is wrong.
func (rs Budgets) Validate() error {
	var errs []error
	if len(rs) > 64 {
		errs = append(errs, fmt.Errorf("%d rules, 64 at most are taken", len(rs)))
	}
	seen := map[[2]string]int{}
	for i, r := range rs {
		if err := r.validate(); err != nil {
			errs = append(errs, fmt.Errorf("budget %d: %w", i+1, err))
		}
		if was, twice := seen[[2]string{r.Scope, r.ScopeValue}]; twice {
			errs = append(errs, fmt.Errorf("budget %d: group %q only %q is bounded by budget %d already", i+1, r.Scope, r.ScopeValue, was))
		}
		seen[[2]string{r.Scope, r.ScopeValue}] = i + 1
	}
	return errors.Join(errs...)
}

// Availability is why a node counts as out.
type Availability string

// The reasons. A node that is in has none.
const (
	Available   Availability = ""
	HoldsPermit Availability = "permit"    // it holds one: it may be out at any moment
	Draining    Availability = "draining"  // it goes by itself: told to leave, or evacuated
	Silent      Availability = "silent"    // it does not report
	NotReady    Availability = "not ready" // it says so itself, or that it is not well
	WarmingUp   Availability = "warming"   // it has not been in for long enough
	Unknown     Availability = "unknown"   // what it reports can't be read
)

// Member is one that can be out: a node, or a server of a service below.
type Member struct {
	Name         string
	Labels       map[string]string // "zone", "kind", "service": its groups
	Availability Availability
	SinceMS      int64 // Unix milliseconds, as far as is known; for people
}

// Request is somebody's wish that a member go out.
type Request struct {
	Member      string
	RequestedBy string // who asks, for the record
	Urgent      bool   // before what is planned
	Order       uint64 // among asks of one urgency: the lowest first
}

// Rejection is why an ask is not granted now.
type Rejection struct {
	Request        Request
	Group          string // that is in the way: "zone b"
	MaxUnavailable int    // may be out of it
	Unavailable    []Member
	Reason         string // where it is not a group that is in the way
}

func (r Rejection) String() string {
	if r.Reason != "" {
		return fmt.Sprintf("%s: %s", r.Request.Member, r.Reason)
	}
	var out []string
	for _, m := range r.Unavailable {
		out = append(out, fmt.Sprintf("%s (%s)", m.Name, m.Availability))
	}
	if len(out) == 0 {
		return fmt.Sprintf("%s: of %s %d may be out", r.Request.Member, r.Group, r.MaxUnavailable)
	}
	return fmt.Sprintf("%s: of %s %d may be out, and there are out: %s", r.Request.Member, r.Group, r.MaxUnavailable, strings.Join(out, ", "))
}

// Decision is what comes of the asks.
type Decision struct {
	Granted  []Request
	Rejected []Rejection
}

// group is one group as it is.
type group struct {
	name           string
	maxUnavailable int
	unavailable    []*Member
	involuntary    int  // of them without a permit: nobody knows when they are back
	reserved       bool // by one that asked earlier: nobody that asked later may take its place
	size           int
}

// groupIndex is all groups, and those of each member.
type groupIndex struct {
	members  map[string]*Member
	groupsOf map[string][]*group // of each member
}

func indexGroups(rules Budgets, members []Member) *groupIndex {
	f := &groupIndex{members: map[string]*Member{}, groupsOf: map[string][]*group{}}
	byRule := make([]map[string]*group, len(rules))
	for i := range rules {
		byRule[i] = map[string]*group{}
	}
	for i := range members {
		m := &members[i]
		f.members[m.Name] = m
		for j, r := range rules {
			value := m.Labels[r.Scope]
			if r.Scope == "fleet" && m.Labels["service"] != "" { // a server below is none of the fleet's nodes
				continue
			}
			if r.Scope != "fleet" && (value == "" || r.ScopeValue != "" && value != r.ScopeValue) {
				continue
			}
			g := byRule[j][value]
			if g == nil {
				g = &group{name: strings.TrimSpace(r.Scope + " " + value)}
				byRule[j][value] = g
			}
			g.size++
			if m.Availability != Available {
				g.unavailable = append(g.unavailable, m)
				if m.Availability != HoldsPermit {
					g.involuntary++
				}
			}
			f.groupsOf[m.Name] = append(f.groupsOf[m.Name], g)
		}
	}
	for j, r := range rules {
		for _, g := range byRule[j] {
			g.maxUnavailable = r.allowedUnavailable(g.size)
		}
	}
	return f
}

// Decide grants what may be granted now, urgent asks before planned ones and each of them in order: a permit is given only if every
// group of its member still holds after it. Nobody that asked later takes the room that one waits for which only permits keep from it:
// those end, so the one that asked first does not wait for ever. What waits for silent or sick members keeps no room: they may never
// come back, and others would stand still for them.
func Decide(rules Budgets, members []Member, asks []Request) Decision {
	var d Decision
	f := indexGroups(rules, slices.Clone(members))
	asks = slices.Clone(asks)
	slices.SortStableFunc(asks, func(a, b Request) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Member, b.Member))
	})
	first := true
	for _, a := range asks {
		m, known := f.members[a.Member]
		switch {
		case !known:
			d.Rejected = append(d.Rejected, Rejection{Request: a, Reason: "no such member has reported"})
			continue
		case len(f.groupsOf[a.Member]) == 0:
			d.Rejected = append(d.Rejected, Rejection{Request: a, Reason: "no budget bounds a group of it; set one first"})
			continue
		case m.Availability == HoldsPermit:
			d.Rejected = append(d.Rejected, Rejection{Request: a, Reason: "it holds a permit already"})
			continue
		}
		var full, waited *group
		ends := true // only permits are in the way
		for _, g := range f.groupsOf[a.Member] {
			after := len(g.unavailable)
			if m.Availability == Available {
				after++
			}
			if after > g.maxUnavailable {
				if full == nil {
					full = g
				}
				ends = ends && after-len(g.unavailable)+g.involuntary <= g.maxUnavailable
			} else if g.reserved && waited == nil {
				waited = g
			}
		}
		switch {
		case full != nil:
			r := Rejection{Request: a, Group: full.name, MaxUnavailable: full.maxUnavailable}
			for _, o := range full.unavailable {
				r.Unavailable = append(r.Unavailable, *o)
			}
			d.Rejected = append(d.Rejected, r)
			if ends {
				for _, g := range f.groupsOf[a.Member] {
					if first || g == full {
						g.reserved = true
					}
				}
				first = false
			}
		case waited != nil:
			d.Rejected = append(d.Rejected, Rejection{Request: a, Reason: fmt.Sprintf("others that asked before it wait for %s", waited.name)})
		default:
			d.Granted = append(d.Granted, a)
			for _, g := range f.groupsOf[a.Member] {
				if m.Availability == Available {
					g.unavailable = append(g.unavailable, m)
				} else {
					g.involuntary--
				}
			}
			m.Availability = HoldsPermit
		}
	}
	return d
}

// Exceeded returns the groups of which more are out than may be, by name.
func Exceeded(rules Budgets, members []Member) (over []Rejection) {
	f := indexGroups(rules, members)
	seen := map[*group]bool{}
	for _, m := range members {
		for _, g := range f.groupsOf[m.Name] {
			if seen[g] || len(g.unavailable) <= g.maxUnavailable {
				continue
			}
			seen[g] = true
			r := Rejection{Group: g.name, MaxUnavailable: g.maxUnavailable}
			for _, o := range g.unavailable {
				r.Unavailable = append(r.Unavailable, *o)
			}
			over = append(over, r)
		}
	}
	slices.SortFunc(over, func(a, b Rejection) int { return cmp.Compare(a.Group, b.Group) })
	return over
}

// Headroom is how many more of each group may go out now, by the group's name.
func Headroom(rules Budgets, members []Member) map[string]int {
	room := map[string]int{}
	f := indexGroups(rules, members)
	for _, list := range f.groupsOf {
		for _, g := range list {
			room[g.name] = g.maxUnavailable - len(g.unavailable)
		}
	}
	return room
}
