package logic

import (
	"math/rand/v2"
	"testing"
)

// eventGenerator acts as the host of one Server. It generates valid event sequences and checks invariants of the
// actions. It does not model speed or load: runs and calls end at random.
type eventGenerator struct {
	t              *testing.T
	s              *Server
	cfg            Settings
	rng            *rand.Rand
	now            Micros
	nextID         RequestID
	inFlight       map[RequestID]*trackedRequest
	order          []RequestID // IDs in order of arrival, for reproducible random draws
	pending        []Event
	timers         []timer
	runArrivals    map[uint64][]Micros // arrival times of the attempts that ran, by key
	entries        map[uint64]keyEntry
	drainStartedAt Micros
	killAt         Micros
	keyOf          map[RequestID]uint64
	answered       int
}

type timer struct {
	at Micros
	id uint64
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
	callForbidden        bool // an earlier call may have run and must not be repeated
}

func newEventGenerator(t *testing.T, cfg Settings, seed uint64) *eventGenerator {
	s, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &eventGenerator{t: t, s: s, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), now: 1 << 40, nextID: 1,
		inFlight: map[RequestID]*trackedRequest{}, runArrivals: map[uint64][]Micros{}, entries: map[uint64]keyEntry{},
		keyOf: map[RequestID]uint64{}}
}

func (gen *eventGenerator) arrive() {
	class := gen.rng.IntN(len(gen.cfg.Classes))
	c := gen.cfg.Classes[class]
	age := Micros(gen.rng.IntN(40000))
	wait := c.ClientTimeout/4 + Micros(gen.rng.Int64N(int64(c.ClientTimeout)))
	r := &trackedRequest{class: class, memoryKB: 5 + 40*gen.rng.Float64(), arrived: gen.now - age, deadline: gen.now + wait}
	a := Arrival{Class: class, Tenant: -1, MemoryKB: r.memoryKB, AttemptTimeout: wait, Age: age, PriorityRank: gen.rng.Float64(),
		CallerID: gen.rng.IntN(3)}
	if !gen.cfg.DeadlinePropagated {
		a.AttemptTimeout, r.deadline = 0, r.arrived+c.ClientTimeout
	}
	if len(gen.cfg.Tenants) > 0 {
		a.Tenant = gen.rng.IntN(len(gen.cfg.Tenants))
	}
	if gen.rng.IntN(2) == 0 {
		a.WorkHint = Micros(gen.rng.IntN(300000))
	}
	if c.Idempotency == IdempotentByKey {
		r.key = uint64(gen.rng.IntN(40))
		if e, ok := gen.entries[r.key]; ok && e.expires > r.arrived {
			original := gen.inFlight[e.id]
			if original == nil && len(gen.runArrivals[r.key]) > 0 || original != nil && !original.answered || original != nil && original.started {
				a.OriginalID = e.id
			}
		}
	}
	gen.inFlight[gen.nextID] = r
	gen.order = append(gen.order, gen.nextID)
	gen.keyOf[gen.nextID] = r.key
	gen.pending = append(gen.pending, Event{Kind: EventArrival, ID: gen.nextID, Arrival: a})
	gen.nextID++
}

// progress ends or advances a random share of the requests in flight.
func (gen *eventGenerator) progress() {
	kept := gen.order[:0]
	for _, id := range gen.order {
		if r := gen.inFlight[id]; r != nil {
			kept = append(kept, id)
			gen.progressRequest(id, r)
		}
	}
	gen.order = kept
}

func (gen *eventGenerator) progressRequest(id RequestID, r *trackedRequest) {
	draw := gen.rng.Float64()
	onCore := r.running && !r.atCall
	switch {
	case r.callInFlight && draw < 0.2:
		gen.endCall(id, r)
	case r.atCall && r.answered:
		gen.endRun(id, OutcomeCanceled)
	case (onCore || r.coalesced && !r.atCall) && draw < 0.05:
		out := OutcomeOK
		if gen.rng.IntN(10) == 0 {
			out = OutcomeFailed
		}
		gen.endRun(id, out)
	case onCore && !r.callInFlight && draw < 0.08 && gen.cfg.Classes[r.class].CallsDependency:
		r.atCall = true
		gen.pending = append(gen.pending, Event{Kind: EventCallNeeded, ID: id})
	case draw > 0.998 && !r.answered:
		r.answered = true
		gen.pending = append(gen.pending, Event{Kind: EventCanceled, ID: id})
		if !r.running {
			delete(gen.inFlight, id)
		}
	}
}

func (gen *eventGenerator) endCall(id RequestID, r *trackedRequest) {
	r.callInFlight = false
	outcomes := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected, OutcomeTimedOut,
		OutcomeUnreachable, OutcomeReset}
	out := outcomes[gen.rng.IntN(len(outcomes))]
	r.atCall = out != OutcomeOK
	if out != OutcomeOK && !out.NeverRan() && gen.cfg.Classes[r.class].Idempotency != Idempotent {
		r.callForbidden = true
	}
	gen.pending = append(gen.pending, Event{Kind: EventCallEnded, ID: id, Outcome: out, Elapsed: 90000})
}

func (gen *eventGenerator) endRun(id RequestID, out Outcome) {
	if out == OutcomeOK || out == OutcomeFailed {
		gen.answered++
	}
	gen.pending = append(gen.pending, Event{Kind: EventRunEnded, ID: id, Outcome: out, Elapsed: 200000})
	delete(gen.inFlight, id)
}

func (gen *eventGenerator) step() {
	waiting := gen.timers[:0]
	for _, t := range gen.timers {
		if t.at <= gen.now {
			g := Gauges{CPUUtilization: gen.rng.Float64(), RunQueueLength: 20 * gen.rng.Float64(), MemoryUtilization: 0.5, Connections: 9}
			gen.pending = append(gen.pending, Event{Kind: EventTimer, TimerID: t.id, Gauges: g})
			continue
		}
		waiting = append(waiting, t)
	}
	gen.timers = waiting
	if len(gen.pending) > 0 {
		for _, a := range gen.s.Step(gen.now, gen.pending) {
			gen.applyAction(a)
		}
		gen.pending = gen.pending[:0]
	}
	gen.check()
}

func (gen *eventGenerator) applyAction(a Action) {
	r := gen.inFlight[a.ID]
	switch a.Kind {
	case ActionSetTimer:
		gen.timers = append(gen.timers, timer{gen.now + a.Duration, a.TimerID})
	case ActionStoreKey:
		gen.entries[gen.keyOf[a.ID]] = keyEntry{a.ID, gen.now + a.Duration}
	case ActionDeleteKey:
		delete(gen.entries, gen.keyOf[a.ID])
	case ActionStop:
		if gen.cfg.StopMode == StopOff {
			gen.t.Fatal("run stopped although the settings allow no stop")
		}
		if r != nil && r.running && r.answered && !r.atCall {
			gen.endRun(a.ID, OutcomeCanceled)
		}
	case ActionSkipCall:
		if gen.cfg.Classes[r.class].DegradedWeightShare == 0 {
			gen.t.Fatal("call skipped although the request's class must not degrade")
		}
		r.atCall = false
	case ActionSetLoadSignal:
		if gen.cfg.SignalMode == SignalOff {
			gen.t.Fatal("load signal set although callers use none")
		}
	}
	if r == nil {
		return
	}
	switch a.Kind {
	case ActionRun:
		gen.run(a.ID, r)
	case ActionCoalesce:
		r.coalesced = true
	case ActionCall:
		if r.callForbidden {
			gen.t.Fatalf("call of request %d retried although it is not idempotent and may have run", a.ID)
		}
		r.callInFlight = true
	case ActionReject, ActionFail:
		gen.answer(a, r)
	}
}

func (gen *eventGenerator) run(id RequestID, r *trackedRequest) {
	if r.running {
		return
	}
	c := gen.cfg.Classes[r.class]
	if r.answered {
		gen.t.Fatalf("request %d started after it was answered", id)
	}
	if gen.killAt > 0 && r.arrived > gen.drainStartedAt+gen.cfg.DrainGrace {
		gen.t.Fatalf("request %d started although it arrived after the drain grace", id)
	}
	if c.Idempotency == IdempotentByKey {
		for _, at := range gen.runArrivals[r.key] {
			if r.arrived-at < c.IdempotencyWindow && r.arrived > at-c.IdempotencyWindow {
				gen.t.Fatalf("key %d was run twice within its window", r.key)
			}
		}
		gen.runArrivals[r.key] = append(gen.runArrivals[r.key], r.arrived)
	}
	r.running, r.started = true, true
}

func (gen *eventGenerator) answer(a Action, r *trackedRequest) {
	if r.answered {
		gen.t.Fatalf("request %d answered twice", a.ID)
	}
	if a.Kind == ActionReject && r.started && gen.cfg.Classes[r.class].Idempotency != Idempotent {
		gen.t.Fatalf("request %d rejected after its run had started, although it is not idempotent", a.ID)
	}
	r.answered = true
	gen.answered++
	if !r.running {
		delete(gen.inFlight, a.ID)
	}
}

// check verifies the invariants that must hold after every step.
func (gen *eventGenerator) check() {
	memory, onCores := 0.0, 0
	for id, r := range gen.inFlight {
		if r.running && !r.atCall && !r.callInFlight {
			onCores++
		}
		memoryKB := r.memoryKB
		if r.running {
			memoryKB *= gen.cfg.RunMemoryFactor
		}
		memory += memoryKB
		if !r.answered && gen.now > r.deadline+gen.cfg.ResponseGrace {
			gen.t.Fatalf("request %d unanswered after its deadline and grace", id)
		}
		if gen.killAt > 0 && gen.now >= gen.killAt && !r.answered {
			gen.t.Fatalf("request %d unanswered when the process is killed", id)
		}
	}
	speed := 1.0
	if gen.cfg.SlowStart {
		speed = min(1, gen.cfg.SlowStartCapacity+(1-gen.cfg.SlowStartCapacity)*float64(gen.now-1<<40)/float64(gen.cfg.SlowStartDuration))
	}
	if maxRuns := float64(gen.cfg.Cores) * (1 + (gen.cfg.MaxConcurrencyPerCore-1)*speed); float64(onCores) > maxRuns {
		gen.t.Fatalf("%d runs on the cores, which sustain %.1f", onCores, maxRuns)
	}
	for _, e := range gen.entries {
		if e.expires > gen.now {
			memory += gen.cfg.KeyEntryKB
		}
	}
	if memory > gen.cfg.MemoryKB {
		gen.t.Fatalf("%.0f kB of memory in use, limit %.0f", memory, gen.cfg.MemoryKB)
	}
}

func TestGeneratedSequencesKeepInvariants(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"defaults":                   func(*Settings) {},
		"one core":                   func(c *Settings) { c.Cores = 1 },
		"deadlines not propagated":   func(c *Settings) { c.DeadlinePropagated = false },
		"runs can't be stopped":      func(c *Settings) { c.StopMode = StopOff },
		"runs can be paused":         func(c *Settings) { c.StopMode = StopPause },
		"large key entries":          func(c *Settings) { c.KeyEntryKB, c.MemoryKB = 400, 9000 },
		"little memory":              func(c *Settings) { c.MemoryKB = 3000 },
		"low call limit":             func(c *Settings) { c.CallConcurrencyLimit = 0.5 },
		"priority floor signal":      func(c *Settings) { c.SignalMode = SignalPriorityFloor },
		"weight signal":              func(c *Settings) { c.SignalMode = SignalWeight },
		"long step interval":         func(c *Settings) { c.StepInterval = 20000 },
		"slow start":                 func(c *Settings) { c.SlowStart = true },
		"slow start with many calls": func(c *Settings) { c.SlowStart, c.CallConcurrencyLimit, c.SlowStartDuration = true, 50, 60000*ms },
		"no tenants":                 func(c *Settings) { c.Tenants = nil },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testSettings()
			change(&cfg)
			for seed := range uint64(6) {
				runGenerated(t, cfg, seed)
			}
		})
	}
}

func runGenerated(t *testing.T, cfg Settings, seed uint64) {
	gen := newEventGenerator(t, cfg, seed)
	const steps = 4000
	for i := range steps {
		gen.now += cfg.StepInterval * Micros(1+gen.rng.IntN(2))
		if gen.killAt > 0 && gen.now >= gen.killAt-cfg.StepInterval {
			break
		}
		busy := i/500%2 == 1
		for range gen.rng.IntN(2) {
			if busy || gen.rng.IntN(8) == 0 {
				gen.arrive()
			}
		}
		if i/300%3 != 1 { // nothing ends for a third of the time
			gen.progress()
		}
		if i == steps*3/4 {
			gen.drainStartedAt, gen.killAt = gen.now, gen.now+4*cfg.DrainGrace
			gen.pending = append(gen.pending, Event{Kind: EventDrain, TimeToKill: 4 * cfg.DrainGrace})
		}
		gen.step()
	}
	gen.check()
	if gen.answered < 100 {
		t.Fatalf("only %d requests answered, want at least 100 for a meaningful sequence", gen.answered)
	}
}
