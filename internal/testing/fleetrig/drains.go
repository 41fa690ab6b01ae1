package fleetrig

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleet"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

const (
	exitReplaced          = 75                     // exit code of a process that asks to be started again as its new release
	settleTime            = 300 * time.Millisecond // for which a node must be healthy before it counts as in service
	maxUnavailable        = 2                      // nodes of the fleet, by its disruption budget
	maxUnavailablePerZone = 1                      // nodes of a zone
)

// zoneOf returns a node's zone.
func zoneOf(i int) string { return string(rune('a' + i%2)) }

// Drained counts the drains, halts and releases of a run, and the hard cases that it met.
type Drained struct {
	Asked, Begun, Replaced, Halts, Keepers int
	Killed                                 int            // while drained
	Late                                   int            // whose permit expired before they drained, or that were released from it
	Most                                   int            // drained at once
	Over, Undone, Backs, ByItself          int            // releases completed and rolled back; rollbacks requested, and halts by the release itself
	Met                                    map[string]int // hard cases, by fault and its node's state or role: "kill while out", "stop of who releases"
}

// disruptionBudgets returns the budgets of a run.
func disruptionBudgets() disruption.Budgets {
	fleet, zone := maxUnavailable, maxUnavailablePerZone
	return disruption.Budgets{{Scope: "fleet", MaxUnavailable: &fleet}, {Scope: "zone", MaxUnavailable: &zone}}
}

// halt is a period in which no drain of its scope may begin.
type halt struct {
	what     string
	from, to lease.Instant // from its acknowledgement to just before it was lifted; to is 0 where it was not
}

// drainOperator plays the operators of drains, halts and a release, and the supervisor that starts replaced processes again. Its actions
// are drawn by the run's seed.
type drainOperator struct {
	*testFleet
	report   *Report
	random   *rand.Rand
	sequence int
	halts    []halt
}

func (f *testFleet) newDrainOperator(r *Report) *drainOperator {
	d := &drainOperator{testFleet: f, report: r, random: rand.New(rand.NewPCG(f.Seed, 26))}
	go d.supervise()
	return d
}

// supervise starts processes again that exited to be replaced, until the fleet is closed.
func (d *drainOperator) supervise() {
	for range time.Tick(10 * time.Millisecond) {
		d.mu.Lock()
		if d.closed {
			d.mu.Unlock()
			return
		}
		for i, p := range d.procs {
			if p != nil && !d.faulted[i] && p.exitCode() == exitReplaced {
				if err := d.start(i); err != nil {
					d.wrong = append(d.wrong, err.Error())
				}
			}
		}
		d.mu.Unlock()
	}
}

// commit sets a document, or deletes it where the value is empty, through the first member that accepts it. It reports whether one did by
// the given time.
func (d *drainOperator) commit(key, value string, by time.Time) bool {
	d.sequence++
	t := document.Transaction{ID: fmt.Sprint("drains ", d.sequence), Author: "rig", Reason: "drains", Operations: []document.Operation{{Key: key, Value: value, Delete: value == ""}}}
	turn := d.sequence
	return d.waitUntil(by, func() bool {
		turn++
		_, err := d.client(turn).Commit(t)
		return err == nil
	})
}

// operate requests and cancels drains, and halts and resumes them, until the end.
func (d *drainOperator) operate(end time.Time) {
	by := end.Add(d.Recovery)
	if !d.commit(fleetstate.BudgetsKey, fleetstate.Encode(disruptionBudgets()), by) {
		d.addFailure("the disruption budgets were not committed")
		return
	}
	if d.sequence++; !d.startRelease(by) {
		return
	}
	asked := map[int]bool{}
	for time.Now().Before(end) {
		node := d.random.IntN(d.Nodes)
		key := fleetstate.RequestKey(fmt.Sprint("n", node))
		switch x := d.random.IntN(12); {
		case x < 6 && !asked[node]:
			d.sequence++
			a := fleetstate.DrainRequest{ID: fmt.Sprint("ask ", d.sequence), RequestedBy: "rig", Reason: "drains", Urgent: x == 0}
			if x < 3 {
				a.ReleaseName, a.TargetVersion = "r", fmt.Sprint("v", 1+d.random.IntN(3))
			}
			asked[node] = d.commit(key, fleetstate.Encode(a), by)
			d.report.Drains.Asked++
		case x < 9 && asked[node]:
			asked[node] = !d.commit(key, "", by)
		case x == 9:
			d.halt([]string{fleetstate.HaltAll, "r"}[d.random.IntN(2)], by)
		case x > 9:
			d.resume(by)
			if d.random.IntN(24) == 0 {
				d.rollBackRelease(by)
			}
		}
		time.Sleep(time.Duration(50+d.random.IntN(150)) * time.Millisecond)
	}
}

func (d *drainOperator) halt(what string, by time.Time) {
	for _, h := range d.halts {
		if h.what == what && h.to == 0 {
			return
		}
	}
	turn := 0
	if d.waitUntil(by, func() bool {
		turn++
		_, err := fleet.Halt(d.client(turn), what, "rig", "drains")
		return err == nil
	}) {
		d.halts = append(d.halts, halt{what: what, from: lease.Now()})
		d.logf("halted: %s", what)
	}
}

func (d *drainOperator) resume(by time.Time) {
	for i := range d.halts {
		if h := &d.halts[i]; h.to == 0 {
			h.to = lease.Now()
			d.commit(fleetstate.HaltKeyPrefix+h.what, "", by)
			d.logf("resumed: %s", h.what)
		}
	}
}

// finish cancels drain requests and waits for the release and all drains to end within the recovery time, then checks the events.
func (d *drainOperator) finish() {
	by := time.Now().Add(d.Recovery)
	d.resume(by)
	for i := range d.Nodes { // operators' drains would block the release
		d.commit(fleetstate.RequestKey(fmt.Sprint("n", i)), "", by)
	}
	d.awaitRelease(by)
	left := ""
	if !d.waitUntil(by, func() bool {
		docs, _, err := d.client(d.sequence).Documents(fleetstate.DrainKeyPrefix, false)
		if err != nil {
			d.sequence++
			left = err.Error()
			return false
		}
		left = ""
		for _, doc := range docs {
			if a, err := fleetstate.Decode[fleetstate.DrainRequest](doc.Value); err == nil && strings.HasSuffix(doc.Key, "/ask") && (a.ReleaseName == "" || a.FailureReason != "") {
				d.commit(doc.Key, "", by)
			}
			left += " " + doc.Key + " = " + doc.Value
		}
		return left == ""
	}) {
		d.addFailure("%v after the last fault nodes are drained or wait:%s", d.Recovery, left)
	}
	all, err := d.events()
	if err != nil {
		d.addFailure("%v", err)
		return
	}
	d.mu.Lock()
	d.report.Drains.Met = faultCoverage(all, d.injected)
	d.mu.Unlock()
	wrong := checkDrains(all, d.halts, &d.report.Drains)
	if len(wrong) > 0 {
		d.mu.Lock()
		wrong = append(wrong, "the processes' events:\n"+eventLog(all, d.injected))
		d.mu.Unlock()
	}
	d.report.Violations = append(d.report.Violations, wrong...)
}
