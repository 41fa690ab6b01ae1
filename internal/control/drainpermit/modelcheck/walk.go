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
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// LeaseTerms are those of the window and of the keeper's duty in every world.
var LeaseTerms = lease.Terms{Duration: 3 * time.Second, MaxDrift: 0.02, SafetyMargin: 300 * time.Millisecond}

const (
	tick      = 100 * time.Millisecond
	minReady  = 3 * time.Second
	grantTask = "permits"
)

type timedEvent struct {
	at  time.Duration
	run func()
}

// node is one process, or the one that took its place.
type node struct {
	name           string
	zone           string
	agent          *drainpermit.Agent
	incarnation    int
	clockRate      float64
	stalledUntil   time.Duration
	restartAt      time.Duration // 0: it runs
	version        string
	nextVersion    string // what it is replaced by, when it starts
	unhealthyUntil time.Duration
	healthySince   time.Duration // in service and well since
	observation    drainpermit.Observation
	observed       bool
	inFlight       int // requests in hand

	served, failed uint64        // since its process began
	processStart   time.Duration // when that was
	random         *rand.Rand    // of what it serves

	reported     fleetstate.NodeReport
	reportedAt   time.Duration // when the store had its last report
	outOfService bool          // out of service by a permit, to be seen from outside
	voluntary    bool          // it went out by choice, and is not in and well for long enough yet
}

// candidate is one of those that take turns at a duty.
type candidate struct {
	name         string
	token        uint64
	heldUntil    time.Duration
	stalledUntil time.Duration
	clockRate    float64
	firstSeen    map[string]time.Duration // when it first saw each node
	busyUntil    time.Duration
}

// granter is a candidate for the permits.
type granter struct {
	candidate
	controller drainpermit.Controller
}

type world struct {
	random     *rand.Rand
	now        time.Duration
	queue      []timedEvent
	store      *document.State
	nodes      []*node
	granters   []*granter
	release    *rollout // nil: nodes are asked for by people only
	budgets    disruption.Budgets
	mutant     string
	faultsOver bool
	lastID     int
	haltedAt   map[string]time.Duration // acknowledged
	requests   map[string]cached[fleetstate.DrainRequest]
	permits    map[string]cached[fleetstate.Permit]
	counts     map[string]int
	violation  string
}

func (w *world) newID() string {
	w.lastID++
	return fmt.Sprint("id", w.lastID)
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.queue = append(w.queue, timedEvent{w.now + d, do})
}

func (w *world) clock(rate float64) lease.Instant { return lease.Instant(float64(w.now) * rate) }

// messageDelay is how long a message takes, and whether it comes.
func (w *world) messageDelay() (time.Duration, bool) {
	if w.faultsOver {
		return tick / 2, true
	}
	x := w.random.Float64()
	return time.Duration(x * x * x * x * float64(LeaseTerms.Duration+LeaseTerms.Duration/5)), w.random.IntN(20) > 0
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
	w.after(LeaseTerms.Duration, once(document.Result{}, false))
	to, comes := w.messageDelay()
	if !comes {
		return
	}
	w.after(to, func() {
		r := w.store.Apply(t, lease.Instant(w.now))
		if r.Committed {
			w.checkReleaseRequests(t)
		}
		if from, comes := w.messageDelay(); comes {
			w.after(from, once(r, true))
		}
	})
}

// whenRunning has something happen at a node once it runs on, and not at all if another process has taken its place.
func (w *world) whenRunning(n *node, life int, do func()) {
	var run func()
	run = func() {
		switch {
		case n.incarnation != life:
		case n.stalledUntil > w.now:
			w.after(n.stalledUntil-w.now, run)
		default:
			do()
		}
	}
	run()
}

// cached is a document as it was read last.
type cached[T any] struct {
	version uint64
	value   T
}

// decodeCached reads a document, once for each of its versions.
func decodeCached[T fleetstate.DrainRequest | fleetstate.Permit | disruption.Budgets](w *world, was map[string]cached[T], d document.Document) T {
	if p, known := was[d.Key]; known && p.version == d.Version {
		return p.value
	}
	v, err := fleetstate.Decode[T](d.Value)
	if err != nil {
		w.fail("%v", err)
	}
	was[d.Key] = cached[T]{d.Version, v}
	return v
}

// observe is what a node sees of the store, as one of its members has it: perhaps an old state.
func (w *world) observe(n *node) {
	s := drainpermit.Observation{Revision: w.store.Revision()}
	if d := w.store.Get(fleetstate.RequestKey(n.name)); d.Version > 0 {
		a := decodeCached(w, w.requests, d)
		s.Request, s.RequestVersion = &a, d.Version
	}
	if d := w.store.Get(fleetstate.PermitKey(n.name)); d.Version > 0 {
		p := decodeCached(w, w.permits, d)
		s.Permit, s.PermitVersion = &p, d.Version
	}
	life := n.incarnation
	if late, comes := w.messageDelay(); comes {
		w.after(late, func() { w.whenRunning(n, life, func() { n.observation, n.observed = s, true }) })
	}
}

func (w *world) healthy(n *node) bool { return n.unhealthyUntil <= w.now && w.now-n.healthySince >= 0 }

func (w *world) runAgent(n *node) {
	now := w.clock(n.clockRate)
	s := n.observation
	s.InFlight, s.Healthy = n.inFlight, w.healthy(n)
	life := n.incarnation
	switch a := n.agent.NextAction(s, now); a.Kind {
	case drainpermit.ActionStart:
		t := drainpermit.StartTransaction(n.name, s, a.Permit, w.newID())
		if w.mutant == "halt not looked at" {
			t.Conditions = t.Conditions[:2]
		}
		if w.mutant == "old permit still good" {
			t.Conditions = nil
		}
		w.apply(t, func(r document.Result, answered bool) {
			w.whenRunning(n, life, func() {
				if n.agent.HandleStartResult(answered && r.Committed, r.Revision, w.clock(n.clockRate)) || w.mutant == "window not counted" && answered && r.Committed {
					w.leaveService(n, s.Request, true)
				}
			})
		})
	case drainpermit.ActionLeaveService:
		w.leaveService(n, s.Request, false)
	case drainpermit.ActionEnterService:
		n.agent.EnteredService(now)
		n.outOfService, n.healthySince = false, w.now
	case drainpermit.ActionReplaceProcess:
		w.apply(drainpermit.ActionTransaction(n.name, s, a, w.newID()), func(r document.Result, answered bool) {
			w.whenRunning(n, life, func() {
				if !answered || !r.Committed {
					n.agent.HandleWriteResult(false, 0)
					return
				}
				w.counts["replaced"]++
				n.nextVersion = s.Request.TargetVersion
				if !w.faultsOver && w.random.IntN(8) == 0 {
					n.nextVersion = "a third" // it comes back as what nobody wanted
				}
				w.kill(n, time.Second)
			})
		})
	case drainpermit.ActionUpdatePermit, drainpermit.ActionReturnPermit, drainpermit.ActionFailRequest:
		w.apply(drainpermit.ActionTransaction(n.name, s, a, w.newID()), func(r document.Result, answered bool) {
			w.whenRunning(n, life, func() { n.agent.HandleWriteResult(answered && r.Committed, r.Revision) })
		})
	}
}

// leaveService has a node go out of service, first: as the beginning of its being out.
func (w *world) leaveService(n *node, a *fleetstate.DrainRequest, first bool) {
	n.agent.LeftService(w.clock(n.clockRate))
	n.outOfService, n.voluntary = true, true
	w.counts["out"]++
	if !first {
		return
	}
	for _, halt := range []string{fleetstate.HaltAll, a.ReleaseName} {
		if at, halted := w.haltedAt[halt]; halted && halt != "" {
			w.fail("%s began to go out, %v after a halt of %q was acknowledged", n.name, w.now-at, halt)
		}
	}
}

// kill has a node's process end; another one starts in its place.
func (w *world) kill(n *node, back time.Duration) {
	n.incarnation++
	n.restartAt, n.outOfService, n.observed = w.now+back, false, false
}

// minReady is for how long a node is to be in and well before it counts as in.
func (w *world) minReady() time.Duration {
	if w.mutant == "warming counts as in" {
		return 0
	}
	return minReady
}

func (w *world) startProcess(n *node) {
	if n.nextVersion != "" {
		n.version, n.nextVersion = n.nextVersion, ""
	}
	n.restartAt, n.healthySince, n.inFlight, n.stalledUntil, n.outOfService = 0, w.now, 0, 0, false
	n.served, n.failed, n.processStart = 0, 0, w.now
	n.agent = drainpermit.NewAgent(drainpermit.AgentOptions{DeployedVersion: n.version, Terms: LeaseTerms, MinReady: w.minReady(), MaxReplaceAttempts: 2})
}

// report has a node tell the store of itself.
func (w *world) report(n *node) {
	r := fleetstate.NodeReport{State: "ready", Healthy: w.healthy(n), InServiceMS: (w.now - n.healthySince).Milliseconds(), Zone: n.zone, DeployedVersion: n.version, ProcessStartMS: (n.processStart + time.Second).Milliseconds(), Served: n.served, Failed: n.failed}
	if n.outOfService {
		r.State, r.InServiceMS = "out of service", 0
	}
	if !r.Healthy {
		n.healthySince, r.InServiceMS = w.now, 0
	}
	if late, comes := w.messageDelay(); comes {
		w.after(late, func() { n.reported, n.reportedAt = r, w.now })
	}
}

// view is what a candidate reads, confirmed.
func (w *world) view(k *candidate) (fleetstate.View, fleetstate.Versions) {
	by := fleetstate.Decoder{
		Request: func(d document.Document) (fleetstate.DrainRequest, error) { return decodeCached(w, w.requests, d), nil },
		Permit:  func(d document.Document) (fleetstate.Permit, error) { return decodeCached(w, w.permits, d), nil },
	}
	v, at, err := fleetstate.DecodeView(w.store.List(""), by, w.now.Milliseconds())
	if err != nil {
		w.fail("%v", err)
	}
	for _, n := range w.nodes {
		s := fleetstate.ObservedMember{Name: n.name, Report: n.reported}
		if first, known := k.firstSeen[n.name]; !known {
			k.firstSeen[n.name] = w.now
			s.Liveness = disruption.Unknown
		} else if n.reportedAt <= first {
			s.Liveness = disruption.Unknown
		}
		if w.now-n.reportedAt > 2*time.Second {
			s.Liveness = disruption.Silent
		}
		v.Members = append(v.Members, s)
	}
	return v, at
}

func (w *world) newCandidate(i int) candidate {
	return candidate{name: fmt.Sprint("c", i), clockRate: 1 + LeaseTerms.MaxDrift*(2*float64(w.random.IntN(2))-1), firstSeen: map[string]time.Duration{}}
}

// isRunning says whether a candidate does not stand still now.
func (w *world) isRunning(k *candidate) bool {
	switch {
	case k.stalledUntil > w.now:
		return false
	case !w.faultsOver && w.random.IntN(80) == 0:
		k.stalledUntil = w.now + time.Duration(w.random.Float64()*float64(3*LeaseTerms.Duration))
		return false
	}
	return true
}

// holdLease says whether a candidate has its duty now; fresh: since just now.
func (w *world) holdLease(k *candidate, duty string) (mine, fresh bool) {
	agree := func(rec lease.Record, err error) bool {
		if err == nil {
			w.store.Apply(document.Transaction{ID: w.newID(), Operations: []document.Operation{{Lease: &rec}}}, lease.Instant(w.now))
			k.token, k.heldUntil = rec.Token, w.now+LeaseTerms.HolderDuration()
		}
		return err == nil
	}
	if k.heldUntil <= w.now {
		if !agree(w.store.Leases().Acquire(duty, k.name, lease.Instant(w.now))) {
			return false, false
		}
		k.firstSeen = map[string]time.Duration{}
		return true, true
	}
	if k.heldUntil-w.now < LeaseTerms.HolderDuration()/2 {
		agree(w.store.Leases().Renew(duty, k.name, k.token))
	}
	return true, false
}

func (w *world) runGranter(k *granter) {
	if k.busyUntil > w.now {
		return
	}
	mine, fresh := w.holdLease(&k.candidate, grantTask)
	if fresh {
		k.controller = drainpermit.Controller{Terms: LeaseTerms, MinReady: w.minReady()}
		w.counts["keepers"]++
	}
	if !mine || fresh {
		return
	}
	v, at := w.view(&k.candidate)
	s := k.controller.Decide(v, w.clock(k.clockRate))
	w.counts["refused"] += len(s.Rejected)
	if k.busyUntil = w.now + tick; !w.faultsOver {
		k.busyUntil += time.Duration(w.random.IntN(1500)) * time.Millisecond
	}
	list := s.Transactions(v, at, grantTask, k.token, "keeper", w.newID)
	late := time.Duration(0)
	if !w.faultsOver && w.random.IntN(10) == 0 { // it stands still between its look and the write
		late = time.Duration(w.random.Float64() * float64(2*LeaseTerms.Duration))
	}
	for _, t := range list {
		if w.mutant == "counted before others were granted" && len(t.Conditions) > 3 {
			t.Conditions = slices.DeleteFunc(t.Conditions, func(c document.Condition) bool { return c.Key == fleetstate.LastGrantKey || c.Task != "" })
		}
		if w.mutant == "lapse frees a begun permit" && t.Reason == "a permit ends" {
			t.Conditions = nil
		}
		k.busyUntil = w.now + late + time.Second // it waits no longer for the answer; what it asked may yet be made
		w.after(late, func() { w.apply(t, func(document.Result, bool) {}) })
	}
}

// put writes a document as an operator does, who hears the answer.
func (w *world) put(key, value string) {
	w.store.Apply(document.Transaction{ID: w.newID(), Author: "op", Operations: []document.Operation{{Key: key, Value: value, Delete: value == ""}}}, lease.Instant(w.now))
}

// halt has an operator halt, which is acknowledged once no window is open.
func (w *world) halt(what string) {
	w.put(fleetstate.HaltKeyPrefix+what, "op")
	at, mine := w.now, w.store.Get(fleetstate.HaltKeyPrefix+what).Version
	w.after(LeaseTerms.Duration, func() {
		if w.store.Get(fleetstate.HaltKeyPrefix+what).Version == mine && w.haltedAt[what] == 0 {
			w.counts["halted"]++
			w.haltedAt[what] = at + LeaseTerms.Duration
		}
	})
}

// runOperator is people and releases: they ask, take back, halt and resume.
func (w *world) runOperator() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	key := fleetstate.RequestKey(n.name)
	put := w.put
	switch x := w.random.IntN(20); {
	case x < 8 && w.store.Get(key).Version == 0:
		a := fleetstate.DrainRequest{ID: w.newID(), RequestedBy: "op", Urgent: w.random.IntN(4) == 0}
		if w.random.IntN(2) == 0 {
			a.ReleaseName, a.TargetVersion = "r", fmt.Sprint("v", w.random.IntN(3))
		} else if w.random.IntN(3) == 0 {
			a.ExpiresAtMS = (w.now + time.Duration(w.random.IntN(20))*time.Second).Milliseconds()
		}
		put(key, fleetstate.Encode(a))
	case x < 10 && w.store.Get(key).Version > 0:
		put(key, "")
	case x == 12:
		w.halt([]string{fleetstate.HaltAll, "r"}[w.random.IntN(2)])
	case x < 18:
		for _, halt := range []string{fleetstate.HaltAll, "r"} {
			if w.random.IntN(2) == 0 {
				delete(w.haltedAt, halt)
				if w.store.Get(fleetstate.HaltKeyPrefix+halt).Version > 0 {
					put(fleetstate.HaltKeyPrefix+halt, "")
				}
			}
		}
	}
}

func (w *world) injectFault(n *node) {
	switch w.random.IntN(500) {
	case 0, 1:
		n.stalledUntil = w.now + time.Duration(w.random.Float64()*float64(3*LeaseTerms.Duration))
	case 2:
		w.counts["killed"]++
		w.kill(n, time.Duration(w.random.IntN(4000))*time.Millisecond)
	case 3:
		n.unhealthyUntil = w.now + time.Duration(w.random.IntN(8000))*time.Millisecond
	}
}

// checkBudgets holds the world to its budgets: of each group no more are out by choice than may be.
func (w *world) checkBudgets() {
	var out []disruption.Member
	for _, n := range w.nodes {
		m := disruption.Member{Name: n.name, Labels: map[string]string{"zone": n.zone}}
		if n.voluntary = n.voluntary && (n.outOfService || n.restartAt > 0 || !w.healthy(n) || w.now-n.healthySince < minReady*9/10); n.voluntary {
			m.Availability = disruption.HoldsPermit
		}
		out = append(out, m)
	}
	if over := disruption.Exceeded(w.budgets, out); len(over) > 0 {
		w.fail("too many out by choice: %v", over)
	}
}

// Mutants are faults of the program itself that a walk can be played with, to show that it sees them.
var Mutants = []string{"halt not looked at", "old permit still good", "window not counted", "counted before others were granted", "lapse frees a begun permit", "warming counts as in"}

// Run plays a seed: faults for a while, then none, by the end of which every wish has had its way. It returns what did not hold: more
// out by choice than a budget lets, one that began to go out after a halt was acknowledged, or wishes that nothing comes of; empty: all
// held. met counts what happened. mutant is one of Mutants, or empty.
func Run(seed uint64, mutant string) (wrong string, met map[string]int) {
	return run(seed, mutant, 0, false)
}

// RunFleet is Play with a fleet of so many nodes.
func RunFleet(nodes int, seed uint64, mutant string) (wrong string, met map[string]int) {
	return run(seed, mutant, nodes, false)
}

func run(seed uint64, mutant string, nodes int, releases bool) (wrong string, met map[string]int) {
	w := &world{random: rand.New(rand.NewPCG(seed, 26)), mutant: mutant, counts: map[string]int{}, haltedAt: map[string]time.Duration{},
		requests: map[string]cached[fleetstate.DrainRequest]{}, permits: map[string]cached[fleetstate.Permit]{}}
	var err error
	if w.store, err = document.New(document.DefaultLimits, LeaseTerms); err != nil {
		return err.Error(), nil
	}
	size, zones := 1+w.random.IntN(9), 1+w.random.IntN(3)
	if seed%50 == 0 && !releases {
		size = 60
	}
	if nodes > 0 {
		size = nodes
	}
	for i := range size {
		n := &node{name: fmt.Sprintf("n%03d", i), zone: fmt.Sprint("z", i%zones), clockRate: 1 + LeaseTerms.MaxDrift*(2*float64(w.random.IntN(2))-1), version: "v0", healthySince: -time.Minute}
		w.startProcess(n)
		n.healthySince = -time.Minute
		w.nodes = append(w.nodes, n)
	}
	for i := range 3 {
		w.granters = append(w.granters, &granter{candidate: w.newCandidate(i)})
	}
	most := 1 + w.random.IntN(max(1, size/2))
	w.budgets = disruption.Budgets{{Scope: "fleet", MaxUnavailable: &most}}
	if one := 1; zones > 1 {
		w.budgets = append(w.budgets, disruption.Budget{Scope: "zone", MaxUnavailable: &one})
	}
	w.store.Apply(document.Transaction{ID: w.newID(), Operations: []document.Operation{{Key: fleetstate.BudgetsKey, Value: fleetstate.Encode(w.budgets)}}}, 0)
	calmAt, end := 60*time.Second, 60*time.Second+time.Duration(size)*20*time.Second+30*time.Second
	if releases {
		w.planRelease()
		end += 4 * time.Duration(size) * 60 * time.Second // there, and back
	}
	for ; w.now < end; w.now += tick {
		if !w.faultsOver && w.now >= calmAt {
			w.faultsOver = true
			for _, d := range w.store.List(fleetstate.HaltKeyPrefix) {
				w.store.Apply(document.Transaction{ID: w.newID(), Operations: []document.Operation{{Key: d.Key, Delete: true}}}, lease.Instant(w.now))
			}
			clear(w.haltedAt)
			for _, d := range w.listDocuments("/ask") { // drains are taken back, releases go on
				if a := decodeCached(w, w.requests, d); a.ReleaseName == "" || a.FailureReason != "" && !releases {
					w.store.Apply(document.Transaction{ID: w.newID(), Operations: []document.Operation{{Key: d.Key, Delete: true}}}, lease.Instant(w.now))
				}
			}
		}
		for i := 0; i < len(w.queue); i++ {
			if e := w.queue[i]; e.at <= w.now {
				w.queue = slices.Delete(w.queue, i, i+1)
				i = -1
				e.run()
			}
		}
		switch {
		case releases:
			w.runRelease()
		case !w.faultsOver && w.random.IntN(4) == 0:
			w.runOperator()
		}
		for _, n := range w.nodes {
			if n.restartAt > 0 {
				if n.restartAt <= w.now {
					w.startProcess(n)
				}
				continue
			}
			if !w.faultsOver {
				w.injectFault(n)
			}
			if n.restartAt > 0 || n.stalledUntil > w.now {
				continue
			}
			if n.outOfService {
				n.inFlight = max(0, n.inFlight-1)
			} else {
				n.inFlight = 5
				w.serveRequests(n)
			}
			if w.now/tick%3 == 0 {
				w.observe(n)
				w.report(n)
			}
			if n.observed {
				w.runAgent(n)
			}
		}
		for _, k := range w.granters {
			if w.isRunning(&k.candidate) {
				w.runGranter(k)
			}
		}
		if w.checkBudgets(); w.violation != "" {
			return w.violation, w.counts
		}
		if w.faultsOver && len(w.queue) == 0 && w.idle() {
			return "", w.counts
		}
	}
	if !w.idle() && w.release != nil {
		return fmt.Sprintf("%v after the faults: %s", w.now-calmAt, w.describeRelease()), w.counts
	}
	if !w.idle() {
		left := maps.Collect(func(yield func(string, string) bool) {
			for _, d := range w.store.List(fleetstate.DrainKeyPrefix) {
				if !yield(d.Key, d.Value) {
					return
				}
			}
		})
		return fmt.Sprintf("%v after the faults of %d nodes in %d zones, %d of them out at most, there are %v", w.now-calmAt, size, zones, most, left), w.counts
	}
	return "", w.counts
}

// listDocuments is the documents of nodes that end so.
func (w *world) listDocuments(end string) []document.Document {
	return slices.DeleteFunc(w.store.List(fleetstate.DrainKeyPrefix), func(d document.Document) bool { return !strings.HasSuffix(d.Key, end) })
}

// idle says whether nothing is wanted any more, and nobody is out.
func (w *world) idle() bool {
	if w.release != nil && !w.release.ended(w) {
		return false
	}
	for _, d := range w.listDocuments("/ask") {
		if a := decodeCached(w, w.requests, d); a.FailureReason == "" {
			return false
		}
	}
	return len(w.listDocuments("/permit")) == 0
}
