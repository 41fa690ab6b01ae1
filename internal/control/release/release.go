// Package release decides how a release goes through a fleet: a first node alone, then growing waves, zone by zone; who is asked to go out
// next, when a wave has stood for long enough, when it halts by itself, and how it goes back. It has no I/O and no clock. That never too
// many are out at once is not its matter: the nodes that it asks for go out by the fleet's budgets (packages budget and permit).
package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/lease"
)

// Prefix and a release's name is the key of its document.
const Prefix = "release/"

// State is what a release does.
type State string

// The states. Whether it is halted is said by a document of its own (permit.Halts).
const (
	Running State = "running"
	Back    State = "back" // those changed go back to what they were, newest first
	Over    State = "over" // all are changed
	Undone  State = "undone"
)

// Release is a release as the store keeps it.
type Release struct {
	Name   string            `json:"name"`
	To     string            `json:"to"` // what nodes are to report as deployed
	By     string            `json:"by"`
	Why    string            `json:"why"`
	At     int64             `json:"at"`    // Unix milliseconds; for people
	Waves  [][]string        `json:"waves"` // nodes, in the order of going
	From   map[string]string `json:"from"`  // what each reported as deployed before; one that is missing can't go back
	State  State             `json:"state"`
	Wave   int               `json:"wave"`      // that is at work
	SoakMS int64             `json:"soak_ms"`   // for which a wave is watched once all of it is back
	LateMS int64             `json:"late_ms"`   // in which a node should be back, from when it went out
	Within int64             `json:"within_ms"` // in which it should be empty
	Note   string            `json:"note,omitempty"`
}

// Check errs on a release that can't be done, naming what is wrong.
func (r Release) Check() error {
	nodes := map[string]bool{}
	for _, w := range r.Waves {
		for _, n := range w {
			if nodes[n] {
				return fmt.Errorf("node %s is in two waves", n)
			}
			nodes[n] = true
		}
	}
	switch {
	case r.Name == "" || r.Name == drainpermit.All || strings.ContainsAny(r.Name, "/ "):
		return fmt.Errorf("name %q: a word without slashes and spaces is wanted, and not %q", r.Name, drainpermit.All)
	case r.To == "":
		return fmt.Errorf("to what is missing: the release that nodes are to report")
	case len(nodes) == 0:
		return fmt.Errorf("no node is left to change: all report %q", r.To)
	case r.SoakMS < 0 || r.LateMS <= 0:
		return fmt.Errorf("soak and late: times are wanted, the second above 0")
	}
	return nil
}

// Plan lays out waves: by zone, in the order of their names, a first node alone, then in each zone waves that grow by a factor. Nodes that
// report what is wanted already are left out.
func Plan(nodes []drainpermit.Seen, to string, growth float64) (waves [][]string, from map[string]string) {
	from = map[string]string{}
	zones := map[string][]string{}
	for _, n := range nodes {
		if n.Service != "" || n.Report.Release == to && !n.Bad {
			continue
		}
		zones[n.Report.Zone] = append(zones[n.Report.Zone], n.Name)
		if !n.Bad && n.Report.Release != "" {
			from[n.Name] = n.Report.Release
		}
	}
	for i, zone := range slices.Sorted(maps.Keys(zones)) {
		list := zones[zone]
		slices.Sort(list)
		size := 1.0
		if i > 0 {
			size = max(1, growth)
		}
		for len(list) > 0 {
			n := min(len(list), int(size))
			waves = append(waves, list[:n:n])
			list = list[n:]
			size = max(size*growth, size+1)
		}
	}
	return waves, from
}

// Step is what the owner of a release changes: at most one of its parts.
type Step struct {
	Asks []Ask
	Halt string   // why it halts by itself
	Next *Release // as it goes on
}

// Ask is an ask to be written for a node: new, or in the place of one that was not begun.
type Ask struct {
	Node string
	To   string
	Drop bool // the one that is there is to go: the release goes back
}

// Owner is what one process knows that does a release: since when, on its own clock. Another begins to count anew. It is not safe for concurrent
// use.
type Owner struct {
	first lease.Instant // of its looks
	looks bool
	whole lease.Instant // since when all of the wave is back
	is    bool
	wave  int
	out   map[string]lease.Instant // since when a permit is seen to be out, by its id
}

// Next decides by what is seen, confirmed by a majority, and by the judgement of those changed so far.
func (o *Owner) Next(r Release, v drainpermit.View, j canary.Judgement, settle time.Duration, now lease.Instant) Step {
	if v.Halted[drainpermit.All] || v.Halted[r.Name] || r.State != Running && r.State != Back {
		o.is, o.out = false, nil
		return Step{}
	}
	if !o.looks {
		o.first, o.looks = now, true
	}
	seen := map[string]drainpermit.Seen{}
	for _, s := range v.Members {
		seen[s.Name] = s
	}
	if why := o.late(r, v, now); why != "" {
		return Step{Halt: why}
	}
	if r.State == Back {
		return o.back(r, v, seen)
	}
	if j.Worse {
		return Step{Halt: "worse: " + j.Why}
	}
	changed := 0
	for _, w := range r.Waves[:r.Wave+1] {
		for _, n := range w {
			if s := seen[n]; s.Report.Release == r.To {
				if changed++; s.Quiet == disruption.Silent || s.Bad {
					return Step{Halt: fmt.Sprintf("%s runs %s and its figures are unknown", n, r.To)}
				}
			}
		}
	}
	var step Step
	open := 0
	for _, n := range r.Waves[r.Wave] {
		s, known := seen[n]
		a, asked := v.Asks[n]
		_, out := v.Permits[n]
		switch {
		case asked && a.Release == r.Name && a.Failed != "":
			return Step{Halt: fmt.Sprintf("%s: %s", n, a.Failed)}
		case known && s.Report.Release == r.To && !asked && !out:
			if s.Report.Counts(settle) != disruption.In {
				open++
			}
			continue
		case !known && !asked && !out: // it is gone for good: nothing is left to change
			continue
		case !asked && !out:
			step.Asks = append(step.Asks, Ask{Node: n, To: r.To})
		}
		open++
	}
	if len(step.Asks) > 0 {
		if r.Wave == 0 && changed == 0 && time.Duration(now-o.first) < time.Duration(r.SoakMS)*time.Millisecond {
			return Step{} // how all do without it is seen first: there is nothing to compare the first node with otherwise
		}
		return step
	}
	next := r
	if open > 0 {
		o.is = false
		return Step{}
	}
	if !o.is || o.wave != r.Wave {
		o.whole, o.is, o.wave = now, true, r.Wave
	}
	soak := time.Duration(r.SoakMS) * time.Millisecond
	stood := time.Duration(now - o.whole)
	if stood < soak || !j.Sure && stood < 3*soak { // where there is nobody to compare with, it is watched for longer, and said
		return Step{}
	}
	if next.Note = ""; !j.Sure {
		next.Note = fmt.Sprintf("wave %d went without a judgement: %s", r.Wave+1, j.Why)
	}
	if next.Wave++; next.Wave == len(r.Waves) {
		next.Wave, next.State = r.Wave, Over
	}
	o.is = false
	return Step{Next: &next}
}

// late says which node of the release has been out for longer than it may.
func (o *Owner) late(r Release, v drainpermit.View, now lease.Instant) string {
	out := map[string]lease.Instant{}
	late := ""
	for _, n := range slices.Sorted(maps.Keys(v.Permits)) {
		p := v.Permits[n]
		if a := v.Asks[n]; a.Release != r.Name || p.State == drainpermit.Granted {
			continue
		}
		since, known := o.out[p.ID]
		if !known {
			since = now
		}
		out[p.ID] = since
		if late == "" && time.Duration(now-since) > time.Duration(r.LateMS)*time.Millisecond {
			late = fmt.Sprintf("%s is not back %v after it went out (%s)", n, time.Duration(r.LateMS)*time.Millisecond, p.State)
		}
	}
	o.out = out
	return late
}

// back has those that are changed go back, the latest wave first. Asks that were not begun are taken back.
func (o *Owner) back(r Release, v drainpermit.View, seen map[string]drainpermit.Seen) (step Step) {
	for i := len(r.Waves) - 1; i >= 0; i-- {
		open := false
		for _, n := range r.Waves[i] {
			a, asked := v.Asks[n]
			_, out := v.Permits[n]
			from, can := r.From[n]
			switch s := seen[n]; {
			case asked && a.Release == r.Name && a.Failed != "" && a.To != r.To:
				return Step{Halt: fmt.Sprintf("%s: %s", n, a.Failed)}
			case asked && a.Release == r.Name && (a.To == r.To || a.Failed != ""):
				open = true
				step.Asks = append(step.Asks, Ask{Node: n, Drop: true})
			case asked && a.Release == r.Name, out:
				open = true
			case s.Report.Release == r.To && can && !asked:
				open = true
				step.Asks = append(step.Asks, Ask{Node: n, To: from})
			}
		}
		if len(step.Asks) > 0 || open {
			return step
		}
	}
	next := r
	next.State, next.Wave = Undone, 0
	var stay []string
	for _, w := range r.Waves {
		for _, n := range w {
			if _, can := r.From[n]; !can && seen[n].Report.Release == r.To {
				stay = append(stay, n)
			}
		}
	}
	if slices.Sort(stay); len(stay) > 0 {
		next.Note = "can't go back, since nobody knows to what: " + strings.Join(stay, ", ")
	}
	return Step{Next: &next}
}

// Stand is how far a release is.
type Stand struct {
	Name           string
	State          State
	Halted         bool
	Nodes, Changed int // in all, and that run what they are to
	Out, Waiting   int // of its asks: begun, and not
	Wave, Waves    int // that is at work, from 1, and in all
}

// StandOf is how far a release is by what is seen.
func StandOf(r Release, v drainpermit.View) Stand {
	x := Stand{Name: r.Name, State: r.State, Halted: v.Halted[r.Name] || v.Halted[drainpermit.All], Wave: r.Wave + 1, Waves: len(r.Waves)}
	deployed := map[string]string{}
	for _, s := range v.Members {
		deployed[s.Name] = s.Report.Release
	}
	for _, w := range r.Waves {
		for _, n := range w {
			if x.Nodes++; deployed[n] == r.To {
				x.Changed++
			}
			if p, is := v.Permits[n]; is && v.Asks[n].Release == r.Name && p.State != drainpermit.Granted {
				x.Out++
			} else if v.Asks[n].Release == r.Name {
				x.Waiting++
			}
		}
	}
	return x
}

// Progress is how far a release is, for people.
func Progress(r Release, v drainpermit.View) string {
	x := StandOf(r, v)
	line := fmt.Sprintf("%s to %s: %s, wave %d of %d, %d of %d nodes changed, %d out, %d wait", r.Name, r.To, r.State, x.Wave, x.Waves, x.Changed, x.Nodes, x.Out, x.Waiting)
	if x.Halted {
		line += ", HALTED"
	}
	if r.Note != "" {
		line += "; " + r.Note
	}
	return line
}
