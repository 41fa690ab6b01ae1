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
	exitReplaced          = 75                     // exit code of a process that is to be started again with its new release
	settleTime            = 300 * time.Millisecond // time for which a node must be healthy before it counts as in service
	maxUnavailable        = 2                      // disruption budget of the fleet, in nodes
	maxUnavailablePerZone = 1                      // disruption budget of a zone, in nodes
)

// zoneOf returns a node's zone.
func zoneOf(i int) string { return string(rune('a' + i%2)) }

// Drained counts the drains, halts and releases of a run, and the critical cases that occurred in it.
type Drained struct {
	// Drains requested and started, nodes replaced, halts, and "holds" events of the lease for granting permits.
	Asked, Begun, Replaced, Halts, Keepers int
	Killed                                 int            // processes started again while their nodes were drained
	Late                                   int            // permits that expired, or were returned, before their node drained
	Most                                   int            // largest number of nodes drained at the same time
	Over, Undone, Backs, ByItself          int            // releases completed and rolled back; rollbacks requested, and halts by the release itself
	Met                                    map[string]int // critical cases, such as "kill while out" or "stop of who releases"
}

// disruptionBudgets returns the budgets of a run.
func disruptionBudgets() disruption.Budgets {
	fleet, zone := maxUnavailable, maxUnavailablePerZone
	return disruption.Budgets{{Scope: "fleet", MaxUnavailable: &fleet}, {Scope: "zone", MaxUnavailable: &zone}}
}

// halt is a period in which no drain of its scope may begin.
type halt struct {
	scope    string
	from, to lease.Instant // from its acknowledgement until just before it was resumed; to is 0 if it was not
}

// drainOperator performs the actions of operators, which are drains, halts and a release, and those of the supervisor that starts replaced
// processes again. The operators' actions are drawn from the run's seed.
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

// supervise restarts processes that exited to be replaced, until the fleet is closed.
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
					d.failures = append(d.failures, err.Error())
				}
			}
		}
		d.mu.Unlock()
	}
}

// commit sets a document, or deletes it if the value is empty, through the first member that accepts the transaction. It reports whether
// one did by the given time.
func (d *drainOperator) commit(key, value string, by time.Time) bool {
	d.sequence++
	t := document.Transaction{ID: fmt.Sprint("drains ", d.sequence), Author: "rig", Reason: "drains", Operations: []document.Operation{{Key: key, Value: value, Delete: value == ""}}}
	member := d.sequence
	return d.waitUntil(by, func() bool {
		member++
		_, err := d.client(member).Commit(t)
		return err == nil
	})
}

// operate starts a release, and then requests, cancels, halts and resumes drains at random until the end.
func (d *drainOperator) operate(end time.Time) {
	by := end.Add(d.Recovery)
	if !d.commit(fleetstate.BudgetsKey, fleetstate.Encode(disruptionBudgets()), by) {
		d.addFailure("the disruption budgets were not committed within the recovery time")
		return
	}
	if d.sequence++; !d.startRelease(by) {
		return
	}
	requested := map[int]bool{}
	for time.Now().Before(end) {
		node := d.random.IntN(d.Nodes)
		key := fleetstate.RequestKey(fmt.Sprint("n", node))
		switch x := d.random.IntN(12); {
		case x < 6 && !requested[node]:
			d.sequence++
			a := fleetstate.DrainRequest{ID: fmt.Sprint("ask ", d.sequence), RequestedBy: "rig", Reason: "drains", Urgent: x == 0}
			if x < 3 {
				a.ReleaseName, a.TargetVersion = "r", fmt.Sprint("v", 1+d.random.IntN(3))
			}
			requested[node] = d.commit(key, fleetstate.Encode(a), by)
			d.report.Drains.Asked++
		case x < 9 && requested[node]:
			requested[node] = !d.commit(key, "", by)
		case x == 9:
			d.haltDrains([]string{fleetstate.HaltAll, "r"}[d.random.IntN(2)], by)
		case x > 9:
			d.resumeDrains(by)
			if d.random.IntN(24) == 0 {
				d.rollBackRelease(by)
			}
		}
		time.Sleep(time.Duration(50+d.random.IntN(150)) * time.Millisecond)
	}
}

func (d *drainOperator) haltDrains(scope string, by time.Time) {
	for _, h := range d.halts {
		if h.scope == scope && h.to == 0 {
			return
		}
	}
	attempt := 0
	if d.waitUntil(by, func() bool {
		attempt++
		_, err := fleet.Halt(d.client(attempt), scope, "rig", "drains")
		return err == nil
	}) {
		d.halts = append(d.halts, halt{scope: scope, from: lease.Now()})
		d.logf("halted: %s", scope)
	}
}

func (d *drainOperator) resumeDrains(by time.Time) {
	for i := range d.halts {
		if h := &d.halts[i]; h.to == 0 {
			h.to = lease.Now()
			d.commit(fleetstate.HaltKeyPrefix+h.scope, "", by)
			d.logf("resumed: %s", h.scope)
		}
	}
}

// finish cancels all drain requests, waits up to the recovery time until the release and all drains have ended, and checks the events.
func (d *drainOperator) finish() {
	by := time.Now().Add(d.Recovery)
	d.resumeDrains(by)
	for i := range d.Nodes { // requested drains would block the release
		d.commit(fleetstate.RequestKey(fmt.Sprint("n", i)), "", by)
	}
	d.awaitRelease(by)
	remaining := ""
	if !d.waitUntil(by, func() bool {
		docs, _, err := d.client(d.sequence).Documents(fleetstate.DrainKeyPrefix, false)
		if err != nil {
			d.sequence++
			remaining = err.Error()
			return false
		}
		remaining = ""
		for _, doc := range docs {
			if a, err := fleetstate.Decode[fleetstate.DrainRequest](doc.Value); err == nil && strings.HasSuffix(doc.Key, "/ask") && (a.ReleaseName == "" || a.FailureReason != "") {
				d.commit(doc.Key, "", by)
			}
			remaining += " " + doc.Key + " = " + doc.Value
		}
		return remaining == ""
	}) {
		d.addFailure("%v after the last fault, drains are still in progress or waiting:%s", d.Recovery, remaining)
	}
	all, err := d.events()
	if err != nil {
		d.addFailure("%v", err)
		return
	}
	d.mu.Lock()
	d.report.Drains.Met = faultCoverage(all, d.injected)
	d.mu.Unlock()
	violations := checkDrains(all, d.halts, &d.report.Drains)
	if len(violations) > 0 {
		d.mu.Lock()
		violations = append(violations, "the processes' events:\n"+eventLog(all, d.injected))
		d.mu.Unlock()
	}
	d.report.Violations = append(d.report.Violations, violations...)
}
