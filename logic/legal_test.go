package logic

import (
	"math/rand/v2"
	"testing"
)

// ledger plays the host of one Server on generated, legal event sequences and checks what the four rules
// ask of the actions alone. It has no model of speed or load: work ends at random.
type ledger struct {
	t        *testing.T
	s        *Server
	cfg      Settings
	rng      *rand.Rand
	now      Micros
	next     RequestID
	live     map[RequestID]*tracked
	order    []RequestID // ids in order of arrival, for reproducible draws
	pending  []Event
	timers   []timer
	ranKey   map[uint64][]Micros // arrivals of the tries of a key that ran
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

type tracked struct {
	class             int
	key               uint64
	kb                float64
	arrived, due      Micros
	answered, started bool
	running, joined   bool
	atCall, callOut   bool
	noCall            bool // an earlier call of an effect may have run
	stopped           bool
}

func newLedger(t *testing.T, cfg Settings, seed uint64) *ledger {
	s, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &ledger{t: t, s: s, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 7)), now: 1 << 40, next: 1,
		live: map[RequestID]*tracked{}, ranKey: map[uint64][]Micros{}, entries: map[uint64]keyEntry{},
		keyOf: map[RequestID]uint64{}}
}

func (l *ledger) arrive() {
	class := l.rng.IntN(len(l.cfg.Classes))
	c := l.cfg.Classes[class]
	age := Micros(l.rng.IntN(40000))
	wait := c.ClientTimeout/4 + Micros(l.rng.Int64N(int64(c.ClientTimeout)))
	r := &tracked{class: class, kb: 5 + 40*l.rng.Float64(), arrived: l.now - age, due: l.now + wait}
	a := Arrival{Class: class, Tenant: -1, MemoryKB: r.kb, AttemptTimeout: wait, Age: age, PriorityRank: l.rng.Float64(),
		CallerID: l.rng.IntN(3)}
	if !l.cfg.DeadlinePropagated {
		a.AttemptTimeout, r.due = 0, r.arrived+c.ClientTimeout
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

// progress ends or moves on a random share of the work in hand.
func (l *ledger) progress() {
	kept := l.order[:0]
	for _, id := range l.order {
		r := l.live[id]
		if r == nil {
			continue
		}
		kept = append(kept, id)
		draw := l.rng.Float64()
		switch {
		case r.callOut && draw < 0.2:
			r.callOut = false
			out := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeUnreachable, OutcomeReset}[l.rng.IntN(8)]
			r.atCall = out != OutcomeOK
			if out != OutcomeOK && !out.NeverRan() && l.cfg.Classes[r.class].Idempotency != Idempotent {
				r.noCall = true
			}
			l.pending = append(l.pending, Event{Kind: EventCallEnded, ID: id, Outcome: out, Elapsed: 90000})
		case r.atCall && r.answered:
			l.done(id, OutcomeCanceled)
		case (r.running || r.joined) && !r.atCall && draw < 0.05:
			out := OutcomeOK
			if l.rng.IntN(10) == 0 {
				out = OutcomeFailed
			}
			l.done(id, out)
		case r.running && !r.atCall && !r.callOut && draw < 0.08 && l.cfg.Classes[r.class].CallsDependency:
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
	l.order = kept
}

func (l *ledger) done(id RequestID, out Outcome) {
	if out == OutcomeOK || out == OutcomeFailed {
		l.answered++
	}
	l.pending = append(l.pending, Event{Kind: EventRunEnded, ID: id, Outcome: out, Elapsed: 200000})
	delete(l.live, id)
}

func (l *ledger) step() {
	due := l.timers[:0]
	for _, t := range l.timers {
		if t.at <= l.now {
			g := Gauges{CPUUtilization: l.rng.Float64(), RunQueueLength: 20 * l.rng.Float64(), MemoryUtilization: 0.5, Connections: 9}
			l.pending = append(l.pending, Event{Kind: EventTimer, TimerID: t.tag, Gauges: g})
			continue
		}
		due = append(due, t)
	}
	l.timers = due
	if len(l.pending) > 0 {
		for _, a := range l.s.Step(l.now, l.pending) {
			l.action(a)
		}
		l.pending = l.pending[:0]
	}
	l.check()
}

func (l *ledger) action(a Action) {
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
			l.t.Fatal("went on without a call where that has no worth")
		}
		r.atCall = false
	case ActionSetLoadSignal:
		if l.cfg.SignalMode == SignalOff {
			l.t.Fatal("said a value where none is taken")
		}
	}
	if r == nil {
		return
	}
	switch a.Kind {
	case ActionRun:
		l.run(a.ID, r)
	case ActionCoalesce:
		r.joined = true
	case ActionCall:
		if r.noCall {
			l.t.Fatalf("call of an effect repeated: %d", a.ID)
		}
		r.callOut = true
	case ActionReject, ActionFail:
		l.answer(a, r)
	}
}

func (l *ledger) run(id RequestID, r *tracked) {
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

func (l *ledger) answer(a Action, r *tracked) {
	if r.answered {
		l.t.Fatalf("second answer for %d", a.ID)
	}
	if a.Kind == ActionReject && r.started && l.cfg.Classes[r.class].Idempotency != Idempotent {
		l.t.Fatalf("effect %d refused after a run", a.ID)
	}
	r.answered = true
	l.answered++
	if !r.running {
		delete(l.live, a.ID)
	}
}

// check looks at what must hold after every step.
func (l *ledger) check() {
	memory, onCores := 0.0, 0
	for id, r := range l.live {
		if r.running && !r.atCall && !r.callOut {
			onCores++
		}
		kb := r.kb
		if r.running {
			kb *= l.cfg.RunMemoryFactor
		}
		memory += kb
		if !r.answered && l.now > r.due+l.cfg.ResponseGrace {
			l.t.Fatalf("request %d unanswered past its due time", id)
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

func TestGeneratedSequencesKeepTheRules(t *testing.T) {
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
	l := newLedger(t, cfg, seed)
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
		if i/300%3 != 1 { // every third stretch the work hangs
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
