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

// Report is what came of a run.
type Report struct {
	Writes, Reads int           // answered
	Tries         int           // asked in all, those that nobody answered included
	Recovered     time.Duration // after the last fault, until all nodes, and both duties, were at work again
	Owners        int           // grants of duties to another than before
	Jobs          int           // that ended
	Marks         int           // set on nodes that were silent
	Wishes        int           // of nodes' states, applied by them
	KeptOut       int           // older copies of folders that were kept out, and added anew
	Drains        Drained       // how nodes went out and came back
	Spans         []Span        // who held what when, and the faults
	Wrong         []string      // what did not hold; empty: all did
}

// Play runs a fleet under a schedule. It errs where it can't be run; what does not hold is in the report.
func Play(o Options) (*Report, error) {
	if keep := cmp.Or(o.Members, o.Nodes); keep != 3 && keep != 5 || keep > o.Nodes || o.Nodes > 16 || o.Length <= 0 || o.Length > Longest || o.Recovery <= 0 || o.Lease < 500*time.Millisecond {
		return nil, errors.New("3 or 5 members of up to 16 nodes, a length of up to 10m, a recovery, and a lease of 500ms or more are wanted")
	}
	if o.Log != nil {
		o.Log = &shared{w: o.Log}
	}
	f := &processes{Options: o, begun: time.Now()}
	defer f.close()
	if err := f.open(); err != nil {
		return nil, err
	}
	if !f.until(time.Now().Add(o.Recovery), func() bool { return f.whole() || len(f.fell()) > 0 }) {
		return nil, fmt.Errorf("the fleet was not at work %v after its start: %s", o.Recovery, f.missing())
	}
	if fell := f.fell(); len(fell) > 0 {
		return nil, errors.New(strings.Join(fell, "\n"))
	}
	f.begun = time.Now()
	r := &Report{}
	w := &work{processes: f, report: r, end: f.begun.Add(o.Length), wanted: map[int]wish{}}
	w.begin()
	var d *drains
	if o.Drains {
		d = f.drains(r)
		w.wg.Go(func() { d.operate(w.end) })
	}
	f.faults()
	calm := time.Now()
	w.wg.Wait()
	f.mends.Wait()
	if !f.until(time.Now().Add(o.Recovery), f.whole) {
		r.Wrong = append(r.Wrong, fmt.Sprintf("not at work again %v after the last fault: %s", o.Recovery, f.missing()))
	}
	r.Recovered = time.Since(calm)
	if d != nil {
		d.finish()
	}
	f.check(r, w)
	f.checkTold(r, w)
	r.KeptOut = f.kept
	r.Wrong = append(append(r.Wrong, f.wrong...), f.fell()...)
	return r, nil
}

// faults has the schedule happen, and returns once the last fault is over.
func (f *processes) faults() {
	var wg sync.WaitGroup
	for _, x := range f.Schedule {
		time.Sleep(time.Until(f.begun.Add(x.At)))
		from := lease.Now()
		over := f.injectFault(x)
		wg.Add(1)
		time.AfterFunc(x.Length, func() {
			defer wg.Done()
			over()
			f.mu.Lock()
			defer f.mu.Unlock()
			f.calls = append(f.calls, called{x, from, lease.Now()})
		})
	}
	wg.Wait()
	f.say("no faults any more")
}

// until looks until something is so, or the time has come.
func (f *processes) until(end time.Time, so func() bool) bool {
	for !so() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// whole says whether all members answer, know all nodes, mark none, and both duties have had an owner.
func (f *processes) whole() bool { return f.missing() == "" }

// missing says what of that is not so, as the first member that is asked about it tells; empty: nothing.
func (f *processes) missing() string {
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
