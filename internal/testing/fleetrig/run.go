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
	Writes, Reads int           // operations that were answered
	Attempts      int           // attempts of operations, including those without an answer
	Recovered     time.Duration // time from the last fault until the fleet was healthy again
	OwnerChanges  int           // lease grants to a holder other than the previous one
	Jobs          int           // completed jobs of leased tasks
	SilenceMarks  int           // set on nodes whose reports were missing
	DesiredStates int           // desired states applied by nodes
	Exclusions    int           // members excluded after a rollback of their store
	Drains        Drained       // drains and releases
	Spans         []Span        // for charts
	Violations    []string      // violations of checks, and failures of the rig
}

// Play runs a fleet under a schedule of faults, waits until the fleet has recovered, and checks the run. It returns an error if the options
// are invalid or the fleet did not start; violations are in the report.
func Play(o Options) (*Report, error) {
	if members := cmp.Or(o.Members, o.Nodes); members != 3 && members != 5 || members > o.Nodes || o.Nodes > 16 ||
		o.Length <= 0 || o.Length > Longest || o.Recovery <= 0 || o.Lease < 500*time.Millisecond {
		return nil, errors.New("invalid options: expected 3 or 5 members of 16 nodes at most, a length of 10m at most, a recovery time, and a lease of 500ms or more")
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
		return nil, fmt.Errorf("the fleet was not healthy within %v after its start: %s", o.Recovery, f.unhealthyReason())
	}
	if exits := f.unexpectedExits(); len(exits) > 0 {
		return nil, errors.New(strings.Join(exits, "\n"))
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
	faultsEndedAt := time.Now()
	w.wg.Wait()
	f.repairs.Wait()
	if !f.waitUntil(time.Now().Add(o.Recovery), f.healthy) {
		r.Violations = append(r.Violations, fmt.Sprintf("the fleet was not healthy within %v after the last fault: %s", o.Recovery,
			f.unhealthyReason()))
	}
	r.Recovered = time.Since(faultsEndedAt)
	if d != nil {
		d.finish()
	}
	f.checkHistory(r, w)
	f.checkProcessEvents(r, w)
	r.Exclusions = f.exclusions
	r.Violations = append(append(r.Violations, f.failures...), f.unexpectedExits()...)
	return r, nil
}

// injectFaults injects the faults of the schedule, and returns once the last has ended.
func (f *testFleet) injectFaults() {
	var wg sync.WaitGroup
	for _, x := range f.Schedule {
		time.Sleep(time.Until(f.startedAt.Add(x.At)))
		from := lease.Now()
		endFault := f.injectFault(x)
		wg.Add(1)
		time.AfterFunc(x.Length, func() {
			defer wg.Done()
			endFault()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.injected = append(f.injected, injectedFault{x, from, lease.Now()})
		})
	}
	wg.Wait()
	f.logf("all faults have ended")
}

// waitUntil polls a condition until it holds, and returns false if it does not hold by the end.
func (f *testFleet) waitUntil(end time.Time, condition func() bool) bool {
	for !condition() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// healthy reports whether all members answer and vote, know all nodes, have marked none as silent, and have the records of both leased
// tasks.
func (f *testFleet) healthy() bool { return f.unhealthyReason() == "" }

// unhealthyReason describes the first member or condition that keeps the fleet from being healthy; empty: none.
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
			return fmt.Sprintf("n%d knows %d of %d nodes, has marked %d of them as silent, and has the records of %d of 2 leased tasks",
				i, nodes, f.Nodes, marks, duties)
		}
	}
	m, err := f.client(0).Members(false)
	if err != nil {
		return fmt.Sprintf("n0: %v", err)
	}
	for _, x := range m.Members {
		if !x.Voter {
			return x.Name + " is not a voter"
		}
	}
	if len(m.Members) != f.Members {
		return fmt.Sprintf("the store has %d of %d members", len(m.Members), f.Members)
	}
	return ""
}
