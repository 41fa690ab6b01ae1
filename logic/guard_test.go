package logic

import "testing"

func TestDueTimeAnswersRunningWork(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 500*ms))
	d.want(d.step(500*ms, tick()), ActionFail, 1)
	out := d.step(10*ms, tick())
	d.wantNone(out, ActionFail, 1)
	d.wantNone(out, ActionStop, 1) // a started effect is not discarded
}

func TestDueTimeWithoutToldWait(t *testing.T) {
	cfg := testSettings()
	cfg.DeadlinePropagated = false
	d := drive(t, cfg)
	d.step(0, arrival(1, 0, 0))
	d.wantNone(d.step(2900*ms, tick()), ActionReject, 1)
	d.want(d.step(100*ms, tick()), ActionReject, 1)
}

func TestTimerComesOftenEnoughForTheGrace(t *testing.T) {
	cfg := testSettings()
	cfg.StepInterval = 20 * ms
	d := drive(t, cfg)
	timer := find(d.step(0, arrival(1, 0, 500*ms)), ActionSetTimer, 0)
	if timer == nil || timer.Duration > cfg.ResponseGrace {
		t.Fatalf("timer %+v is later than the grace of an answer", timer)
	}
}

func TestOneTimerAServer(t *testing.T) {
	d := drive(t, testSettings())
	n := 0
	for id := range RequestID(20) {
		for _, a := range d.step(0, arrival(id+1, 0, 3000*ms)) {
			if a.Kind == ActionSetTimer {
				n++
			}
		}
	}
	if n != 1 {
		t.Errorf("%d timers armed for 20 requests", n)
	}
}

func keyedRepeat(id, forerunner RequestID) Event {
	ev := arrival(id, 1, 3000*ms)
	ev.Arrival.OriginalID = forerunner
	return ev
}

func TestKeyedRunsOnce(t *testing.T) {
	d := drive(t, testSettings())
	out := d.step(0, arrival(1, 1, 3000*ms))
	keep := d.want(out, ActionStoreKey, 1)
	if window := d.s.cfg.Classes[1].IdempotencyWindow; keep.Duration < window {
		t.Errorf("entry lives %v, less than the window %v", keep.Duration, window)
	}
	d.want(out, ActionRun, 1)
	d.want(d.step(0, keyedRepeat(2, 1)), ActionCoalesce, 2)
	d.step(100*ms, done(1, OutcomeOK, 100*ms), done(2, OutcomeOK, 100*ms))
	out = d.step(10*ms, keyedRepeat(3, 1))
	d.want(out, ActionCoalesce, 3)
	d.wantNone(out, ActionReject, 3)
}

func TestRepeatTakesTheHeldForerunnersPlace(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 3000*ms), arrival(2, 2, 3000*ms), arrival(3, 1, 3000*ms))
	d.step(0, arrival(4, 1, 3000*ms))
	held := RequestID(4)
	if d.s.byID[3].state == 0 {
		held = 3
	}
	out := d.step(4*ms, keyedRepeat(9, held))
	d.want(out, ActionReject, held)
	d.wantNone(out, ActionDeleteKey, held)
	d.want(out, ActionStoreKey, 9)
	d.wantNone(out, ActionCoalesce, 9)
}

func TestFullTableRunsNoKeyedRequest(t *testing.T) {
	cfg := testSettings()
	cfg.KeyEntryKB = cfg.MemoryKB
	d := drive(t, cfg)
	out := d.step(0, arrival(1, 1, 3000*ms))
	d.wantNone(out, ActionStoreKey, 1)
	d.wantNone(out, ActionRun, 1)
}

func TestKeysReturnTheirMemory(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 1, 3000*ms))
	d.step(100*ms, done(1, OutcomeOK, 100*ms))
	if n := len(d.s.keyExpiries); n != 1 {
		t.Fatalf("%d entries, want 1", n)
	}
	d.step(d.s.cfg.Classes[1].IdempotencyWindow+100*ms, tick())
	if used := d.s.memoryInUse(); used != 0 {
		t.Errorf("%v kB in use after all is over", used)
	}
}

func TestMemoryBoundsTheRuns(t *testing.T) {
	cfg := testSettings()
	cfg.MemoryKB = 130 // one run of 80 kB and a few held requests
	d := drive(t, cfg)
	out := d.step(0, arrival(1, 0, 3000*ms), arrival(2, 0, 3000*ms))
	runs := 0
	for _, a := range out {
		if a.Kind == ActionRun {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("%d runs in memory for one", runs)
	}
}

func TestDrainRunsNothingLateAndAnswersAll(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 9000*ms), Event{Kind: EventDrain, TimeToKill: 3000 * ms})
	d.want(d.step(500*ms, arrival(2, 0, 3000*ms)), ActionRun, 2)
	d.step(100*ms, done(2, OutcomeOK, 100*ms))
	out := d.step(600*ms, arrival(3, 0, 3000*ms))
	d.want(out, ActionReject, 3)
	d.wantNone(out, ActionRun, 3)
	d.want(d.step(1700*ms, tick()), ActionFail, 1)
}

func TestHangFailsHealthAndRecovers(t *testing.T) {
	d := drive(t, testSettings())
	for id := RequestID(100); id < 110; id++ {
		d.learn(id, 0, 100*ms)
	}
	d.step(0, arrival(1, 0, 9000*ms), arrival(2, 0, 9000*ms))
	var off, refused bool
	for i := range RequestID(60) {
		for _, a := range d.step(50*ms, tick(), arrival(10+i, 0, 900*ms)) {
			off = off || a.Kind == ActionSetHealth && !a.Healthy
			refused = refused || a.Kind == ActionReject && a.Duration == d.s.cfg.MaxRetryAfter
		}
	}
	if !off || !refused {
		t.Fatalf("stand-still: health failed %v, refused with the longest advice %v", off, refused)
	}
	on := false
	for _, a := range d.step(10*ms, done(1, OutcomeOK, 3000*ms), done(2, OutcomeOK, 3000*ms)) {
		on = on || a.Kind == ActionSetHealth && a.Healthy
	}
	if !on {
		t.Error("health stays failed after the hang is over")
	}
}

func TestFailedHealthRecoversAfterErrors(t *testing.T) {
	d := drive(t, testSettings())
	id := RequestID(1)
	for range 20 {
		if ran := started(d.step(10*ms, arrival(id, 0, 3000*ms))); ran != 0 {
			d.step(5*ms, done(ran, OutcomeFailed, 5*ms))
		}
		id++
	}
	if d.s.sentHealthy {
		t.Fatal("healthy although all runs fail")
	}
	for range 20 {
		if ran := started(d.step(200*ms, arrival(id, 0, 3000*ms))); ran != 0 {
			d.step(50*ms, done(ran, OutcomeOK, 50*ms))
		}
		id++
	}
	if !d.s.sentHealthy {
		t.Error("health stays failed although all probes went well")
	}
}

func TestAnsweredRunIsStoppedWhileOthersWait(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 0, 300*ms), arrival(2, 0, 3000*ms))
	d.step(0, arrival(3, 0, 3000*ms))
	out := d.step(300*ms, tick())
	d.want(out, ActionReject, 1)
	d.want(out, ActionStop, 1)
	d.want(d.step(4*ms, done(1, OutcomeCanceled, 300*ms)), ActionRun, 3)
}

func needs(id RequestID) Event { return Event{Kind: EventCallNeeded, ID: id} }

func result(id RequestID, out Outcome) Event {
	return Event{Kind: EventCallEnded, ID: id, Outcome: out, Elapsed: 100 * ms}
}

func TestCallsOfEffectsAreRepeatedOnlyIfTheyNeverRan(t *testing.T) {
	for _, c := range []struct {
		out    Outcome
		repeat bool
	}{{OutcomeRejected, true}, {OutcomeUnreachable, true}, {OutcomeTimedOut, false}, {OutcomeReset, false}, {OutcomeFailed, false}} {
		d := drive(t, testSettings())
		d.step(0, arrival(1, 1, 3000*ms))
		d.want(d.step(10*ms, needs(1)), ActionCall, 1)
		out := append(d.step(100*ms, result(1, c.out)), d.step(60*ms, tick())...)
		if again := find(out, ActionCall, 1) != nil; again != c.repeat {
			t.Errorf("outcome %d: call repeated %v, want %v", c.out, again, c.repeat)
		}
		if !c.repeat {
			d.want(out, ActionFail, 1)
		}
	}
}

func TestFailedCallIsLeftOutWhereThatHasWorth(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 0, 3000*ms))
	d.want(d.step(10*ms, needs(1)), ActionCall, 1)
	d.want(d.step(100*ms, result(1, OutcomeTimedOut)), ActionSkipCall, 1)
}

func TestCallsStayUnderTheShare(t *testing.T) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit, cfg.Cores = 0.5, 8
	d := drive(t, cfg)
	inHand, most := 0.0, 0.0
	mean := 0.0
	for i := range RequestID(400) {
		id := i + 1
		out := d.step(25*ms, arrival(id, 1, 3000*ms), needs(id))
		out = append(out, d.step(0, needs(id))...)
		for _, a := range out {
			if a.Kind == ActionCall {
				inHand++
			}
			if a.Kind == ActionFail && d.s.byID[a.ID] != nil {
				d.step(0, done(a.ID, OutcomeCanceled, 0))
			}
		}
		mean += (inHand - mean) * 25 / 5000
		most = max(most, mean)
		if i%16 == 15 { // the calls end late, all at once
			for _, r := range append([]*request(nil), d.s.active...) {
				if r.callInFlight {
					inHand--
					d.step(0, result(r.id, OutcomeOK), done(r.id, OutcomeOK, 500*ms))
				}
			}
		}
	}
	if most == 0 || most > cfg.CallConcurrencyLimit {
		t.Errorf("mean calls in hand reached %.2f of a share of %.2f", most, cfg.CallConcurrencyLimit)
	}
}

func TestSignalsOnlyWhereTaken(t *testing.T) {
	for _, sig := range []SignalMode{SignalOff, SignalPriorityFloor, SignalConcurrencyLimit, SignalWeight} {
		cfg := testSettings()
		cfg.SignalMode = sig
		d := drive(t, cfg)
		said := find(d.step(0, arrival(1, 0, 3000*ms)), ActionSetLoadSignal, 0) != nil
		if said != (sig != SignalOff) {
			t.Errorf("signal %d: said %v", sig, said)
		}
	}
}

// TestSecondEnd guards against a host that tells of the end of a request which was still held, and does so twice.
func TestSecondEnd(t *testing.T) {
	for _, o := range []Outcome{OutcomeOK, OutcomeFailed, OutcomeCanceled, OutcomeNotStarted} {
		cfg := Settings{Classes: []Class{{Name: "read", LatencyObjective: 500_000, ClientTimeout: 2_000_000, PriorityWeight: 1}},
			FleetSize: 1, Cores: 1, MemoryKB: 100_000, MaxConcurrencyPerCore: 4, ResponseGrace: 50_000, StepInterval: 1_000}
		s, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		for id := RequestID(1); id <= 3; id++ { // one runs, the others are held
			s.Step(1_000_000, []Event{{Kind: EventArrival, ID: id, Arrival: Arrival{Tenant: -1, MemoryKB: 20}}})
		}
		ends := []Event{{Kind: EventRunEnded, ID: 3, Outcome: o}, {Kind: EventRunEnded, ID: 3, Outcome: o}}
		s.Step(1_000_000, ends)
		if len(s.byID) != 2 || len(s.queue) != 1 || s.requestMemoryKB != 20*2 {
			t.Errorf("outcome %d: %d in hand, %d held, %v KB", o, len(s.byID), len(s.queue), s.requestMemoryKB)
		}
	}
}
