package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/release"
	"sloehitch/internal/store/document"
)

const (
	good, bad = "good", "bad" // what a release may be to; bad fails a part of its requests
	soak      = 8 * time.Second
	span      = 500 * time.Millisecond
	late      = 40 * time.Second // in which a node should be back
)

var judging = canary.Terms{FalseAlarm: 0.0001, Looks: 1000, Least: 8} // ten thousand worlds are to have no false alarm

// course is a release through a world, its candidates, and what is known of it from outside.
type course struct {
	to     string
	owners []*owner
	ill    []time.Duration // when a service below begins to fail, for all nodes alike
	begun  bool
}

// owner is a candidate for the duty of releases.
type owner struct {
	candidate
	own   release.Owner
	judge *canary.Recorder
	taken time.Duration
}

// begin draws a release.
func (w *world) begin() {
	c := &course{to: good}
	if w.r.IntN(3) == 0 {
		c.to = bad
	}
	for i := range 3 {
		c.owners = append(c.owners, &owner{candidate: w.candidate(i)})
	}
	for range 3 {
		c.ill = append(c.ill, time.Duration(w.r.IntN(100))*time.Second)
	}
	w.release = c
}

// illness is the share of all nodes' requests that fails because of a service below.
func (c *course) illness(now time.Duration) float64 {
	for _, from := range c.ill {
		if now >= from && now < from+15*time.Second {
			return 0.15
		}
	}
	return 0.005
}

// serves has a node serve for one step.
func (w *world) serves(n *node) {
	if w.release == nil || !w.healthy(n) {
		return
	}
	share := w.release.illness(w.now)
	if n.label == bad {
		share += 0.3
	}
	for range 20 {
		if w.chance(n).Float64() < share {
			n.failed++
		} else {
			n.served++
		}
	}
}

// chance is a node's own: what it serves changes nothing of the rest of the course.
func (w *world) chance(n *node) *rand.Rand {
	if n.chance == nil {
		n.chance = rand.New(rand.NewPCG(w.r.Uint64(), 27))
	}
	return n.chance
}

// course is the release as it stands in the store.
func (w *world) course() (r release.Release, version uint64) {
	d := w.store.Get(release.Prefix + "r")
	if d.Version > 0 {
		var err error
		if r, err = release.Read(d); err != nil {
			w.fail("%v", err)
		}
	}
	return r, d.Version
}

// goOn is people and the owners of the release.
func (w *world) goOn() {
	r, version := w.course()
	switch {
	case !w.release.begun && w.now > 8*time.Second: // after some spans to compare with
		w.release.begun = true
		v, _ := w.view(&candidate{looks: map[string]time.Duration{}})
		r := release.Release{Name: "r", To: w.release.to, By: "op", State: release.Running, SoakMS: soak.Milliseconds(), LateMS: late.Milliseconds()}
		r.Waves, r.From = release.Plan(v.Members, r.To, 2)
		w.put(release.Prefix+"r", drainpermit.Text(r))
	case w.calm && w.now%(5*time.Second) == 0:
		w.tidy(r)
	case !w.calm && version > 0:
		w.meddle(r)
	}
	for _, o := range w.release.owners {
		if w.moves(&o.candidate) {
			w.turn(o)
		}
	}
}

// meddle is people while there are faults.
func (w *world) meddle(r release.Release) {
	n := w.nodes[w.r.IntN(len(w.nodes))]
	key := drainpermit.AskKey(n.name)
	switch x := w.r.IntN(1500); {
	case x < 3:
		w.halt("r")
	case x < 5:
		w.halt(drainpermit.All)
	case x < 25:
		for _, halt := range []string{drainpermit.All, "r"} {
			w.resume(halt)
		}
	case x == 25:
		if r.State == release.Running || r.State == release.Over {
			w.back(r)
		}
	case x < 34: // somebody drains a node meanwhile
		if w.store.Get(key).Version == 0 {
			w.put(key, drainpermit.Text(drainpermit.Ask{ID: w.id(), By: "op", Until: (w.now + 10*time.Second).Milliseconds()}))
		}
	}
}

func (w *world) resume(halt string) {
	delete(w.halted, halt)
	if w.store.Get(drainpermit.Halts+halt).Version > 0 {
		w.put(drainpermit.Halts+halt, "")
	}
}

func (w *world) back(r release.Release) {
	w.Met["back"]++
	r.State = release.Back
	w.put(release.Prefix+"r", drainpermit.Text(r))
	w.resume("r")
}

// tidy is people once the faults are over: what failed is taken back, and a release that has halted by itself goes back, or on with its
// way back.
func (w *world) tidy(r release.Release) {
	for _, d := range w.list("/ask") {
		if a := read(w, w.asks, d); a.Failed != "" {
			w.put(d.Key, "")
		}
	}
	if w.store.Get(drainpermit.Halts+"r").Version == 0 {
		return
	}
	if r.State == release.Running {
		w.back(r)
	} else {
		w.resume("r")
	}
}

// turn is one of a candidate for the duty of releases.
func (w *world) turn(o *owner) {
	if o.busy > w.now {
		return
	}
	mine, fresh := w.holds(&o.candidate, release.Duty)
	if fresh {
		o.own, o.judge = release.Owner{}, canary.NewRecorder(400)
		w.Met["owners"]++
	}
	if !mine || fresh {
		return
	}
	v, at := w.view(&o.candidate)
	r, version := w.course()
	if version == 0 {
		r.To = w.release.to
	}
	if w.now-o.taken >= span {
		o.taken = w.now
		o.judge.Take(r.Reports(v, w.settle()))
	}
	if o.busy = w.now + 2*step; version == 0 {
		return
	}
	nodes := o.judge.Nodes()
	if w.mutant == "judgement without pairing" {
		nodes = frozen(nodes)
	}
	j := canary.Judge(judging, nodes)
	if j.Worse && w.release.to == good {
		w.fail("a good version is called worse: %s", j.Why)
	}
	if w.mutant == "halt not looked at before a step" {
		clear(v.Halted)
	}
	s := o.own.Next(r, v, j, w.settle(), w.clock(o.rate))
	if s.Halt != "" {
		w.Met["halted by itself"]++
		if j.Worse {
			w.Met["called worse"]++
		}
	}
	wait := time.Duration(0)
	if !w.calm && w.r.IntN(10) == 0 { // it stands still between its look and the write
		wait = time.Duration(w.r.Float64() * float64(2*Terms.Length))
	}
	for _, t := range s.Transactions(r, v, at, o.token, o.name, w.id) {
		o.busy = w.now + wait + time.Second
		w.mutate(&t)
		w.after(wait, func() { w.apply(t, func(document.Result, bool) {}) })
	}
}

// mutate makes an owner's transaction what a faulty program would make.
func (w *world) mutate(t *document.Transaction) {
	asks := len(t.If) > 2 && len(t.Do) == 1 && !t.Do[0].Delete
	switch {
	case w.mutant == "halt not looked at before a step" && asks:
		t.If = t.If[:3]
	case w.mutant == "step of an overtaken owner" && asks:
		t.If = t.If[2:]
	case w.mutant == "way back ignores the budget" && asks:
		if a, err := drainpermit.Read[drainpermit.Ask](t.Do[0].Value); err == nil && a.To != w.release.to {
			node := t.Do[0].Key[len(drainpermit.Prefix) : len(t.Do[0].Key)-len("/ask")]
			t.Do = append(t.Do, document.Operation{Key: drainpermit.PermitKey(node), Value: drainpermit.Text(drainpermit.Permit{ID: w.id(), Ask: a.ID, State: drainpermit.Granted})})
		}
	}
}

// made holds an owner's transaction that was made to what was promised.
func (w *world) made(t document.Transaction) {
	if w.release == nil {
		return
	}
	for _, do := range t.Do {
		if do.Delete || do.Lease != nil || len(do.Key) <= len(drainpermit.Prefix)+len("/ask") || do.Key[:len(drainpermit.Prefix)] != drainpermit.Prefix || do.Key[len(do.Key)-len("/ask"):] != "/ask" {
			continue
		}
		a, err := drainpermit.Read[drainpermit.Ask](do.Value)
		if err != nil || a.Release == "" || a.Failed != "" || t.Why == "a permit ends" {
			continue
		}
		w.Met["steps"]++
		r, _ := w.course()
		if (a.To == r.To) != (r.State == release.Running) {
			w.fail("%s is asked to become %q while the release to %q is %s", do.Key, a.To, r.To, r.State)
		}
		if at, halted := w.halted[a.Release]; halted {
			w.fail("%s is asked for %v after a halt was acknowledged", do.Key, w.now-at)
		}
	}
}

// frozen are nodes of which those not changed stay for ever as they were at first: what is compared with them is compared with the past.
func frozen(nodes []canary.Node) []canary.Node {
	out := slices.Clone(nodes)
	for i := range out {
		if n := &out[i]; n.Changed == 0 && len(n.Spans) > 0 {
			first := slices.Index(n.Known, true)
			if first < 0 {
				continue
			}
			n.Spans = slices.Repeat([]canary.Span{n.Spans[first]}, len(n.Spans))
		}
	}
	return out
}

// ended says whether the release is over or undone, and holds it to that.
func (c *course) ended(w *world) bool {
	r, version := w.course()
	if version == 0 || r.State != release.Over && r.State != release.Undone {
		return false
	}
	for _, n := range w.nodes {
		if _, known := r.From[n.name]; n.dead == 0 && (n.label == r.To) != (r.State == release.Over) && (known || r.State == release.Over) {
			if r.State == release.Over || n.label == r.To {
				w.fail("the release is %s, and %s runs %q", r.State, n.name, n.label)
			}
		}
	}
	return true
}

// stands says how far the release is, for people.
func (w *world) stands() string {
	r, _ := w.course()
	v, _ := w.view(&candidate{looks: map[string]time.Duration{}})
	return fmt.Sprintf("%s; %v", release.Progress(r, v), v.Permits)
}

// ReleaseMutants are faults that Releases can be played with.
var ReleaseMutants = []string{"halt not looked at before a step", "step of an overtaken owner", "way back ignores the budget", "judgement without pairing"}

// Releases plays a seed as Play does, with a release through the fleet: good or bad, owners that stand still and take each other's place,
// people that halt, resume, have it go back and drain nodes meanwhile. Beside the budgets and halts it holds that nobody is asked to go
// out for a release after its halt was acknowledged, nor to become what its state does not want; that a good version is not called worse,
// whatever the services below do; and that in the end all run what it is to, or none do.
func Releases(seed uint64, mutant string) (wrong string, met map[string]int) {
	return play(seed, mutant, 0, true)
}
