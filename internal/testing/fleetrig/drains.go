package fleetrig

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleet"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/release"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

const (
	replaced = 75                     // the code that a process ends with to be started again as what it was replaced by
	settle   = 300 * time.Millisecond // in and well, before a node counts as in
	mostOut  = 2                      // nodes of the fleet
	zoneOut  = 1                      // and of a zone
)

// zoneOf is the zone that a node is in.
func zoneOf(i int) string { return string(rune('a' + i%2)) }

// Drained is how nodes went out and came back in a run.
type Drained struct {
	Asked, Begun, Replaced, Halts, Keepers int
	Killed                                 int            // while out
	Late                                   int            // that had their beginning agreed on and did not go out, or were freed
	Most                                   int            // out at once
	Over, Undone, Backs, ByItself          int            // releases that went through or back; asked to go back, and halted by themselves
	Met                                    map[string]int // hard cases, by fault and what its node was at: "kill while out", "stop of who releases"
}

// rules are the budgets of a run.
func rules() disruption.Budgets {
	fleet, zone := mostOut, zoneOut
	return disruption.Budgets{{Scope: "fleet", MaxUnavailable: &fleet}, {Scope: "zone", MaxUnavailable: &zone}}
}

// halt is a stretch in which nothing may begin.
type halt struct {
	what     string
	from, to lease.Instant // from when it was acknowledged, to before it was taken back; 0: it was not
}

// drains is operators, and what starts processes again that end to be replaced.
type drains struct {
	*processes
	report *Report
	r      *rand.Rand
	n      int
	halts  []halt
}

func (f *processes) drains(r *Report) *drains {
	d := &drains{processes: f, report: r, r: rand.New(rand.NewPCG(f.Seed, 26))}
	go d.supervise()
	return d
}

// supervise starts processes again that ended to be replaced, until the run ends.
func (d *drains) supervise() {
	for range time.Tick(10 * time.Millisecond) {
		d.mu.Lock()
		if d.ended {
			d.mu.Unlock()
			return
		}
		for i, p := range d.procs {
			if p != nil && !d.still[i] && p.code() == replaced {
				if err := d.start(i); err != nil {
					d.wrong = append(d.wrong, err.Error())
				}
			}
		}
		d.mu.Unlock()
	}
}

// put has a document set, or deleted where the value is empty, through whichever member takes it, by a time.
func (d *drains) put(key, value string, by time.Time) bool {
	d.n++
	t := document.Transaction{ID: fmt.Sprint("drains ", d.n), Author: "rig", Reason: "drains", Operations: []document.Operation{{Key: key, Value: value, Delete: value == ""}}}
	turn := d.n
	return d.until(by, func() bool {
		turn++
		_, err := d.client(turn).Commit(t)
		return err == nil
	})
}

// operate asks, takes back, halts and resumes until the end.
func (d *drains) operate(end time.Time) {
	by := end.Add(d.Recovery)
	if !d.put(fleetstate.BudgetsKey, fleetstate.Encode(rules()), by) {
		d.blame("the budgets were not agreed on")
		return
	}
	if d.n++; !d.begins(by) {
		return
	}
	asked := map[int]bool{}
	for time.Now().Before(end) {
		node := d.r.IntN(d.Nodes)
		key := fleetstate.RequestKey(fmt.Sprint("n", node))
		switch x := d.r.IntN(12); {
		case x < 6 && !asked[node]:
			d.n++
			a := fleetstate.DrainRequest{ID: fmt.Sprint("ask ", d.n), RequestedBy: "rig", Reason: "drains", Urgent: x == 0}
			if x < 3 {
				a.ReleaseName, a.TargetVersion = "r", fmt.Sprint("v", 1+d.r.IntN(3))
			}
			asked[node] = d.put(key, fleetstate.Encode(a), by)
			d.report.Drains.Asked++
		case x < 9 && asked[node]:
			asked[node] = !d.put(key, "", by)
		case x == 9:
			d.halt([]string{fleetstate.HaltAll, "r"}[d.r.IntN(2)], by)
		case x > 9:
			d.resume(by)
			if d.r.IntN(24) == 0 {
				d.back(by)
			}
		}
		time.Sleep(time.Duration(50+d.r.IntN(150)) * time.Millisecond)
	}
}

func (d *drains) halt(what string, by time.Time) {
	for _, h := range d.halts {
		if h.what == what && h.to == 0 {
			return
		}
	}
	turn := 0
	if d.until(by, func() bool {
		turn++
		_, err := fleet.Halt(d.client(turn), what, "rig", "drains")
		return err == nil
	}) {
		d.halts = append(d.halts, halt{what: what, from: lease.Now()})
		d.say("halted: %s", what)
	}
}

func (d *drains) resume(by time.Time) {
	for i := range d.halts {
		if h := &d.halts[i]; h.to == 0 {
			h.to = lease.Now()
			d.put(fleetstate.HaltKeyPrefix+h.what, "", by)
			d.say("resumed: %s", h.what)
		}
	}
}

// begins begins a release of all nodes; one seed in four has it to what can't be put in place.
func (d *drains) begins(by time.Time) bool {
	to := "w1"
	if d.r.IntN(4) == 0 {
		to = "broken"
	}
	turn := 0
	begun := d.until(by, func() bool {
		turn++
		docs, _, err := d.client(turn).Documents("node/", false)
		if err != nil {
			return false
		}
		var seen []fleetstate.ObservedMember
		for _, doc := range docs {
			s := fleetstate.ObservedMember{Name: strings.TrimPrefix(doc.Key, "node/")}
			s.Unreadable = json.Unmarshal([]byte(doc.Value), &s.Report) != nil
			seen = append(seen, s)
		}
		r := release.Release{Name: "s", TargetVersion: to, RequestedBy: "rig", Reason: "drains", State: release.Running, SoakMS: 100, ReturnTimeoutMS: d.Recovery.Milliseconds()}
		r.Waves, r.PreviousVersions = release.PlanWaves(seen, to, 2)
		err = fleet.StartRelease(d.client(turn), r)
		return err == nil || errors.Is(err, store.ErrConflict)
	})
	if !begun {
		d.blame("no release was begun")
	}
	return begun
}

// back has that release go back.
func (d *drains) back(by time.Time) {
	turn := 0
	if !d.until(by, func() bool {
		turn++
		err := fleet.RollBackRelease(d.client(turn), "s", "rig", "drains")
		return err == nil || strings.Contains(err.Error(), "gone back already")
	}) {
		d.blame("a release could not be had go back")
	}
	d.report.Drains.Backs++
}

// ends waits until that release is through or has gone back; it is had go back where it halts by itself.
func (d *drains) ends(by time.Time) {
	last := "nothing was read"
	turn := 0
	if !d.until(by, func() bool {
		turn++
		doc, _, err := d.client(turn).Document(release.KeyPrefix+"s", false)
		if err != nil {
			last = err.Error()
			return false
		}
		r, err := release.Decode(doc)
		if err != nil {
			last = err.Error()
			return false
		}
		last = doc.Value
		halted, _, err := d.client(turn).Document(fleetstate.HaltKeyPrefix+"s", false)
		if err == nil && halted.Version > 0 {
			d.say("the release halted by itself: %s", r.Note)
			d.report.Drains.ByItself++
			d.back(by)
			return false
		}
		switch r.State {
		case release.Completed:
			d.report.Drains.Over++
		case release.RolledBack:
			d.report.Drains.Undone++
		default:
			return false
		}
		return true
	}) {
		d.blame("%v after the last fault the release is %s", d.Recovery, last)
	}
}

// finish takes drains back and lets releases end; by the end of the recovery nobody is out, and what the processes told is held to what
// was promised.
func (d *drains) finish() {
	by := time.Now().Add(d.Recovery)
	d.resume(by)
	for i := range d.Nodes { // drains and asks of people would keep it waiting
		d.put(fleetstate.RequestKey(fmt.Sprint("n", i)), "", by)
	}
	d.ends(by)
	left := ""
	if !d.until(by, func() bool {
		docs, _, err := d.client(d.n).Documents(fleetstate.DrainKeyPrefix, false)
		if err != nil {
			d.n++
			left = err.Error()
			return false
		}
		left = ""
		for _, doc := range docs {
			if a, err := fleetstate.Decode[fleetstate.DrainRequest](doc.Value); err == nil && strings.HasSuffix(doc.Key, "/ask") && (a.ReleaseName == "" || a.FailureReason != "") {
				d.put(doc.Key, "", by)
			}
			left += " " + doc.Key + " = " + doc.Value
		}
		return left == ""
	}) {
		d.blame("%v after the last fault nodes are out or wait:%s", d.Recovery, left)
	}
	all, err := d.events()
	if err != nil {
		d.blame("%v", err)
		return
	}
	d.mu.Lock()
	d.report.Drains.Met = met(all, d.calls)
	d.mu.Unlock()
	wrong := checkDrains(all, d.halts, &d.report.Drains)
	if len(wrong) > 0 {
		d.mu.Lock()
		wrong = append(wrong, "what the processes told of it:\n"+timeline(all, d.calls))
		d.mu.Unlock()
	}
	d.report.Wrong = append(d.report.Wrong, wrong...)
}
