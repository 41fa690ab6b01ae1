package logic

import "testing"

// rankedSettings is a server whose callers heed a floor.
func rankedSettings() Settings {
	cfg := testSettings()
	cfg.SignalMode = SignalPriorityFloor
	return cfg
}

func TestFloorRisesToTheRanksOfWhatIsRefusedAndReturns(t *testing.T) {
	d := drive(t, rankedSettings())
	d.learn(1000, 0, 900*ms)
	for id := RequestID(1); id <= 60; id++ {
		ev := arrival(id, 0, 3000*ms)
		ev.Arrival.PriorityRank = float64(id%10) / 20 // reads take the lower half of the ranks
		if id%6 == 0 {
			ev = arrival(id, 1, 3000*ms)
			ev.Arrival.PriorityRank = 0.5 + float64(id%10)/20
		}
		d.step(30*ms, ev)
		d.step(2*ms, tick())
	}
	high := d.s.priorityFloor
	if high <= 0.05 || high >= 0.95 {
		t.Fatalf("floor %.2f with %.2f refused: want it within the ranks of what arrives", high, d.s.rejectedShare.Mean)
	}
	d.s.rejectedShare.Mean = 0
	for range 300 { // 10 s without refusals
		d.step(32*ms, tick())
	}
	if d.s.priorityFloor > 0.01 {
		t.Errorf("floor %.2f 10 s after the last refusal", d.s.priorityFloor)
	}
}

func TestFloorStaysWhereCallsAreShort(t *testing.T) {
	d := drive(t, rankedSettings())
	d.s.callTime.add(float64(500*ms), 1)
	for id := RequestID(1); id <= 40; id++ {
		ev := arrival(id, 0, 3000*ms)
		ev.Arrival.PriorityRank = 0.3
		d.step(0, ev)
	}
	d.s.rejectedShare.Mean, d.s.callCredit = 0.5, 0
	d.s.updatePriorityFloor()
	if d.s.priorityFloor != 0 {
		t.Errorf("floor %.2f although calls are what is short", d.s.priorityFloor)
	}
}

// lateArrival is a request that was read long after it reached the machine.
func lateArrival(id RequestID, age Micros) Event {
	ev := arrival(id, 0, 2000*ms)
	ev.Arrival.Age = age
	return ev
}

func health(actions []Action) (on, said bool) {
	for _, a := range actions {
		if a.Kind == ActionSetHealth {
			on, said = a.Healthy, true
		}
	}
	return on, said
}

func TestStaleReadsFailHealthUntilNothingIsUnread(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0)
	failed := false
	for id := RequestID(1); id <= 30; id++ {
		if on, said := health(d.step(50*ms, lateArrival(id, 900*ms))); said {
			failed = !on
		}
	}
	if !failed {
		t.Fatal("health good although everything is read 0.9 s late under an aim of 1 s")
	}
	idle := tick()
	idle.Gauges.RunQueueLength = 0
	for range 400 {
		if on, said := health(d.step(30*ms, idle)); said && on {
			return
		}
	}
	t.Error("health did not return with nothing unread")
}

func TestBriskReadsKeepHealth(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0)
	for id := RequestID(1); id <= 30; id++ {
		if on, said := health(d.step(50*ms, lateArrival(id, 100*ms))); said && !on {
			t.Fatal("health failed with reads 0.1 s old")
		}
		d.step(10*ms, done(id, OutcomeOK, 10*ms))
	}
}

func TestHintedRunTimeHasAConstantPart(t *testing.T) {
	d := drive(t, testSettings())
	for id := RequestID(1); id <= 60; id++ { // 300 ms of waiting whatever the work
		work := 50 * ms * Micros(1+id%4)
		ev := arrival(id, 0, 3000*ms)
		ev.Arrival.WorkHint = work
		d.step(ms, ev)
		d.step(work+300*ms, done(id, OutcomeOK, work+300*ms))
	}
	got := d.s.expectedRunTime(&request{Arrival: Arrival{Class: 0, WorkHint: 800 * ms}})
	if got < 950e3 || got > 1300e3 {
		t.Errorf("T_m for 800 ms of work is %.0f ms, want about 1,100", got/1e3)
	}
}

func TestNoAgeWithoutToldWaits(t *testing.T) {
	cfg := testSettings()
	cfg.DeadlinePropagated = false
	d := drive(t, cfg)
	for id := RequestID(1); id <= 40; id++ {
		ev := arrival(id, 0, 0)
		ev.Arrival.Age = 100 * ms
		if id == 40 {
			ev.Arrival.Age = 200 * ms // read a little later than the others: no later try
		}
		out := d.step(400*ms, ev)
		d.want(out, ActionRun, id)
		if id < 39 { // the last but one still runs, so that the last is no probe
			d.step(10*ms, done(id, OutcomeOK, 10*ms))
		}
	}
}

func TestLateWorkLeavesInProportionToItsWorth(t *testing.T) {
	d := drive(t, testSettings())
	r := &request{Arrival: Arrival{Class: 2}, deadline: 3000 * ms} // late worth 0.2: aim 1 s, deadline 3 s
	for _, c := range []struct {
		running int
		share   float64
	}{{0, idleOldQueueBoundShare}, {1, idleOldQueueBoundShare}, {2, oldQueueBoundShare}} { // of two cores
		d.s.running = c.running
		_, d2 := d.s.queueBounds(r)
		if want := 1400e3 * c.share; d2 < want-1 || d2 > want+1 {
			t.Errorf("%d running: D2 %.0f ms, want %.0f", c.running, d2/1e3, want/1e3)
		}
	}
}

// TestFirstSampleSuggestsNoSteepSlope: a first run that mostly waited must not make work that is four times as large
// look hopeless.
func TestFirstSampleSuggestsNoSteepSlope(t *testing.T) {
	d := drive(t, testSettings())
	ev := arrival(1, 0, 3000*ms)
	ev.Arrival.WorkHint = 50 * ms
	d.step(0, ev)
	d.step(350*ms, done(1, OutcomeOK, 350*ms))
	if got := d.s.expectedRunTime(&request{Arrival: Arrival{Class: 0, WorkHint: 200 * ms}}); got < 350e3 || got > 700e3 {
		t.Errorf("T_m for 200 ms of work is %.0f ms, want 350 to 700", got/1e3)
	}
}

func TestRunGivenUpIsASample(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 1, 50*ms)
	before := d.s.classes[1].RunTime.Mean
	d.step(0, arrival(2, 1, 900*ms))
	d.want(d.step(900*ms, tick()), ActionFail, 2)
	if got := d.s.classes[1].RunTime.Mean; got <= before {
		t.Errorf("T_m %.0f ms after a run given up at 900 ms, %.0f before", got/1e3, before/1e3)
	}
}
