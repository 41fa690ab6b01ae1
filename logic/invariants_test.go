package logic

import (
	"math/rand/v2"
	"testing"
)

// eventGenerator plays the host of one Server on generated, legal event sequences and checks the invariants
// of the actions alone. It has no model of speed or load: work ends at random.
type eventGenerator struct {
	t        *testing.T
	s        *Server
	cfg      Settings
	rng      *rand.Rand
	now      Micros
	next     RequestID
	live     map[RequestID]*trackedRequest
	order    []RequestID // ids in order of arrival, for reproducible draws
	pending  []Event
	timers   []timer
	ranKey   map[uint64][]Micros // arrivals of the attempts of a key that ran
	entries  map[uint64]keyEntry
	drainAt  Micros
	kill     Micros
	keyOf    map[RequestID]uint64
	answered int
}

type timer struct {
	at  Micros
	tag uint64
}

type keyEntry struct {
	id      RequestID
	expires Micros
}

type trackedRequest struct {
	class                int
	key                  uint64
	memoryKB             float64
	arrived, deadline    Micros
	answered, started    bool
	running, coalesced   bool
	atCall, callInFlight bool
	callForbidden        bool // an earlier call that is not idempotent may have run
}

func newEventGenerator(t *testing.T, cfg Settings, seed uint64) *eventGenerator {
	s, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &eventGenerator{t: t, s: s, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), now: 1 << 40, next: 1,
		live: map[RequestID]*trackedRequest{}, ranKey: map[uint64][]Micros{}, entries: map[uint64]keyEntry{},
		keyOf: map[RequestID]uint64{}}
}

func (l *eventGenerator) arrive() {
	class := l.rng.IntN(len(l.cfg.Classes))
	c := l.cfg.Classes[class]
	age := Micros(l.rng.IntN(40000))
	wait := c.ClientTimeout/4 + Micros(l.rng.Int64N(int64(c.ClientTimeout)))
	r := &trackedRequest{class: class, memoryKB: 5 + 40*l.rng.Float64(), arrived: l.now - age, deadline: l.now + wait}
	a := Arrival{Class: class, Tenant: -1, MemoryKB: r.memoryKB, AttemptTimeout: wait, Age: age, PriorityRank: l.rng.Float64(),
		CallerID: l.rng.IntN(3)}
	if !l.cfg.DeadlinePropagated {
		a.AttemptTimeout, r.deadline = 0, r.arrived+c.ClientTimeout
	}
	if len(l.cfg.Tenants) > 0 {
		a.Tenant = l.rng.IntN(len(l.cfg.Tenants))
	}
	if l.rng.IntN(2) == 0 {
		a.WorkHint = Micros(l.rng.IntN(300000))
	}
	if c.Idempotency == IdempotentByKey {
		r.key = uint64(l.rng.IntN(40))
		if e, ok := l.entries[r.key]; ok && e.expires > r.arrived {
			f := l.live[e.id]
			if f == nil && len(l.ranKey[r.key]) > 0 || f != nil && !f.answered || f != nil && f.started {
				a.OriginalID = e.id
			}
		}
	}
	l.live[l.next] = r
	l.order = append(l.order, l.next)
	l.keyOf[l.next] = r.key
	l.pending = append(l.pending, Event{Kind: EventArrival, ID: l.next, Arrival: a})
	l.next++
}

// progress ends or advances a random share of the requests in flight.
func (l *eventGenerator) progress() {
	kept := l.order[:0]
	for _, id := range l.order {
		if r := l.live[id]; r != nil {
			kept = append(kept, id)
			l.progressRequest(id, r)
		}
	}
	l.order = kept
}

func (l *eventGenerator) progressRequest(id RequestID, r *trackedRequest) {
	draw := l.rng.Float64()
	onCore := r.running && !r.atCall
	switch {
	case r.callInFlight && draw < 0.2:
		l.endCall(id, r)
	case r.atCall && r.answered:
		l.done(id, OutcomeCanceled)
	case (onCore || r.coalesced && !r.atCall) && draw < 0.05:
		out := OutcomeOK
		if l.rng.IntN(10) == 0 {
			out = OutcomeFailed
		}
		l.done(id, out)
	case onCore && !r.callInFlight && draw < 0.08 && l.cfg.Classes[r.class].CallsDependency:
		r.atCall = true
		l.pending = append(l.pending, Event{Kind: EventCallNeeded, ID: id})
	case draw > 0.998 && !r.answered:
		r.answered = true
		l.pending = append(l.pending, Event{Kind: EventCanceled, ID: id})
		if !r.running {
			delete(l.live, id)
		}
	}
}

func (l *eventGenerator) endCall(id RequestID, r *trackedRequest) {
	r.callInFlight = false
	outcomes := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected, OutcomeTimedOut,
		OutcomeUnreachable, OutcomeReset}
	out := outcomes[l.rng.IntN(len(outcomes))]
	r.atCall = out != OutcomeOK
	if out != OutcomeOK && !out.NeverRan() && l.cfg.Classes[r.class].Idempotency != Idempotent {
		r.callForbidden = true
	}
	l.pending = append(l.pending, Event{Kind: EventCallEnded, ID: id, Outcome: out, Elapsed: 90000})
}

func (l *eventGenerator) done(id RequestID, out Outcome) {
	if out == OutcomeOK || out == OutcomeFailed {
		l.answered++
	}
	l.pending = append(l.pending, Event{Kind: EventRunEnded, ID: id, Outcome: out, Elapsed: 200000})
	delete(l.live, id)
}

func (l *eventGenerator) step() {
	waiting := l.timers[:0]
	for _, t := range l.timers {
		if t.at <= l.now {
			g := Gauges{CPUUtilization: l.rng.Float64(), RunQueueLength: 20 * l.rng.Float64(), MemoryUtilization: 0.5, Connections: 9}
			l.pending = append(l.pending, Event{Kind: EventTimer, TimerID: t.tag, Gauges: g})
			continue
		}
		waiting = append(waiting, t)
	}
	l.timers = waiting
	if len(l.pending) > 0 {
		for _, a := range l.s.Step(l.now, l.pending) {
			l.action(a)
		}
		l.pending = l.pending[:0]
	}
	l.check()
}

func (l *eventGenerator) action(a Action) {
	r := l.live[a.ID]
	switch a.Kind {
	case ActionSetTimer:
		l.timers = append(l.timers, timer{l.now + a.Duration, a.TimerID})
	case ActionStoreKey:
		l.entries[l.keyOf[a.ID]] = keyEntry{a.ID, l.now + a.Duration}
	case ActionDeleteKey:
		delete(l.entries, l.keyOf[a.ID])
	case ActionStop:
		if l.cfg.StopMode == StopOff {
			l.t.Fatal("stop where it is not allowed")
		}
		if r != nil && r.running && r.answered && !r.atCall {
			l.done(a.ID, OutcomeCanceled)
		}
	case ActionSkipCall:
		if l.cfg.Classes[r.class].DegradedWeightShare == 0 {
			l.t.Fatal("skipped a call where that is not allowed")
		}
		r.atCall = false
	case ActionSetLoadSignal:
		if l.cfg.SignalMode == SignalOff {
			l.t.Fatal("set a load signal where none is used")
		}
	}
	if r == nil {
		return
	}
	switch a.Kind {
	case ActionRun:
		l.run(a.ID, r)
	case ActionCoalesce:
		r.coalesced = true
	case ActionCall:
		if r.callForbidden {
			l.t.Fatalf("call of %d was retried and is not idempotent", a.ID)
		}
		r.callInFlight = true
	case ActionReject, ActionFail:
		l.answer(a, r)
	}
}

func (l *eventGenerator) run(id RequestID, r *trackedRequest) {
	if r.running {
		return
	}
	c := l.cfg.Classes[r.class]
	if r.answered {
		l.t.Fatalf("run of %d after its answer", id)
	}
	if l.kill > 0 && r.arrived > l.drainAt+l.cfg.DrainGrace {
		l.t.Fatalf("run of %d, which arrived past the drain's grace", id)
	}
	if c.Idempotency == IdempotentByKey {
		for _, at := range l.ranKey[r.key] {
			if r.arrived-at < c.IdempotencyWindow && r.arrived > at-c.IdempotencyWindow {
				l.t.Fatalf("key %d ran twice within its window", r.key)
			}
		}
		l.ranKey[r.key] = append(l.ranKey[r.key], r.arrived)
	}
	r.running, r.started = true, true
}

func (l *eventGenerator) answer(a Action, r *trackedRequest) {
	if r.answered {
		l.t.Fatalf("second answer for %d", a.ID)
	}
	if a.Kind == ActionReject && r.started && l.cfg.Classes[r.class].Idempotency != Idempotent {
		l.t.Fatalf("request %d is not idempotent and was rejected after a run", a.ID)
	}
	r.answered = true
	l.answered++
	if !r.running {
		delete(l.live, a.ID)
	}
}

// check looks at what must hold after every step.
func (l *eventGenerator) check() {
	memory, onCores := 0.0, 0
	for id, r := range l.live {
		if r.running && !r.atCall && !r.callInFlight {
			onCores++
		}
		memoryKB := r.memoryKB
		if r.running {
			memoryKB *= l.cfg.RunMemoryFactor
		}
		memory += memoryKB
		if !r.answered && l.now > r.deadline+l.cfg.ResponseGrace {
			l.t.Fatalf("request %d unanswered past its deadline", id)
		}
		if l.kill > 0 && l.now >= l.kill && !r.answered {
			l.t.Fatalf("request %d unanswered at the kill", id)
		}
	}
	speed := 1.0
	if l.cfg.SlowStart {
		speed = min(1, l.cfg.SlowStartCapacity+(1-l.cfg.SlowStartCapacity)*float64(l.now-1<<40)/float64(l.cfg.SlowStartDuration))
	}
	if most := float64(l.cfg.Cores) * (1 + (l.cfg.MaxConcurrencyPerCore-1)*speed); float64(onCores) > most {
		l.t.Fatalf("%d runs on cores that survive %.1f", onCores, most)
	}
	for _, e := range l.entries {
		if e.expires > l.now {
			memory += l.cfg.KeyEntryKB
		}
	}
	if memory > l.cfg.MemoryKB {
		l.t.Fatalf("memory %.0f of %.0f", memory, l.cfg.MemoryKB)
	}
}

func TestGeneratedSequencesKeepInvariants(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"plain":      func(*Settings) {},
		"one core":   func(c *Settings) { c.Cores = 1 },
		"no waits":   func(c *Settings) { c.DeadlinePropagated = false },
		"no stop":    func(c *Settings) { c.StopMode = StopOff },
		"freeze":     func(c *Settings) { c.StopMode = StopPause },
		"dear keys":  func(c *Settings) { c.KeyEntryKB, c.MemoryKB = 400, 9000 },
		"tight":      func(c *Settings) { c.MemoryKB = 3000 },
		"few calls":  func(c *Settings) { c.CallConcurrencyLimit = 0.5 },
		"floor":      func(c *Settings) { c.SignalMode = SignalPriorityFloor },
		"weight":     func(c *Settings) { c.SignalMode = SignalWeight },
		"long tick":  func(c *Settings) { c.StepInterval = 20000 },
		"cold":       func(c *Settings) { c.SlowStart = true },
		"cold calls": func(c *Settings) { c.SlowStart, c.CallConcurrencyLimit, c.SlowStartDuration = true, 50, 60000*ms },
		"no tenants": func(c *Settings) { c.Tenants = nil },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testSettings()
			change(&cfg)
			for seed := range uint64(6) {
				playGenerated(t, cfg, seed)
			}
		})
	}
}

func playGenerated(t *testing.T, cfg Settings, seed uint64) {
	l := newEventGenerator(t, cfg, seed)
	const steps = 4000
	for i := range steps {
		l.now += cfg.StepInterval * Micros(1+l.rng.IntN(2))
		if l.kill > 0 && l.now >= l.kill-cfg.StepInterval {
			break
		}
		busy := i/500%2 == 1
		for range l.rng.IntN(2) {
			if busy || l.rng.IntN(8) == 0 {
				l.arrive()
			}
		}
		if i/300%3 != 1 { // the work hangs for a third of the time
			l.progress()
		}
		if i == steps*3/4 {
			l.drainAt, l.kill = l.now, l.now+4*cfg.DrainGrace
			l.pending = append(l.pending, Event{Kind: EventDrain, TimeToKill: 4 * cfg.DrainGrace})
		}
		l.step()
	}
	l.check()
	if l.answered < 100 {
		t.Fatalf("only %d requests answered: the sequence tests nothing", l.answered)
	}
}
