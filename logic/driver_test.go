package logic

import "testing"

const ms = Micros(1000)

// testSettings returns the settings of a small server with an idempotent class, a class that is idempotent by key
// and calls the dependency, and a class that is not idempotent.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "read", LatencyObjective: 1000 * ms, ClientTimeout: 3000 * ms, PriorityWeight: 1, CallsDependency: true, DegradedWeightShare: 0.5},
			{Name: "write", LatencyObjective: 1000 * ms, ClientTimeout: 3000 * ms, PriorityWeight: 4, Idempotency: IdempotentByKey, IdempotencyWindow: 6000 * ms,
				CallsDependency: true},
			{Name: "once", LatencyObjective: 1000 * ms, ClientTimeout: 3000 * ms, PriorityWeight: 2, Idempotency: NonIdempotent, LateWeightShare: 0.2},
		},
		Tenants:   []Tenant{{Name: "a", QuotaPerSecond: 40}, {Name: "b", QuotaPerSecond: 4}},
		FleetSize: 4, Cores: 2, MemoryKB: 20000, RunMemoryFactor: 8, KeyEntryKB: 20,
		SlowStartCapacity: 0.2, SlowStartDuration: 10000 * ms, MaxConcurrencyPerCore: 5, ConcurrencyWindow: 2000 * ms,
		ResponseGrace: 60 * ms, DrainGrace: 1000 * ms, StepInterval: 4 * ms, CallConcurrencyLimit: 4, CallConcurrencyWindow: 5000 * ms,
		AbandonedCallDuration: 200 * ms, DeadlinePropagated: true, StopMode: StopDiscard, SignalMode: SignalConcurrencyLimit,
		MaxRetryAfter: 1000 * ms, CallerIdleTimeout: 30000 * ms, OverQuotaWeightShare: 0.05,
	}
}

// driver steps a Server with explicit times and events.
type driver struct {
	t   *testing.T
	s   *Server
	now Micros
}

func newDriver(t *testing.T, cfg Settings) *driver {
	t.Helper()
	s, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &driver{t: t, s: s, now: 5000 * ms}
}

func newServer(t *testing.T, cfg Settings) *Server {
	t.Helper()
	s, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// step advances the clock, steps the server and returns a copy of the actions.
func (d *driver) step(after Micros, events ...Event) []Action {
	d.now += after
	return append([]Action(nil), d.s.Step(d.now, events)...)
}

func arrival(id RequestID, class int, wait Micros) Event {
	return Event{Kind: EventArrival, ID: id, Arrival: Arrival{Class: class, Tenant: -1, MemoryKB: 10, AttemptTimeout: wait}}
}

func runEnded(id RequestID, out Outcome, elapsed Micros) Event {
	return Event{Kind: EventRunEnded, ID: id, Outcome: out, Elapsed: elapsed}
}

func callNeeded(id RequestID) Event { return Event{Kind: EventCallNeeded, ID: id} }

func callEnded(id RequestID, out Outcome) Event {
	return Event{Kind: EventCallEnded, ID: id, Outcome: out, Elapsed: 100 * ms}
}

// timerEvent returns a timer event with the gauges of a server whose cores are busy.
func timerEvent() Event {
	return Event{Kind: EventTimer, TimerID: 1, Gauges: Gauges{CPUUtilization: 0.9, RunQueueLength: 2, MemoryUtilization: 0.1}}
}

// findAction returns the first action of a kind for a request, or nil.
func findAction(actions []Action, kind ActionKind, id RequestID) *Action {
	for i := range actions {
		if actions[i].Kind == kind && actions[i].ID == id {
			return &actions[i]
		}
	}
	return nil
}

// firstStarted returns the ID of the first request that the actions start, or 0.
func firstStarted(actions []Action) RequestID {
	for _, a := range actions {
		if a.Kind == ActionRun {
			return a.ID
		}
	}
	return 0
}

func (d *driver) wantAction(actions []Action, kind ActionKind, id RequestID) *Action {
	d.t.Helper()
	a := findAction(actions, kind, id)
	if a == nil {
		d.t.Fatalf("no action %d for request %d in %+v", kind, id, actions)
	}
	return a
}

func (d *driver) wantNoAction(actions []Action, kind ActionKind, id RequestID) {
	d.t.Helper()
	if findAction(actions, kind, id) != nil {
		d.t.Fatalf("unexpected action %d for request %d in %+v", kind, id, actions)
	}
}

// completeRun runs one request, so that its class has an estimated run time.
func (d *driver) completeRun(id RequestID, class int, elapsed Micros) {
	d.t.Helper()
	d.wantAction(d.step(0, arrival(id, class, 3000*ms)), ActionRun, id)
	d.step(elapsed, runEnded(id, OutcomeOK, elapsed))
}
