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

// KeyPrefix and a release's name is the key of its document.
const KeyPrefix = "release/"

// State is what a release does.
type State string

// The states. Whether it is halted is said by a document of its own (permit.Halts).
const (
	Running     State = "running"
	RollingBack State = "back" // those changed go back to what they were, newest first
	Completed   State = "over" // all are changed
	RolledBack  State = "undone"
)

// Release is a release as the store keeps it.
type Release struct {
	Name             string            `json:"name"`
	TargetVersion    string            `json:"to"` // what nodes are to report as deployed
	RequestedBy      string            `json:"by"`
	Reason           string            `json:"why"`
	RequestedAtMS    int64             `json:"at"`    // Unix milliseconds; for people
	Waves            [][]string        `json:"waves"` // nodes, in the order of going
	PreviousVersions map[string]string `json:"from"`  // what each reported as deployed before; one that is missing can't go back
	State            State             `json:"state"`
	CurrentWave      int               `json:"wave"`      // that is at work
	SoakMS           int64             `json:"soak_ms"`   // for which a wave is watched once all of it is back
	ReturnTimeoutMS  int64             `json:"late_ms"`   // in which a node should be back, from when it went out
	DrainTimeoutMS   int64             `json:"within_ms"` // in which it should be empty
	Note             string            `json:"note,omitempty"`
}

// Validate errs on a release that can't be done, naming what is wrong.
func (r Release) Validate() error {
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
	case r.Name == "" || r.Name == drainpermit.HaltAll || strings.ContainsAny(r.Name, "/ "):
		return fmt.Errorf("name %q: a word without slashes and spaces is wanted, and not %q", r.Name, drainpermit.HaltAll)
	case r.TargetVersion == "":
		return fmt.Errorf("to what is missing: the release that nodes are to report")
	case len(nodes) == 0:
		return fmt.Errorf("no node is left to change: all report %q", r.TargetVersion)
	case r.SoakMS < 0 || r.ReturnTimeoutMS <= 0:
		return fmt.Errorf("soak and late: times are wanted, the second above 0")
	}
	return nil
}

// PlanWaves lays out waves: by zone, in the order of their names, a first node alone, then in each zone waves that grow by a factor. Nodes that
// report what is wanted already are left out.
func PlanWaves(nodes []drainpermit.ObservedMember, to string, growth float64) (waves [][]string, from map[string]string) {
	from = map[string]string{}
	zones := map[string][]string{}
	for _, n := range nodes {
		if n.Service != "" || n.Report.DeployedVersion == to && !n.Unreadable {
			continue
		}
		zones[n.Report.Zone] = append(zones[n.Report.Zone], n.Name)
		if !n.Unreadable && n.Report.DeployedVersion != "" {
			from[n.Name] = n.Report.DeployedVersion
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

// Decision is what the owner of a release changes: at most one of its parts.
type Decision struct {
	Requests   []NodeRequest
	HaltReason string   // why it halts by itself
	Updated    *Release // as it goes on
}

// NodeRequest is an ask to be written for a node: new, or in the place of one that was not begun.
type NodeRequest struct {
	Node          string
	TargetVersion string
	Withdraw      bool // the one that is there is to go: the release goes back
}

// Controller is what one process knows that does a release: since when, on its own clock. Another begins to count anew. It is not safe for concurrent
// use.
type Controller struct {
	watchingSince  lease.Instant // of its looks
	watching       bool
	waveReadySince lease.Instant // since when all of the wave is back
	waveReady      bool
	readyWave      int
	outSince       map[string]lease.Instant // since when a permit is seen to be out, by its id
}

// Decide decides by what is seen, confirmed by a majority, and by the judgement of those changed so far.
func (o *Controller) Decide(r Release, v drainpermit.View, j canary.Verdict, settle time.Duration, now lease.Instant) Decision {
	if v.Halted[drainpermit.HaltAll] || v.Halted[r.Name] || r.State != Running && r.State != RollingBack {
		o.waveReady, o.outSince = false, nil
		return Decision{}
	}
	if !o.watching {
		o.watchingSince, o.watching = now, true
	}
	seen := map[string]drainpermit.ObservedMember{}
	for _, s := range v.Members {
		seen[s.Name] = s
	}
	if why := o.overdueNode(r, v, now); why != "" {
		return Decision{HaltReason: why}
	}
	if r.State == RollingBack {
		return o.rollBack(r, v, seen)
	}
	if j.Worse {
		return Decision{HaltReason: "worse: " + j.Reason}
	}
	changed := 0
	for _, w := range r.Waves[:r.CurrentWave+1] {
		for _, n := range w {
			if s := seen[n]; s.Report.DeployedVersion == r.TargetVersion {
				if changed++; s.Liveness == disruption.Silent || s.Unreadable {
					return Decision{HaltReason: fmt.Sprintf("%s runs %s and its figures are unknown", n, r.TargetVersion)}
				}
			}
		}
	}
	var step Decision
	open := 0
	for _, n := range r.Waves[r.CurrentWave] {
		s, known := seen[n]
		a, asked := v.Requests[n]
		_, out := v.Permits[n]
		switch {
		case asked && a.ReleaseName == r.Name && a.FailureReason != "":
			return Decision{HaltReason: fmt.Sprintf("%s: %s", n, a.FailureReason)}
		case known && s.Report.DeployedVersion == r.TargetVersion && !asked && !out:
			if s.Report.Availability(settle) != disruption.Available {
				open++
			}
			continue
		case !known && !asked && !out: // it is gone for good: nothing is left to change
			continue
		case !asked && !out:
			step.Requests = append(step.Requests, NodeRequest{Node: n, TargetVersion: r.TargetVersion})
		}
		open++
	}
	if len(step.Requests) > 0 {
		if r.CurrentWave == 0 && changed == 0 && time.Duration(now-o.watchingSince) < time.Duration(r.SoakMS)*time.Millisecond {
			return Decision{} // how all do without it is seen first: there is nothing to compare the first node with otherwise
		}
		return step
	}
	next := r
	if open > 0 {
		o.waveReady = false
		return Decision{}
	}
	if !o.waveReady || o.readyWave != r.CurrentWave {
		o.waveReadySince, o.waveReady, o.readyWave = now, true, r.CurrentWave
	}
	soak := time.Duration(r.SoakMS) * time.Millisecond
	stood := time.Duration(now - o.waveReadySince)
	if stood < soak || !j.Conclusive && stood < 3*soak { // where there is nobody to compare with, it is watched for longer, and said
		return Decision{}
	}
	if next.Note = ""; !j.Conclusive {
		next.Note = fmt.Sprintf("wave %d went without a judgement: %s", r.CurrentWave+1, j.Reason)
	}
	if next.CurrentWave++; next.CurrentWave == len(r.Waves) {
		next.CurrentWave, next.State = r.CurrentWave, Completed
	}
	o.waveReady = false
	return Decision{Updated: &next}
}

// overdueNode says which node of the release has been out for longer than it may.
func (o *Controller) overdueNode(r Release, v drainpermit.View, now lease.Instant) string {
	out := map[string]lease.Instant{}
	late := ""
	for _, n := range slices.Sorted(maps.Keys(v.Permits)) {
		p := v.Permits[n]
		if a := v.Requests[n]; a.ReleaseName != r.Name || p.State == drainpermit.Granted {
			continue
		}
		since, known := o.outSince[p.ID]
		if !known {
			since = now
		}
		out[p.ID] = since
		if late == "" && time.Duration(now-since) > time.Duration(r.ReturnTimeoutMS)*time.Millisecond {
			late = fmt.Sprintf("%s is not back %v after it went out (%s)", n, time.Duration(r.ReturnTimeoutMS)*time.Millisecond, p.State)
		}
	}
	o.outSince = out
	return late
}

// rollBack has those that are changed go back, the latest wave first. Asks that were not begun are taken back.
func (o *Controller) rollBack(r Release, v drainpermit.View, seen map[string]drainpermit.ObservedMember) (step Decision) {
	for i := len(r.Waves) - 1; i >= 0; i-- {
		open := false
		for _, n := range r.Waves[i] {
			a, asked := v.Requests[n]
			_, out := v.Permits[n]
			from, can := r.PreviousVersions[n]
			switch s := seen[n]; {
			case asked && a.ReleaseName == r.Name && a.FailureReason != "" && a.TargetVersion != r.TargetVersion:
				return Decision{HaltReason: fmt.Sprintf("%s: %s", n, a.FailureReason)}
			case asked && a.ReleaseName == r.Name && (a.TargetVersion == r.TargetVersion || a.FailureReason != ""):
				open = true
				step.Requests = append(step.Requests, NodeRequest{Node: n, Withdraw: true})
			case asked && a.ReleaseName == r.Name, out:
				open = true
			case s.Report.DeployedVersion == r.TargetVersion && can && !asked:
				open = true
				step.Requests = append(step.Requests, NodeRequest{Node: n, TargetVersion: from})
			}
		}
		if len(step.Requests) > 0 || open {
			return step
		}
	}
	next := r
	next.State, next.CurrentWave = RolledBack, 0
	var stay []string
	for _, w := range r.Waves {
		for _, n := range w {
			if _, can := r.PreviousVersions[n]; !can && seen[n].Report.DeployedVersion == r.TargetVersion {
				stay = append(stay, n)
			}
		}
	}
	if slices.Sort(stay); len(stay) > 0 {
		next.Note = "can't go back, since nobody knows to what: " + strings.Join(stay, ", ")
	}
	return Decision{Updated: &next}
}

// Status is how far a release is.
type Status struct {
	Name                  string
	State                 State
	Halted                bool
	Nodes, Updated        int // in all, and that run what they are to
	OutOfService, Waiting int // of its asks: begun, and not
	Wave, Waves           int // that is at work, from 1, and in all
}

// StatusOf is how far a release is by what is seen.
func StatusOf(r Release, v drainpermit.View) Status {
	x := Status{Name: r.Name, State: r.State, Halted: v.Halted[r.Name] || v.Halted[drainpermit.HaltAll], Wave: r.CurrentWave + 1, Waves: len(r.Waves)}
	deployed := map[string]string{}
	for _, s := range v.Members {
		deployed[s.Name] = s.Report.DeployedVersion
	}
	for _, w := range r.Waves {
		for _, n := range w {
			if x.Nodes++; deployed[n] == r.TargetVersion {
				x.Updated++
			}
			if p, is := v.Permits[n]; is && v.Requests[n].ReleaseName == r.Name && p.State != drainpermit.Granted {
				x.OutOfService++
			} else if v.Requests[n].ReleaseName == r.Name {
				x.Waiting++
			}
		}
	}
	return x
}

// FormatStatus is how far a release is, for people.
func FormatStatus(r Release, v drainpermit.View) string {
	x := StatusOf(r, v)
	line := fmt.Sprintf("%s to %s: %s, wave %d of %d, %d of %d nodes changed, %d out, %d wait", r.Name, r.TargetVersion, r.State, x.Wave, x.Waves, x.Updated, x.Nodes, x.OutOfService, x.Waiting)
	if x.Halted {
		line += ", HALTED"
	}
	if r.Note != "" {
		line += "; " + r.Note
	}
	return line
}
