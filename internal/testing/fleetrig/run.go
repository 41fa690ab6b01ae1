package fleetrig

import (
	"cmp"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"sloehitch/internal/control/lease"
)

// Report is the result of a run.
type Report struct {
	Writes, Reads int           // answered
	Attempts      int           // all attempts, those without an answer included
	Recovered     time.Duration // time from the last fault until the fleet was healthy again
	OwnerChanges  int           // lease grants to another holder than before
	Jobs          int           // leased tasks' jobs that ended
	SilenceMarks  int           // set on nodes whose reports were missing
	DesiredStates int           // desired states applied by nodes
	Exclusions    int           // members excluded after a rollback of their store
	Drains        Drained       // drains and releases
	Spans         []Span        // for charts
	Violations    []string      // violations and failures of the rig; empty: none
}

// Play runs a fleet under a schedule of faults, blocks until it has recovered, and checks it. It returns an error where the options are
// invalid or the fleet did not start; violations are in the report.
func Play(o Options) (*Report, error) {
	if keep := cmp.Or(o.Members, o.Nodes); keep != 3 && keep != 5 || keep > o.Nodes || o.Nodes > 16 || o.Length <= 0 || o.Length > Longest || o.Recovery <= 0 || o.Lease < 500*time.Millisecond {
		return nil, errors.New("3 or 5 members of up to 16 nodes, a length of up to 10m, a recovery, and a lease of 500ms or more are wanted")
	}
	if o.Log != nil {
		o.Log = &lockedWriter{w: o.Log}
	}
	f := &testFleet{Options: o, startedAt: time.Now()}
	defer f.close()
	if err := f.open(); err != nil {
		return nil, err
	}
	if !f.waitUntil(time.Now().Add(o.Recovery), func() bool { return f.healthy() || len(f.unexpectedExits()) > 0 }) {
		return nil, fmt.Errorf("the fleet was not healthy %v after its start: %s", o.Recovery, f.unhealthyReason())
	}
	if fell := f.unexpectedExits(); len(fell) > 0 {
		return nil, errors.New(strings.Join(fell, "\n"))
	}
	f.startedAt = time.Now()
	r := &Report{}
	w := &workload{testFleet: f, report: r, end: f.startedAt.Add(o.Length), desired: map[int]desiredState{}}
	w.begin()
	var d *drainOperator
	if o.Drains {
		d = f.newDrainOperator(r)
		w.wg.Go(func() { d.operate(w.end) })
	}
	f.injectFaults()
	calm := time.Now()
	w.wg.Wait()
	f.repairs.Wait()
	if !f.waitUntil(time.Now().Add(o.Recovery), f.healthy) {
		r.Violations = append(r.Violations, fmt.Sprintf("not healthy again %v after the last fault: %s", o.Recovery, f.unhealthyReason()))
	}
	r.Recovered = time.Since(calm)
	if d != nil {
		d.finish()
	}
	f.checkHistory(r, w)
	f.checkProcessEvents(r, w)
	r.Exclusions = f.exclusions
	r.Violations = append(append(r.Violations, f.wrong...), f.unexpectedExits()...)
	return r, nil
}

// injectFaults injects the faults of the schedule, and returns once the last has ended.
func (f *testFleet) injectFaults() {
	var wg sync.WaitGroup
	for _, x := range f.Schedule {
		time.Sleep(time.Until(f.startedAt.Add(x.At)))
		from := lease.Now()
		over := f.injectFault(x)
		wg.Add(1)
		time.AfterFunc(x.Length, func() {
			defer wg.Done()
			over()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.injected = append(f.injected, injectedFault{x, from, lease.Now()})
		})
	}
	wg.Wait()
	f.logf("all faults have ended")
}

// waitUntil polls a condition until it holds, and returns false where it does not by the end.
func (f *testFleet) waitUntil(end time.Time, so func() bool) bool {
	for !so() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// healthy reports whether all members answer and vote, know all nodes, mark none as silent, and have a record of both leased tasks.
func (f *testFleet) healthy() bool { return f.unhealthyReason() == "" }

// unhealthyReason describes what of that does not hold, by the first member that differs; empty: all holds.
func (f *testFleet) unhealthyReason() string {
	for i := range f.Members {
		docs, _, err := f.client(i).Documents("", false)
		if err != nil {
			return fmt.Sprintf("n%d: %v", i, err)
		}
		nodes, marks, duties := 0, 0, 0
		for _, d := range docs {
			switch prefix, _, _ := strings.Cut(d.Key, "/"); prefix {
			case "node":
				nodes++
			case "silent":
				marks++
			case "duty":
				duties++
			}
		}
		if nodes != f.Nodes || marks > 0 || duties != 2 {
			return fmt.Sprintf("n%d knows %d of %d nodes, %d of them marked as silent, and the records of %d of 2 duties", i, nodes, f.Nodes, marks, duties)
		}
	}
	m, err := f.client(0).Members(false)
	if err != nil {
		return fmt.Sprintf("n0: %v", err)
	}
	for _, x := range m.Members {
		if !x.Voter {
			return x.Name + " has no vote"
		}
	}
	if len(m.Members) != f.Members {
		return fmt.Sprintf("%d of %d members", len(m.Members), f.Members)
	}
	return ""
}
