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

// Rule bounds how many members of each group of a kind may be out at once. Exactly one of its bounds is set.
type Rule struct {
	// Group is "fleet" (all nodes), "zone", "kind" or "service" (servers below): there is a group for each value that members have of it.
	Group string `toml:"group" json:"group"`
	// Only narrows the rule to the group of one value; empty: to each.
	Only       string   `toml:"only" json:"only,omitempty"`
	MostOut    *int     `toml:"most_out" json:"most_out,omitempty"`
	OutShare   *float64 `toml:"most_out_share" json:"most_out_share,omitempty"` // of the group's size, rounded down
	LeastIn    *int     `toml:"least_in" json:"least_in,omitempty"`
	LeastShare *float64 `toml:"least_in_share" json:"least_in_share,omitempty"` // rounded up
}

// groups are the kinds of group that a rule may name.
var groups = []string{"fleet", "zone", "kind", "service"}

func (r Rule) check() error {
	set, bad := 0, ""
	for _, n := range []*int{r.MostOut, r.LeastIn} {
		if n != nil {
			if set++; *n < 0 {
				bad = "0 or more is wanted"
			}
		}
	}
	for _, share := range []*float64{r.OutShare, r.LeastShare} {
		if share != nil {
			if set++; !(*share >= 0 && *share <= 1) {
				bad = "a share from 0 to 1 is wanted"
			}
		}
	}
	switch {
	case !slices.Contains(groups, r.Group):
		return fmt.Errorf("group is %q; write one of %s", r.Group, strings.Join(groups, ", "))
	case r.Group == "fleet" && r.Only != "":
		return fmt.Errorf("only is %q, and there is one fleet; leave it out", r.Only)
	case set != 1:
		return fmt.Errorf("%d bounds are set; write one of most_out, most_out_share, least_in, least_in_share", set)
	}
	if bad != "" {
		return errors.New(bad)
	}
	return nil
}

// most is how many of a group of so many may be out.
func (r Rule) most(size int) int {
	const eps = 1e-9 // a share such as 0.1 of 10 is 1
	switch {
	case r.MostOut != nil:
		return *r.MostOut
	case r.OutShare != nil:
		return int(math.Floor(*r.OutShare*float64(size) + eps))
	case r.LeastIn != nil:
		return max(0, size-*r.LeastIn)
	}
	return max(0, size-int(math.Ceil(*r.LeastShare*float64(size)-eps)))
}

// Rules are all of a fleet's. Without any nothing is bounded, and so nothing is permitted: a budget is to be meant.
type Rules []Rule

// Check errs on rules that can't be used, naming all that is wrong.
func (rs Rules) Check() error {
	var errs []error
	if len(rs) > 64 {
		errs = append(errs, fmt.Errorf("%d rules, 64 at most are taken", len(rs)))
	}
	seen := map[[2]string]int{}
	for i, r := range rs {
		if err := r.check(); err != nil {
			errs = append(errs, fmt.Errorf("budget %d: %w", i+1, err))
		}
		if was, twice := seen[[2]string{r.Group, r.Only}]; twice {
			errs = append(errs, fmt.Errorf("budget %d: group %q only %q is bounded by budget %d already", i+1, r.Group, r.Only, was))
		}
		seen[[2]string{r.Group, r.Only}] = i + 1
	}
	return errors.Join(errs...)
}

// Reason is why a node counts as out.
type Reason string

// The reasons. A node that is in has none.
const (
	In       Reason = ""
	Permit   Reason = "permit"    // it holds one: it may be out at any moment
	Draining Reason = "draining"  // it goes by itself: told to leave, or evacuated
	Silent   Reason = "silent"    // it does not report
	NotReady Reason = "not ready" // it says so itself, or that it is not well
	Warming  Reason = "warming"   // it has not been in for long enough
	Unknown  Reason = "unknown"   // what it reports can't be read
)

// Member is one that can be out: a node, or a server of a service below.
type Member struct {
	Name   string
	Labels map[string]string // "zone", "kind", "service": its groups
	Out    Reason
	Since  int64 // Unix milliseconds, as far as is known; for people
}

// Ask is somebody's wish that a member go out.
type Ask struct {
	Member string
	By     string // who asks, for the record
	Urgent bool   // before what is planned
	Order  uint64 // among asks of one urgency: the lowest first
}

// Refusal is why an ask is not granted now.
type Refusal struct {
	Ask   Ask
	Group string // that is in the way: "zone b"
	Most  int    // may be out of it
	Out   []Member
	Why   string // where it is not a group that is in the way
}

func (r Refusal) String() string {
	if r.Why != "" {
		return fmt.Sprintf("%s: %s", r.Ask.Member, r.Why)
	}
	var out []string
	for _, m := range r.Out {
		out = append(out, fmt.Sprintf("%s (%s)", m.Name, m.Out))
	}
	if len(out) == 0 {
		return fmt.Sprintf("%s: of %s %d may be out", r.Ask.Member, r.Group, r.Most)
	}
	return fmt.Sprintf("%s: of %s %d may be out, and there are out: %s", r.Ask.Member, r.Group, r.Most, strings.Join(out, ", "))
}

// Decision is what comes of the asks.
type Decision struct {
	Granted []Ask
	Refused []Refusal
}

// held is one group as it is.
type held struct {
	name    string
	most    int
	out     []*Member
	forced  int  // of them without a permit: nobody knows when they are back
	waited  bool // by one that asked earlier: nobody that asked later may take its place
	members int
}

// fleet is all groups, and those of each member.
type fleet struct {
	members map[string]*Member
	groups  map[string][]*held // of each member
}

func count(rules Rules, members []Member) *fleet {
	f := &fleet{members: map[string]*Member{}, groups: map[string][]*held{}}
	byRule := make([]map[string]*held, len(rules))
	for i := range rules {
		byRule[i] = map[string]*held{}
	}
	for i := range members {
		m := &members[i]
		f.members[m.Name] = m
		for j, r := range rules {
			value := m.Labels[r.Group]
			if r.Group == "fleet" && m.Labels["service"] != "" { // a server below is none of the fleet's nodes
				continue
			}
			if r.Group != "fleet" && (value == "" || r.Only != "" && value != r.Only) {
				continue
			}
			g := byRule[j][value]
			if g == nil {
				g = &held{name: strings.TrimSpace(r.Group + " " + value)}
				byRule[j][value] = g
			}
			g.members++
			if m.Out != In {
				g.out = append(g.out, m)
				if m.Out != Permit {
					g.forced++
				}
			}
			f.groups[m.Name] = append(f.groups[m.Name], g)
		}
	}
	for j, r := range rules {
		for _, g := range byRule[j] {
			g.most = r.most(g.members)
		}
	}
	return f
}

// Decide grants what may be granted now, urgent asks before planned ones and each of them in order: a permit is given only if every
// group of its member still holds after it. Nobody that asked later takes the room that one waits for which only permits keep from it:
// those end, so the one that asked first does not wait for ever. What waits for silent or sick members keeps no room: they may never
// come back, and others would stand still for them.
func Decide(rules Rules, members []Member, asks []Ask) Decision {
	var d Decision
	f := count(rules, slices.Clone(members))
	asks = slices.Clone(asks)
	slices.SortStableFunc(asks, func(a, b Ask) int {
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
			d.Refused = append(d.Refused, Refusal{Ask: a, Why: "no such member has reported"})
			continue
		case len(f.groups[a.Member]) == 0:
			d.Refused = append(d.Refused, Refusal{Ask: a, Why: "no budget bounds a group of it; set one first"})
			continue
		case m.Out == Permit:
			d.Refused = append(d.Refused, Refusal{Ask: a, Why: "it holds a permit already"})
			continue
		}
		var full, waited *held
		ends := true // only permits are in the way
		for _, g := range f.groups[a.Member] {
			after := len(g.out)
			if m.Out == In {
				after++
			}
			if after > g.most {
				if full == nil {
					full = g
				}
				ends = ends && after-len(g.out)+g.forced <= g.most
			} else if g.waited && waited == nil {
				waited = g
			}
		}
		switch {
		case full != nil:
			r := Refusal{Ask: a, Group: full.name, Most: full.most}
			for _, o := range full.out {
				r.Out = append(r.Out, *o)
			}
			d.Refused = append(d.Refused, r)
			if ends {
				for _, g := range f.groups[a.Member] {
					if first || g == full {
						g.waited = true
					}
				}
				first = false
			}
		case waited != nil:
			d.Refused = append(d.Refused, Refusal{Ask: a, Why: fmt.Sprintf("others that asked before it wait for %s", waited.name)})
		default:
			d.Granted = append(d.Granted, a)
			for _, g := range f.groups[a.Member] {
				if m.Out == In {
					g.out = append(g.out, m)
				} else {
					g.forced--
				}
			}
			m.Out = Permit
		}
	}
	return d
}

// Over returns the groups of which more are out than may be, by name.
func Over(rules Rules, members []Member) (over []Refusal) {
	f := count(rules, members)
	seen := map[*held]bool{}
	for _, m := range members {
		for _, g := range f.groups[m.Name] {
			if seen[g] || len(g.out) <= g.most {
				continue
			}
			seen[g] = true
			r := Refusal{Group: g.name, Most: g.most}
			for _, o := range g.out {
				r.Out = append(r.Out, *o)
			}
			over = append(over, r)
		}
	}
	slices.SortFunc(over, func(a, b Refusal) int { return cmp.Compare(a.Group, b.Group) })
	return over
}

// Room is how many more of each group may go out now, by the group's name.
func Room(rules Rules, members []Member) map[string]int {
	room := map[string]int{}
	f := count(rules, members)
	for _, list := range f.groups {
		for _, g := range list {
			room[g.name] = g.most - len(g.out)
		}
	}
	return room
}
