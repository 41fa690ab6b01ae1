package fleetrig

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
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
		over := f.faulty(x)
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

// wish is what is wanted of a node.
type wish struct {
	out      bool
	revision uint64
}

// wish has a state wanted of one node after the other until the end, each agreed on before the next.
func (w *work) wish() {
	for i := 0; time.Now().Before(w.end); i++ {
		node, out := i%w.Nodes, i/w.Nodes%2 == 0
		t := document.Transaction{ID: fmt.Sprint("wish ", i), Author: "rig", Reason: "wish", Operations: []document.Operation{{Key: fmt.Sprintf("%sn%d", desiredstate.KeyPrefix, node), Value: fmt.Sprintf(`{"out":%v}`, out)}}}
		var r document.Result
		turn := 0
		if !w.until(w.end.Add(w.Recovery), func() (made bool) {
			var err error
			r, err = w.client(i + turn).Commit(t)
			turn++
			return err == nil
		}) {
			w.blame("wish %d was not agreed on", i)
			return
		}
		w.wanted[node] = wish{out, r.Revision}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkTold holds what the processes told to what was promised, once the last wishes had time to be applied.
func (f *processes) checkTold(r *Report, w *work) {
	var most time.Duration // one believes while another does: not at all, where clocks are wrong by no more than was allowed for
	if f.Schedule.Has(Skew, Jump) {
		// The store's clock may have run ahead and the lease been granted anew. The holder asked last before that, since a renewal asked
		// for later is refused, and counts for one hold from then on, on its own clock: sooner by true time where that one runs fast.
		most = store.DefaultLeaseTerms.WithDuration(f.Lease).HolderDuration()
	}
	var all []told
	var wrong []string
	f.until(time.Now().Add(f.Recovery), func() bool {
		var err error
		if all, err = f.events(); err != nil {
			wrong = []string{err.Error()}
			return true
		}
		wrong = checkEvents(all, w.wanted, most)
		return len(wrong) == 0
	})
	r.Wrong = append(r.Wrong, wrong...)
	for _, e := range all {
		if e.What == "applied" {
			r.Wishes++
		}
	}
	r.Spans = f.charted(all)
}

// work is clients that write to and read from one document while the faults come.
type work struct {
	*processes
	report *Report
	end    time.Time
	wg     sync.WaitGroup

	mu      sync.Mutex
	history []porcupine.Operation
	acked   map[string]uint64 // the revision that each id was acknowledged with
	wanted  map[int]wish      // of each node, last
}

// asked is one operation on the document.
type asked struct {
	write bool
	value string
}

// register is what the document is to be like: each read sees the last write.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if a := in.(asked); a.write {
			return true, a.value
		}
		return out.(string) == state.(string), state
	},
}

const writers = 4

// least is how many operations each of them brings to an answer at any rate, in turn writes and reads: where the faults and a slow machine
// let too few through, it goes on after the faults.
const least = 4

func (w *work) begin() {
	w.acked = map[string]uint64{}
	if !w.Drains { // it would take nodes out past all budgets
		w.wg.Go(w.wish)
	}
	for c := range writers {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			for i := 0; i < least || time.Now().Before(w.end); i++ {
				w.operate(c, i)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
}

// operate asks one member after another, a write under one id, until one says what came of it. What nobody answers by the
// end of the recovery is wrong.
func (w *work) operate(c, i int) {
	a := asked{write: i%2 == 0, value: fmt.Sprintf("c%d-%d", c, i)}
	op := porcupine.Operation{ClientId: c, Input: a, Call: time.Since(w.begun).Nanoseconds()}
	tries := 0
	for ; ; tries++ {
		var err error
		client := w.client(c + i + tries)
		if a.write {
			var r document.Result
			if r, err = client.Commit(document.Transaction{ID: a.value, Author: "rig", Operations: []document.Operation{{Key: "x", Value: a.value}}}); err == nil {
				w.mu.Lock()
				if was, before := w.acked[a.value]; before && was != r.Revision {
					w.report.Wrong = append(w.report.Wrong, fmt.Sprintf("%s was made as revision %d and as %d", a.value, was, r.Revision))
				}
				w.acked[a.value] = r.Revision
				w.mu.Unlock()
			}
		} else {
			var docs []document.Document
			var seen store.ReadStatus
			if docs, seen, err = client.Documents("x", w.Careless); err == nil && !seen.Confirmed && !w.Careless {
				err = errors.New("not confirmed")
			}
			op.Output = ""
			if len(docs) > 0 {
				op.Output = docs[0].Value
			}
		}
		if err == nil {
			break
		}
		if errors.Is(err, store.ErrConflict) || time.Now().After(w.end.Add(w.Recovery)) {
			w.mu.Lock()
			w.report.Wrong = append(w.report.Wrong, fmt.Sprintf("%+v: %v", a, err))
			w.mu.Unlock()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	op.Return = time.Since(w.begun).Nanoseconds()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, op)
	if w.report.Tries += tries + 1; a.write {
		w.report.Writes++
	} else {
		w.report.Reads++
	}
}

// check holds what happened, by the store's history and the clients', to what was promised.
func (f *processes) check(r *Report, w *work) {
	if !porcupine.CheckOperations(register, w.history) {
		r.Wrong = append(r.Wrong, fmt.Sprintf("no order of %d operations fits their times", len(w.history)))
	}
	var changes []document.Change
	if !f.until(time.Now().Add(f.Recovery), func() bool {
		var seen store.ReadStatus
		var forgotten bool
		var err error
		_, now, err1 := f.client(0).Documents("x", false)
		changes, seen, forgotten, err = f.client(0).Changes("", 0, 0)
		return err == nil && err1 == nil && !forgotten && seen.Revision >= now.Revision
	}) {
		r.Wrong = append(r.Wrong, "no history, or not all of it is remembered: play a shorter one")
		return
	}
	r.Wrong = append(r.Wrong, Check(changes, w.acked, r)...)
}

// Check holds a history to what was promised: tokens of a duty only grow, its jobs and steps come in order, and what was
// acknowledged is there once, under the revision that was told. It counts grants and jobs into the report.
func Check(changes []document.Change, acked map[string]uint64, r *Report) (wrong []string) {
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	type at struct {
		token uint64
		owner string
		job   leasedtask.Record
	}
	duties := map[string]*at{}
	of := func(name string) *at {
		if duties[name] == nil {
			duties[name] = &at{}
		}
		return duties[name]
	}
	written := map[string]uint64{}
	for _, x := range changes {
		switch name, isJob := strings.CutPrefix(x.Key, "duty/"); {
		case x.Lease != nil:
			d := of(x.Lease.Task)
			if x.Lease.Token < d.token {
				say("revision %d: duty %s: token %d after %d", x.Revision, x.Lease.Task, x.Lease.Token, d.token)
			}
			if x.Lease.Token == d.token && x.Lease.Holder != "" && x.Lease.Holder != d.owner {
				say("revision %d: duty %s: token %d is %s's and %s's", x.Revision, x.Lease.Task, d.token, d.owner, x.Lease.Holder)
			}
			if x.Lease.Token > d.token {
				if d.owner != x.Lease.Holder {
					r.Owners++
				}
				d.owner = x.Lease.Holder
			}
			d.token = x.Lease.Token
		case isJob:
			var rec leasedtask.Record
			if err := json.Unmarshal([]byte(x.Value), &rec); err != nil {
				say("revision %d: %v", x.Revision, err)
				continue
			}
			d := of(name)
			before := d.job
			d.job = rec
			switch {
			case x.Author != d.owner:
				say("revision %d: %s wrote the record of %s, which is %s's", x.Revision, x.Author, name, d.owner)
			case rec.JobID < before.JobID || rec.JobID == before.JobID && rec.Step < before.Step:
				say("revision %d: duty %s: %+v after %+v", x.Revision, name, rec, before)
			case rec.JobID == before.JobID && before.Finished():
				say("revision %d: duty %s: %+v after its end", x.Revision, name, rec)
			case rec.JobID != before.JobID && before.JobID != "" && !before.Finished():
				say("revision %d: duty %s: %+v before the end of %+v", x.Revision, name, rec, before)
			}
			if rec.Finished() {
				r.Jobs++
			}
		case strings.HasPrefix(x.Key, "silent/") && !x.Deleted:
			r.Marks++
		case x.Key == "x":
			if was, twice := written[x.Value]; twice {
				say("%s was made twice, as revisions %d and %d", x.Value, was, x.Revision)
			}
			written[x.Value] = x.Revision
		}
	}
	for id, revision := range acked {
		if written[id] != revision {
			say("%s was acknowledged as revision %d and is there as %d", id, revision, written[id])
		}
	}
	slices.Sort(wrong)
	return wrong
}
