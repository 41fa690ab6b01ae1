package logic

import "testing"

func TestDueTimeAnswersRunningWork(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 500*ms))
	d.want(d.step(500*ms, tick()), ActFail, 1)
	out := d.step(10*ms, tick())
	d.wantNone(out, ActFail, 1)
	d.wantNone(out, ActStop, 1) // a started effect is not discarded
}

func TestDueTimeWithoutToldWait(t *testing.T) {
	cfg := testSettings()
	cfg.TellsWait = false
	d := drive(t, cfg)
	d.step(0, arrival(1, 0, 0))
	d.wantNone(d.step(2900*ms, tick()), ActRefuse, 1)
	d.want(d.step(100*ms, tick()), ActRefuse, 1)
}

func TestTimerComesOftenEnoughForTheGrace(t *testing.T) {
	cfg := testSettings()
	cfg.Tick = 20 * ms
	d := drive(t, cfg)
	timer := find(d.step(0, arrival(1, 0, 500*ms)), ActTimer, 0)
	if timer == nil || timer.Span > cfg.AnswerGrace {
		t.Fatalf("timer %+v is later than the grace of an answer", timer)
	}
}

func TestOneTimerAServer(t *testing.T) {
	d := drive(t, testSettings())
	n := 0
	for id := range RequestID(20) {
		for _, a := range d.step(0, arrival(id+1, 0, 3000*ms)) {
			if a.Kind == ActTimer {
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
	ev.Arrival.Forerunner = forerunner
	return ev
}

func TestKeyedRunsOnce(t *testing.T) {
	d := drive(t, testSettings())
	out := d.step(0, arrival(1, 1, 3000*ms))
	keep := d.want(out, ActKeepKey, 1)
	if window := d.s.cfg.Classes[1].Window; keep.Span < window {
		t.Errorf("entry lives %v, less than the window %v", keep.Span, window)
	}
	d.want(out, ActRun, 1)
	d.want(d.step(0, keyedRepeat(2, 1)), ActJoin, 2)
	d.step(100*ms, done(1, OK, 100*ms), done(2, OK, 100*ms))
	out = d.step(10*ms, keyedRepeat(3, 1))
	d.want(out, ActJoin, 3)
	d.wantNone(out, ActRefuse, 3)
}

func TestRepeatTakesTheHeldForerunnersPlace(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 3000*ms), arrival(2, 2, 3000*ms), arrival(3, 1, 3000*ms))
	d.step(0, arrival(4, 1, 3000*ms))
	held := RequestID(4)
	if d.s.byID[3].stage == 0 {
		held = 3
	}
	out := d.step(4*ms, keyedRepeat(9, held))
	d.want(out, ActRefuse, held)
	d.wantNone(out, ActForgetKey, held)
	d.want(out, ActKeepKey, 9)
	d.wantNone(out, ActJoin, 9)
}

func TestFullTableRunsNoKeyedRequest(t *testing.T) {
	cfg := testSettings()
	cfg.KeyKB = cfg.MemoryKB
	d := drive(t, cfg)
	out := d.step(0, arrival(1, 1, 3000*ms))
	d.wantNone(out, ActKeepKey, 1)
	d.wantNone(out, ActRun, 1)
}

func TestKeysReturnTheirMemory(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 1, 3000*ms))
	d.step(100*ms, done(1, OK, 100*ms))
	if n := len(d.s.keys); n != 1 {
		t.Fatalf("%d entries, want 1", n)
	}
	d.step(d.s.cfg.Classes[1].Window+100*ms, tick())
	if used := d.s.used(); used != 0 {
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
		if a.Kind == ActRun {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("%d runs in memory for one", runs)
	}
}

func TestDrainRunsNothingLateAndAnswersAll(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 9000*ms), Event{Kind: EvDrain, Left: 3000 * ms})
	d.want(d.step(500*ms, arrival(2, 0, 3000*ms)), ActRun, 2)
	d.step(100*ms, done(2, OK, 100*ms))
	out := d.step(600*ms, arrival(3, 0, 3000*ms))
	d.want(out, ActRefuse, 3)
	d.wantNone(out, ActRun, 3)
	d.want(d.step(1700*ms, tick()), ActFail, 1)
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
			off = off || a.Kind == ActHealth && !a.On
			refused = refused || a.Kind == ActRefuse && a.Span == d.s.cfg.MaxAdvice
		}
	}
	if !off || !refused {
		t.Fatalf("stand-still: health failed %v, refused with the longest advice %v", off, refused)
	}
	on := false
	for _, a := range d.step(10*ms, done(1, OK, 3000*ms), done(2, OK, 3000*ms)) {
		on = on || a.Kind == ActHealth && a.On
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
			d.step(5*ms, done(ran, Failed, 5*ms))
		}
		id++
	}
	if d.s.healthy {
		t.Fatal("healthy although all runs fail")
	}
	for range 20 {
		if ran := started(d.step(200*ms, arrival(id, 0, 3000*ms))); ran != 0 {
			d.step(50*ms, done(ran, OK, 50*ms))
		}
		id++
	}
	if !d.s.healthy {
		t.Error("health stays failed although all probes went well")
	}
}

func TestAnsweredRunIsStoppedWhileOthersWait(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 0, 300*ms), arrival(2, 0, 3000*ms))
	d.step(0, arrival(3, 0, 3000*ms))
	out := d.step(300*ms, tick())
	d.want(out, ActRefuse, 1)
	d.want(out, ActStop, 1)
	d.want(d.step(4*ms, done(1, Cancelled, 300*ms)), ActRun, 3)
}

func needs(id RequestID) Event { return Event{Kind: EvNeedsCall, ID: id} }

func result(id RequestID, out Outcome) Event {
	return Event{Kind: EvCallResult, ID: id, Outcome: out, Elapsed: 100 * ms}
}

func TestCallsOfEffectsAreRepeatedOnlyIfTheyNeverRan(t *testing.T) {
	for _, c := range []struct {
		out    Outcome
		repeat bool
	}{{Full, true}, {Unreachable, true}, {TimedOut, false}, {Reset, false}, {Failed, false}} {
		d := drive(t, testSettings())
		d.step(0, arrival(1, 1, 3000*ms))
		d.want(d.step(10*ms, needs(1)), ActCall, 1)
		out := append(d.step(100*ms, result(1, c.out)), d.step(60*ms, tick())...)
		if again := find(out, ActCall, 1) != nil; again != c.repeat {
			t.Errorf("outcome %d: call repeated %v, want %v", c.out, again, c.repeat)
		}
		if !c.repeat {
			d.want(out, ActFail, 1)
		}
	}
}

func TestFailedCallIsLeftOutWhereThatHasWorth(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 0, 3000*ms))
	d.want(d.step(10*ms, needs(1)), ActCall, 1)
	d.want(d.step(100*ms, result(1, TimedOut)), ActGoOn, 1)
}

func TestCallsStayUnderTheShare(t *testing.T) {
	cfg := testSettings()
	cfg.CallsShare, cfg.Cores = 0.5, 8
	d := drive(t, cfg)
	inHand, most := 0.0, 0.0
	mean := 0.0
	for i := range RequestID(400) {
		id := i + 1
		out := d.step(25*ms, arrival(id, 1, 3000*ms), needs(id))
		out = append(out, d.step(0, needs(id))...)
		for _, a := range out {
			if a.Kind == ActCall {
				inHand++
			}
			if a.Kind == ActFail && d.s.byID[a.ID] != nil {
				d.step(0, done(a.ID, Cancelled, 0))
			}
		}
		mean += (inHand - mean) * 25 / 5000
		most = max(most, mean)
		if i%16 == 15 { // the calls end late, all at once
			for _, r := range append([]*request(nil), d.s.active...) {
				if r.callOut {
					inHand--
					d.step(0, result(r.id, OK), done(r.id, OK, 500*ms))
				}
			}
		}
	}
	if most == 0 || most > cfg.CallsShare {
		t.Errorf("mean calls in hand reached %.2f of a share of %.2f", most, cfg.CallsShare)
	}
}

func TestSignalsOnlyWhereTaken(t *testing.T) {
	for _, sig := range []Signal{SignalNone, SignalFloor, SignalAllowance, SignalWeight} {
		cfg := testSettings()
		cfg.Signal = sig
		d := drive(t, cfg)
		said := find(d.step(0, arrival(1, 0, 3000*ms)), ActSay, 0) != nil
		if said != (sig != SignalNone) {
			t.Errorf("signal %d: said %v", sig, said)
		}
	}
}

// TestSecondEnd guards against a host that tells of the end of a request which was still held, and does so twice.
func TestSecondEnd(t *testing.T) {
	for _, o := range []Outcome{OK, Failed, Cancelled, Moot} {
		cfg := Settings{Classes: []Class{{Name: "read", Aim: 500_000, Deadline: 2_000_000, Worth: 1}},
			Servers: 1, Cores: 1, MemoryKB: 100_000, CrowdFactor: 4, AnswerGrace: 50_000, Tick: 1_000}
		s, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		for id := RequestID(1); id <= 3; id++ { // one runs, the others are held
			s.Step(1_000_000, []Event{{Kind: EvArrival, ID: id, Arrival: Arrival{Tenant: -1, KB: 20}}})
		}
		ends := []Event{{Kind: EvDone, ID: 3, Outcome: o}, {Kind: EvDone, ID: 3, Outcome: o}}
		s.Step(1_000_000, ends)
		if len(s.byID) != 2 || len(s.queue) != 1 || s.memory != 20*2 {
			t.Errorf("outcome %d: %d in hand, %d held, %v KB", o, len(s.byID), len(s.queue), s.memory)
		}
	}
}
