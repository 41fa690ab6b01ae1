// Package modelcheck plays permits through random fleets: nodes that go out and come back, keepers that take each other's place, operators
// that ask, take back, halt and resume, and the store that they agree through, in one simulated time. Messages take any time and are
// lost either way; nodes stand still at any point, die, come back as another version, fall sick and silent. The decisions are the real
// ones (packages permit, budget, lease and document). What must hold is checked at each instant.
package modelcheck

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// Terms are those of the window and of the keeper's duty in every world.
var Terms = lease.Terms{Length: 3 * time.Second, Drift: 0.02, Margin: 300 * time.Millisecond}

const (
	step   = 100 * time.Millisecond
	settle = 3 * time.Second
	duty   = "permits"
)

type event struct {
	at time.Duration
	do func()
}

// node is one process, or the one that took its place.
type node struct {
	name  string
	zone  string
	agent *drainpermit.Agent
	life  int
	rate  float64
	still time.Duration
	dead  time.Duration // 0: it runs
	label string
	to    string // what it is replaced by, when it starts
	sick  time.Duration
	began time.Duration // in service and well since
	sees  drainpermit.Sight
	seen  bool
	busy  int // requests in hand

	served, failed uint64        // since its process began
	since          time.Duration // when that was
	chance         *rand.Rand    // of what it serves

	reported drainpermit.Report
	heard    time.Duration // when the store had its last report
	out      bool          // out of service by a permit, to be seen from outside
	choice   bool          // it went out by choice, and is not in and well for long enough yet
}

// candidate is one of those that take turns at a duty.
type candidate struct {
	name  string
	token uint64
	until time.Duration
	still time.Duration
	rate  float64
	looks map[string]time.Duration // when it first saw each node
	busy  time.Duration
}

// keeper is a candidate for the permits.
type keeper struct {
	candidate
	k drainpermit.Keeper
}

type world struct {
	r       *rand.Rand
	now     time.Duration
	queue   []event
	store   *document.State
	nodes   []*node
	keepers []*keeper
	release *course // nil: nodes are asked for by people only
	rules   disruption.Rules
	mutant  string
	calm    bool
	ids     int
	halted  map[string]time.Duration // acknowledged
	asks    map[string]parsed[drainpermit.Ask]
	permits map[string]parsed[drainpermit.Permit]
	Met     map[string]int
	wrong   string
}

func (w *world) id() string {
	w.ids++
	return fmt.Sprint("id", w.ids)
}

func (w *world) fail(format string, args ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf("at %v ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) after(d time.Duration, do func()) { w.queue = append(w.queue, event{w.now + d, do}) }

func (w *world) clock(rate float64) lease.Instant { return lease.Instant(float64(w.now) * rate) }

// way is how long a message takes, and whether it comes.
func (w *world) way() (time.Duration, bool) {
	if w.calm {
		return step / 2, true
	}
	x := w.r.Float64()
	return time.Duration(x * x * x * x * float64(Terms.Length+Terms.Length/5)), w.r.IntN(20) > 0
}

// apply has the store make a transaction; its reply comes back or not.
func (w *world) apply(t document.Transaction, back func(r document.Result, answered bool)) {
	over := false
	once := func(r document.Result, ok bool) func() {
		return func() {
			if !over {
				over = true
				back(r, ok)
			}
		}
	}
	w.after(Terms.Length, once(document.Result{}, false))
	to, comes := w.way()
	if !comes {
		return
	}
	w.after(to, func() {
		r := w.store.Apply(t, lease.Instant(w.now))
		if r.Made {
			w.made(t)
		}
		if from, comes := w.way(); comes {
			w.after(from, once(r, true))
		}
	})
}

// awake has something happen at a node once it runs on, and not at all if another process has taken its place.
func (w *world) awake(n *node, life int, do func()) {
	var run func()
	run = func() {
		switch {
		case n.life != life:
		case n.still > w.now:
			w.after(n.still-w.now, run)
		default:
			do()
		}
	}
	run()
}

// parsed is a document as it was read last.
type parsed[T any] struct {
	version uint64
	value   T
}

// read reads a document, once for each of its versions.
func read[T drainpermit.Ask | drainpermit.Permit | disruption.Rules](w *world, was map[string]parsed[T], d document.Document) T {
	if p, known := was[d.Key]; known && p.version == d.Version {
		return p.value
	}
	v, err := drainpermit.Read[T](d.Value)
	if err != nil {
		w.fail("%v", err)
	}
	was[d.Key] = parsed[T]{d.Version, v}
	return v
}

// own is what a node sees of the store, as one of its members has it: perhaps an old state.
func (w *world) own(n *node) {
	s := drainpermit.Sight{Revision: w.store.Revision()}
	if d := w.store.Get(drainpermit.AskKey(n.name)); d.Version > 0 {
		a := read(w, w.asks, d)
		s.Ask, s.AskVersion = &a, d.Version
	}
	if d := w.store.Get(drainpermit.PermitKey(n.name)); d.Version > 0 {
		p := read(w, w.permits, d)
		s.Permit, s.PermitVersion = &p, d.Version
	}
	life := n.life
	if late, comes := w.way(); comes {
		w.after(late, func() { w.awake(n, life, func() { n.sees, n.seen = s, true }) })
	}
}

func (w *world) healthy(n *node) bool { return n.sick <= w.now && w.now-n.began >= 0 }

func (w *world) act(n *node) {
	now := w.clock(n.rate)
	s := n.sees
	s.InHand, s.Well = n.busy, w.healthy(n)
	life := n.life
	switch a := n.agent.Next(s, now); a.Kind {
	case drainpermit.Begin:
		t := drainpermit.Begins(n.name, s, a.Permit, w.id())
		if w.mutant == "halt not looked at" {
			t.If = t.If[:2]
		}
		if w.mutant == "old permit still good" {
			t.If = nil
		}
		w.apply(t, func(r document.Result, answered bool) {
			w.awake(n, life, func() {
				if n.agent.Began(answered && r.Made, r.Revision, w.clock(n.rate)) || w.mutant == "window not counted" && answered && r.Made {
					w.leaves(n, s.Ask, true)
				}
			})
		})
	case drainpermit.Leave:
		w.leaves(n, s.Ask, false)
	case drainpermit.Enter:
		n.agent.Entered(now)
		n.out, n.began = false, w.now
	case drainpermit.Replace:
		w.apply(drainpermit.Writes(n.name, s, a, w.id()), func(r document.Result, answered bool) {
			w.awake(n, life, func() {
				if !answered || !r.Made {
					n.agent.Noted(false, 0)
					return
				}
				w.Met["replaced"]++
				n.to = s.Ask.To
				if !w.calm && w.r.IntN(8) == 0 {
					n.to = "a third" // it comes back as what nobody wanted
				}
				w.dies(n, time.Second)
			})
		})
	case drainpermit.Note, drainpermit.GiveBack, drainpermit.Fail:
		w.apply(drainpermit.Writes(n.name, s, a, w.id()), func(r document.Result, answered bool) {
			w.awake(n, life, func() { n.agent.Noted(answered && r.Made, r.Revision) })
		})
	}
}

// leaves has a node go out of service, first: as the beginning of its being out.
func (w *world) leaves(n *node, a *drainpermit.Ask, first bool) {
	n.agent.Left(w.clock(n.rate))
	n.out, n.choice = true, true
	w.Met["out"]++
	if !first {
		return
	}
	for _, halt := range []string{drainpermit.All, a.Release} {
		if at, halted := w.halted[halt]; halted && halt != "" {
			w.fail("%s began to go out, %v after a halt of %q was acknowledged", n.name, w.now-at, halt)
		}
	}
}

// dies has a node's process end; another one starts in its place.
func (w *world) dies(n *node, back time.Duration) {
	n.life++
	n.dead, n.out, n.seen = w.now+back, false, false
}

// settle is for how long a node is to be in and well before it counts as in.
func (w *world) settle() time.Duration {
	if w.mutant == "warming counts as in" {
		return 0
	}
	return settle
}

func (w *world) start(n *node) {
	if n.to != "" {
		n.label, n.to = n.to, ""
	}
	n.dead, n.began, n.busy, n.still, n.out = 0, w.now, 0, 0, false
	n.served, n.failed, n.since = 0, 0, w.now
	n.agent = drainpermit.NewAgent(drainpermit.Node{Release: n.label, Terms: Terms, Settle: w.settle(), Tries: 2})
}

// report has a node tell the store of itself.
func (w *world) report(n *node) {
	r := drainpermit.Report{State: "ready", Well: w.healthy(n), InMS: (w.now - n.began).Milliseconds(), Zone: n.zone, Release: n.label, Since: (n.since + time.Second).Milliseconds(), Served: n.served, Failed: n.failed}
	if n.out {
		r.State, r.InMS = "out of service", 0
	}
	if !r.Well {
		n.began, r.InMS = w.now, 0
	}
	if late, comes := w.way(); comes {
		w.after(late, func() { n.reported, n.heard = r, w.now })
	}
}

// view is what a candidate reads, confirmed.
func (w *world) view(k *candidate) (drainpermit.View, drainpermit.Versions) {
	by := drainpermit.Parsed{
		Ask:    func(d document.Document) (drainpermit.Ask, error) { return read(w, w.asks, d), nil },
		Permit: func(d document.Document) (drainpermit.Permit, error) { return read(w, w.permits, d), nil },
	}
	v, at, err := drainpermit.ViewOf(w.store.List(""), by, w.now.Milliseconds())
	if err != nil {
		w.fail("%v", err)
	}
	for _, n := range w.nodes {
		s := drainpermit.Seen{Name: n.name, Report: n.reported}
		if first, known := k.looks[n.name]; !known {
			k.looks[n.name] = w.now
			s.Quiet = disruption.Unknown
		} else if n.heard <= first {
			s.Quiet = disruption.Unknown
		}
		if w.now-n.heard > 2*time.Second {
			s.Quiet = disruption.Silent
		}
		v.Members = append(v.Members, s)
	}
	return v, at
}

func (w *world) candidate(i int) candidate {
	return candidate{name: fmt.Sprint("c", i), rate: 1 + Terms.Drift*(2*float64(w.r.IntN(2))-1), looks: map[string]time.Duration{}}
}

// moves says whether a candidate does not stand still now.
func (w *world) moves(k *candidate) bool {
	switch {
	case k.still > w.now:
		return false
	case !w.calm && w.r.IntN(80) == 0:
		k.still = w.now + time.Duration(w.r.Float64()*float64(3*Terms.Length))
		return false
	}
	return true
}

// holds says whether a candidate has its duty now; fresh: since just now.
func (w *world) holds(k *candidate, duty string) (mine, fresh bool) {
	agree := func(rec lease.Record, err error) bool {
		if err == nil {
			w.store.Apply(document.Transaction{ID: w.id(), Do: []document.Operation{{Lease: &rec}}}, lease.Instant(w.now))
			k.token, k.until = rec.Token, w.now+Terms.Hold()
		}
		return err == nil
	}
	if k.until <= w.now {
		if !agree(w.store.Leases().Take(duty, k.name, lease.Instant(w.now))) {
			return false, false
		}
		k.looks = map[string]time.Duration{}
		return true, true
	}
	if k.until-w.now < Terms.Hold()/2 {
		agree(w.store.Leases().Renew(duty, k.name, k.token))
	}
	return true, false
}

func (w *world) keep(k *keeper) {
	if k.busy > w.now {
		return
	}
	mine, fresh := w.holds(&k.candidate, duty)
	if fresh {
		k.k = drainpermit.Keeper{Terms: Terms, Settle: w.settle()}
		w.Met["keepers"]++
	}
	if !mine || fresh {
		return
	}
	v, at := w.view(&k.candidate)
	s := k.k.Decide(v, w.clock(k.rate))
	w.Met["refused"] += len(s.Refused)
	if k.busy = w.now + step; !w.calm {
		k.busy += time.Duration(w.r.IntN(1500)) * time.Millisecond
	}
	list := s.Transactions(v, at, duty, k.token, "keeper", w.id)
	late := time.Duration(0)
	if !w.calm && w.r.IntN(10) == 0 { // it stands still between its look and the write
		late = time.Duration(w.r.Float64() * float64(2*Terms.Length))
	}
	for _, t := range list {
		if w.mutant == "counted before others were granted" && len(t.If) > 3 {
			t.If = slices.DeleteFunc(t.If, func(c document.Condition) bool { return c.Key == drainpermit.Head || c.Duty != "" })
		}
		if w.mutant == "lapse frees a begun permit" && t.Why == "a permit ends" {
			t.If = nil
		}
		k.busy = w.now + late + time.Second // it waits no longer for the answer; what it asked may yet be made
		w.after(late, func() { w.apply(t, func(document.Result, bool) {}) })
	}
}

// put writes a document as an operator does, who hears the answer.
func (w *world) put(key, value string) {
	w.store.Apply(document.Transaction{ID: w.id(), By: "op", Do: []document.Operation{{Key: key, Value: value, Delete: value == ""}}}, lease.Instant(w.now))
}

// halt has an operator halt, which is acknowledged once no window is open.
func (w *world) halt(what string) {
	w.put(drainpermit.Halts+what, "op")
	at, mine := w.now, w.store.Get(drainpermit.Halts+what).Version
	w.after(Terms.Length, func() {
		if w.store.Get(drainpermit.Halts+what).Version == mine && w.halted[what] == 0 {
			w.Met["halted"]++
			w.halted[what] = at + Terms.Length
		}
	})
}

// operate is people and releases: they ask, take back, halt and resume.
func (w *world) operate() {
	n := w.nodes[w.r.IntN(len(w.nodes))]
	key := drainpermit.AskKey(n.name)
	put := w.put
	switch x := w.r.IntN(20); {
	case x < 8 && w.store.Get(key).Version == 0:
		a := drainpermit.Ask{ID: w.id(), By: "op", Urgent: w.r.IntN(4) == 0}
		if w.r.IntN(2) == 0 {
			a.Release, a.To = "r", fmt.Sprint("v", w.r.IntN(3))
		} else if w.r.IntN(3) == 0 {
			a.Until = (w.now + time.Duration(w.r.IntN(20))*time.Second).Milliseconds()
		}
		put(key, drainpermit.Text(a))
	case x < 10 && w.store.Get(key).Version > 0:
		put(key, "")
	case x == 12:
		w.halt([]string{drainpermit.All, "r"}[w.r.IntN(2)])
	case x < 18:
		for _, halt := range []string{drainpermit.All, "r"} {
			if w.r.IntN(2) == 0 {
				delete(w.halted, halt)
				if w.store.Get(drainpermit.Halts+halt).Version > 0 {
					put(drainpermit.Halts+halt, "")
				}
			}
		}
	}
}

func (w *world) fault(n *node) {
	switch w.r.IntN(500) {
	case 0, 1:
		n.still = w.now + time.Duration(w.r.Float64()*float64(3*Terms.Length))
	case 2:
		w.Met["killed"]++
		w.dies(n, time.Duration(w.r.IntN(4000))*time.Millisecond)
	case 3:
		n.sick = w.now + time.Duration(w.r.IntN(8000))*time.Millisecond
	}
}

// check holds the world to its budgets: of each group no more are out by choice than may be.
func (w *world) check() {
	var out []disruption.Member
	for _, n := range w.nodes {
		m := disruption.Member{Name: n.name, Labels: map[string]string{"zone": n.zone}}
		if n.choice = n.choice && (n.out || n.dead > 0 || !w.healthy(n) || w.now-n.began < settle*9/10); n.choice {
			m.Out = disruption.Permit
		}
		out = append(out, m)
	}
	if over := disruption.Over(w.rules, out); len(over) > 0 {
		w.fail("too many out by choice: %v", over)
	}
}

// Mutants are faults of the program itself that a walk can be played with, to show that it sees them.
var Mutants = []string{"halt not looked at", "old permit still good", "window not counted", "counted before others were granted", "lapse frees a begun permit", "warming counts as in"}

// Play plays a seed: faults for a while, then none, by the end of which every wish has had its way. It returns what did not hold: more
// out by choice than a budget lets, one that began to go out after a halt was acknowledged, or wishes that nothing comes of; empty: all
// held. met counts what happened. mutant is one of Mutants, or empty.
func Play(seed uint64, mutant string) (wrong string, met map[string]int) {
	return play(seed, mutant, 0, false)
}

// PlayOf is Play with a fleet of so many nodes.
func PlayOf(nodes int, seed uint64, mutant string) (wrong string, met map[string]int) {
	return play(seed, mutant, nodes, false)
}

func play(seed uint64, mutant string, nodes int, releases bool) (wrong string, met map[string]int) {
	w := &world{r: rand.New(rand.NewPCG(seed, 26)), mutant: mutant, Met: map[string]int{}, halted: map[string]time.Duration{},
		asks: map[string]parsed[drainpermit.Ask]{}, permits: map[string]parsed[drainpermit.Permit]{}}
	var err error
	if w.store, err = document.New(document.Ordinary, Terms); err != nil {
		return err.Error(), nil
	}
	size, zones := 1+w.r.IntN(9), 1+w.r.IntN(3)
	if seed%50 == 0 && !releases {
		size = 60
	}
	if nodes > 0 {
		size = nodes
	}
	for i := range size {
		n := &node{name: fmt.Sprintf("n%03d", i), zone: fmt.Sprint("z", i%zones), rate: 1 + Terms.Drift*(2*float64(w.r.IntN(2))-1), label: "v0", began: -time.Minute}
		w.start(n)
		n.began = -time.Minute
		w.nodes = append(w.nodes, n)
	}
	for i := range 3 {
		w.keepers = append(w.keepers, &keeper{candidate: w.candidate(i)})
	}
	most := 1 + w.r.IntN(max(1, size/2))
	w.rules = disruption.Rules{{Group: "fleet", MostOut: &most}}
	if one := 1; zones > 1 {
		w.rules = append(w.rules, disruption.Rule{Group: "zone", MostOut: &one})
	}
	w.store.Apply(document.Transaction{ID: w.id(), Do: []document.Operation{{Key: drainpermit.Rules, Value: drainpermit.Text(w.rules)}}}, 0)
	calmAt, end := 60*time.Second, 60*time.Second+time.Duration(size)*20*time.Second+30*time.Second
	if releases {
		w.begin()
		end += 4 * time.Duration(size) * 60 * time.Second // there, and back
	}
	for ; w.now < end; w.now += step {
		if !w.calm && w.now >= calmAt {
			w.calm = true
			for _, d := range w.store.List(drainpermit.Halts) {
				w.store.Apply(document.Transaction{ID: w.id(), Do: []document.Operation{{Key: d.Key, Delete: true}}}, lease.Instant(w.now))
			}
			clear(w.halted)
			for _, d := range w.list("/ask") { // drains are taken back, releases go on
				if a := read(w, w.asks, d); a.Release == "" || a.Failed != "" && !releases {
					w.store.Apply(document.Transaction{ID: w.id(), Do: []document.Operation{{Key: d.Key, Delete: true}}}, lease.Instant(w.now))
				}
			}
		}
		for i := 0; i < len(w.queue); i++ {
			if e := w.queue[i]; e.at <= w.now {
				w.queue = slices.Delete(w.queue, i, i+1)
				i = -1
				e.do()
			}
		}
		switch {
		case releases:
			w.goOn()
		case !w.calm && w.r.IntN(4) == 0:
			w.operate()
		}
		for _, n := range w.nodes {
			if n.dead > 0 {
				if n.dead <= w.now {
					w.start(n)
				}
				continue
			}
			if !w.calm {
				w.fault(n)
			}
			if n.dead > 0 || n.still > w.now {
				continue
			}
			if n.out {
				n.busy = max(0, n.busy-1)
			} else {
				n.busy = 5
				w.serves(n)
			}
			if w.now/step%3 == 0 {
				w.own(n)
				w.report(n)
			}
			if n.seen {
				w.act(n)
			}
		}
		for _, k := range w.keepers {
			if w.moves(&k.candidate) {
				w.keep(k)
			}
		}
		if w.check(); w.wrong != "" {
			return w.wrong, w.Met
		}
		if w.calm && len(w.queue) == 0 && w.idle() {
			return "", w.Met
		}
	}
	if !w.idle() && w.release != nil {
		return fmt.Sprintf("%v after the faults: %s", w.now-calmAt, w.stands()), w.Met
	}
	if !w.idle() {
		left := maps.Collect(func(yield func(string, string) bool) {
			for _, d := range w.store.List(drainpermit.Prefix) {
				if !yield(d.Key, d.Value) {
					return
				}
			}
		})
		return fmt.Sprintf("%v after the faults of %d nodes in %d zones, %d of them out at most, there are %v", w.now-calmAt, size, zones, most, left), w.Met
	}
	return "", w.Met
}

// list is the documents of nodes that end so.
func (w *world) list(end string) []document.Document {
	return slices.DeleteFunc(w.store.List(drainpermit.Prefix), func(d document.Document) bool { return !strings.HasSuffix(d.Key, end) })
}

// idle says whether nothing is wanted any more, and nobody is out.
func (w *world) idle() bool {
	if w.release != nil && !w.release.ended(w) {
		return false
	}
	for _, d := range w.list("/ask") {
		if a := read(w, w.asks, d); a.Failed == "" {
			return false
		}
	}
	return len(w.list("/permit")) == 0
}
