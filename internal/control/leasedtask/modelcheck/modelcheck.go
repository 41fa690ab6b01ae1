// Package modelcheck plays the runner of duties through random worlds: candidates for one duty, the store that they agree through
// and a receiver of effects, in one simulated time. Messages take any time and are lost either way, and candidates stand
// still, at any point, leave, or are replaced by new ones that know nothing. What must hold is checked at each effect.
package modelcheck

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"sloehitch/internal/control/fencing"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store/document"
)

// LeaseTerms are those of the duty in every world.
var LeaseTerms = lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}

const record = "duty/release"

// world is candidates for one job, the store that they agree through and a receiver of effects, in one true time. Messages
// take any time, are lost either way, and candidates stand still, at any point, or are replaced by new ones that know
// nothing.
type world struct {
	r      *rand.Rand
	now    time.Duration
	queue  []event
	store  *document.State
	people []*person
	calm   bool // no faults any more
	mutant string
	open   int // job that was as the faults ended

	gate    *fencing.Guard
	kept    memory         // tokens as the receiver keeps them on disk
	highest uint64         // token of effects that happened
	effects map[string]int // by step id
	job     string         // of the last effect, and its step: all that the receiver remembers
	step    string
	wrong   string
}

// memory keeps tokens through the receiver's restarts.
type memory map[string]uint64

func (m memory) Load() (map[string]uint64, error) { return maps.Clone(m), nil }
func (m memory) Save(duty string, token uint64) error {
	m[duty] = token
	return nil
}

// restart has the receiver begin anew with what it has on disk.
func (w *world) restart() {
	gate, err := fencing.New(w.kept)
	if err != nil {
		w.wrong = err.Error()
	}
	w.gate = gate
}

type event struct {
	at time.Duration
	do func()
}

type person struct {
	*leasedtask.Runner
	name  string
	rate  float64
	still time.Duration
	life  int
	wakes time.Duration
}

func (w *world) clock(p *person) lease.Instant { return lease.Instant(float64(w.now) * p.rate) }

func (w *world) after(d time.Duration, do func()) { w.queue = append(w.queue, event{w.now + d, do}) }

func (w *world) some(most time.Duration) time.Duration {
	x := w.r.Float64()
	return time.Duration(x * x * x * float64(most))
}

// way is how long a message takes, and whether it comes.
func (w *world) way() (time.Duration, bool) {
	if w.calm {
		return time.Millisecond, true
	}
	return w.some(4 * LeaseTerms.Duration), w.r.IntN(12) > 0
}

// ask has what happen at the other end, and then back here with what it returned; lost where a message is lost. The process
// that asked hears it once it goes on, and not at all if it is a new one.
func (w *world) ask(p *person, there func() any, back func(any), lost func()) {
	life := p.life
	here := func(do func()) {
		var run func()
		run = func() {
			switch {
			case p.life != life:
			case p.still > w.now:
				w.after(p.still-w.now, run)
			default:
				do()
				p.wakes = 0
			}
		}
		run()
	}
	over := false
	once := func(do func()) func() {
		return func() {
			here(func() {
				if !over {
					over = true
					do()
				}
			})
		}
	}
	w.after(LeaseTerms.Duration, once(lost)) // it waits no longer; what it asked may yet come there
	to, comes := w.way()
	if !comes {
		return
	}
	w.after(to, func() {
		got := there()
		if from, comes := w.way(); comes {
			w.after(from, once(func() { back(got) }))
		}
	})
}

// owned is the store's answer about a lease.
type owned struct {
	lease.Record
	err error
}

func (w *world) lease(p *person, a leasedtask.Action) {
	w.ask(p, func() any {
		var rec lease.Record
		var err error
		at := lease.Instant(w.now)
		if a.Kind == leasedtask.ActionAcquire {
			rec, err = w.store.Leases().Acquire("release", p.name, at)
		} else {
			rec, err = w.store.Leases().Renew("release", p.name, a.Token)
		}
		if err == nil {
			w.store.Apply(document.Transaction{ID: fmt.Sprint("l", w.r.Uint64()), Operations: []document.Operation{{Lease: &rec}}}, at)
		}
		return owned{rec, err}
	}, func(got any) {
		if o := got.(owned); o.err == nil {
			p.HandleGrant(a.RequestID, o.Token)
		} else {
			p.HandleRejection(a.RequestID, w.clock(p))
		}
	}, func() { p.HandleLeaseTimeout(w.clock(p)) })
}

func (w *world) act(p *person) {
	a := p.NextAction(w.clock(p))
	switch a.Kind {
	case leasedtask.ActionWait:
		p.wakes = w.now + time.Duration(float64(a.WakeAt-w.clock(p))/p.rate)
	case leasedtask.ActionAcquire, leasedtask.ActionRenew:
		w.lease(p, a)
	case leasedtask.ActionReadRecord:
		w.ask(p, func() any { return w.store.Get(record) }, func(got any) {
			d := got.(document.Document)
			var rec leasedtask.Record
			if d.Version > 0 {
				if err := json.Unmarshal([]byte(d.Value), &rec); err != nil {
					w.wrong = err.Error()
				}
			}
			p.HandleRecord(rec, d.Version)
		}, func() { p.HandleRecordTimeout(w.clock(p)) })
	case leasedtask.ActionWriteRecord:
		text, err := json.Marshal(a.Record)
		if err != nil {
			w.wrong = err.Error()
		}
		t := document.Transaction{ID: a.ID, Author: p.name, Operations: []document.Operation{{Key: record, Value: string(text)}},
			Conditions: []document.Condition{{Task: "release", Token: a.Token}, {Key: record, Version: a.Version}}}
		if w.mutant == "writes without the token" {
			t.Conditions, t.ID = nil, fmt.Sprint(w.r.Uint64())
		}
		if w.mutant == "step not recorded" && a.Record.State != leasedtask.StateCompleted { // but said to be
			w.ask(p, func() any { return w.store.Get(record).Version }, func(got any) { p.HandleWritten(got.(uint64)) }, func() { p.HandleRecordTimeout(w.clock(p)) })
			return
		}
		w.ask(p, func() any { return w.store.Apply(t, lease.Instant(w.now)) }, func(got any) {
			if r := got.(document.Result); r.Committed {
				p.HandleWritten(r.Revision)
			} else {
				p.HandleConflict(w.clock(p))
			}
		}, func() { p.HandleRecordTimeout(w.clock(p)) })
	case leasedtask.ActionRunStep:
		w.ask(p, func() any { return w.effect(a) }, func(got any) {
			err, _ := got.(error)
			p.HandleStepResult(err, w.clock(p))
		}, func() { p.HandleStepResult(errors.New("no answer"), w.clock(p)) })
	case leasedtask.ActionHandOver:
		rec, err := w.store.Leases().HandOver("release", p.name, a.Token, "")
		if err == nil {
			w.store.Apply(document.Transaction{ID: fmt.Sprint("h", w.r.Uint64()), Operations: []document.Operation{{Lease: &rec}}}, lease.Instant(w.now))
		}
	case leasedtask.ActionStop:
		p.wakes = 1 << 62
	}
}

// effect is a step at its receiver: fenced, and done once for its id.
func (w *world) effect(a leasedtask.Action) error {
	do := func() error {
		if a.Record.JobID == w.job && a.ID <= w.step && w.mutant != "repeats not known" {
			return nil
		}
		w.job, w.step = a.Record.JobID, a.ID
		if a.Token < w.highest {
			w.wrong = fmt.Sprintf("at %v step %s was done under token %d after %d", w.now, a.ID, a.Token, w.highest)
		}
		if rec, _ := w.last(); rec.JobID != a.Record.JobID || rec.Step != a.Record.Step || rec.State != leasedtask.StateStarted {
			w.wrong = fmt.Sprintf("at %v step %s was done while %+v was on record", w.now, a.ID, rec)
		}
		w.highest = max(w.highest, a.Token)
		if w.effects[a.ID]++; w.effects[a.ID] > 1 {
			w.wrong = fmt.Sprintf("at %v step %s was done again", w.now, a.ID)
		}
		return nil
	}
	if w.mutant == "no fence" {
		return do()
	}
	return w.gate.Do("release", a.Token, do)
}

// last is the job on record, as a member of the store has it.
func (w *world) last() (rec leasedtask.Record, n int) {
	if d := w.store.Get(record); d.Version > 0 {
		if err := json.Unmarshal([]byte(d.Value), &rec); err != nil {
			w.wrong = err.Error()
		}
		fmt.Sscanf(rec.JobID, "j%d", &n)
	}
	return rec, n
}

// person is a new process: it goes on with the job on record, or begins the next one after it.
func (w *world) person(name string, life int) *person {
	j := leasedtask.Job{ID: "j1"}
	if rec, n := w.last(); rec.Finished() {
		j.ID, j.Predecessor = fmt.Sprint("j", n+1), rec.JobID
	} else if n > 0 {
		j.ID, j.Predecessor = rec.JobID, fmt.Sprint("j", n-1)
	}
	if j.Predecessor == "j0" {
		j.Predecessor = ""
	}
	j.Steps, j.MaxAttempts, j.RetryDelay = []string{"a", "b", "c", "d"}, 50, time.Second
	r, err := leasedtask.NewRunner(j, LeaseTerms)
	if err != nil {
		panic(err)
	}
	return &person{Runner: r, name: name, rate: 1 + LeaseTerms.MaxDrift*(2*float64(w.r.IntN(2))-1), life: life}
}

// Mutants are faults of the program itself that a walk can be played with, to show that it sees them.
var Mutants = []string{"no fence", "repeats not known", "writes without the token", "step not recorded"}

// Run plays a seed: faults for a while, then none for 40 s, by the end of which what was open and two jobs more have to be
// done. It returns what did not hold: a step's effect that happened twice, under a token after a higher one or while its step was
// not on record as begun, or work that does not go on; empty: all held. mutant is one of Mutants, or empty.
func Run(seed uint64, mutant string) string {
	w := &world{r: rand.New(rand.NewPCG(seed, 26)), effects: map[string]int{}, mutant: mutant}
	var err error
	if w.store, err = document.New(document.DefaultLimits, LeaseTerms); err != nil {
		return err.Error()
	}
	w.kept = memory{}
	w.restart()
	for i := range 3 {
		w.people = append(w.people, w.person(fmt.Sprint("p", i), 0))
	}
	for step := range 1200 {
		w.now += 100 * time.Millisecond
		if w.calm = step > 800; step == 800 {
			_, w.open = w.last()
		}
		for i := 0; i < len(w.queue); i++ {
			if e := w.queue[i]; e.at <= w.now {
				w.queue = append(w.queue[:i], w.queue[i+1:]...)
				i = -1
				e.do()
			}
		}
		if !w.calm && w.r.IntN(10) == 0 {
			w.restart()
		}
		for i, p := range w.people {
			switch {
			case p.still > w.now:
			case !w.calm && w.r.IntN(80) == 0:
				p.still = w.now + w.some(3*LeaseTerms.Duration)
			case !w.calm && w.r.IntN(400) == 0: // it dies, and comes back knowing nothing
				p.life++
				w.people[i].Runner = w.person(p.name, p.life).Runner
				p.wakes = 0
			case !w.calm && w.r.IntN(300) == 0:
				p.StopAfterStep()
			case p.wakes <= w.now:
				w.act(p)
			}
			if p.wakes == 1<<62 { // it has left, or its job has ended: another comes in its place
				p.life++
				w.people[i].Runner = w.person(p.name, p.life).Runner
				p.wakes = 0
			}
		}
		if w.wrong != "" {
			return w.wrong
		}
	}
	// What was open as the faults ended has long been done, and more after it.
	if rec, n := w.last(); n < w.open+2 {
		return fmt.Sprintf("40 s after the faults the record is %+v; j%d was open as they ended", rec, w.open)
	}
	return ""
}
