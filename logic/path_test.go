package logic

import "testing"

func TestNewQueueStartsWhatMeetsTheAim(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 300*ms)
	d.want(d.step(0, arrival(2, 0, 3000*ms)), ActionRun, 2)
}

func TestRefusedFromTheOldQueue(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 500*ms)
	d.step(0, arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms), arrival(4, 0, 3000*ms))
	// 2 and 3 fill the cores; 4 waits past what D2 leaves for a run of 500 ms.
	busy := tick()
	busy.Gauges.RunQueueLength = 5
	d.wantNone(d.step(10*ms, busy), ActionRun, 4)
	var refused *Action
	for range 100 {
		if refused = find(d.step(8*ms, busy), ActionReject, 4); refused != nil {
			break
		}
	}
	if refused == nil {
		t.Fatal("a request that cannot meet D2 was never refused")
	}
	if d.now-5500*ms < Micros(minQueueTimeShare*1000)*ms {
		t.Error("refused before it was held for its share of the aim")
	}
}

func TestWorthForCoreTimeOrdersTheHold(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 100*ms)
	d.learn(2, 2, 100*ms)
	d.step(0, arrival(3, 0, 3000*ms), arrival(4, 0, 3000*ms))
	d.step(0, arrival(5, 0, 3000*ms), arrival(6, 2, 3000*ms))
	out := d.step(50*ms, done(3, OutcomeOK, 50*ms))
	d.want(out, ActionRun, 6)
	d.wantNone(out, ActionRun, 5)
}

func TestOverShareTrafficStartsLast(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 100*ms)
	of := func(id RequestID, tenant int) Event {
		ev := arrival(id, 0, 3000*ms)
		ev.Arrival.Tenant = tenant
		return ev
	}
	var burst []Event
	for id := RequestID(10); id < 20; id++ { // more than tenant 1's part of its quota
		burst = append(burst, of(id, 1))
	}
	d.step(0, burst...)
	out := d.step(4*ms, of(30, 0), done(10, OutcomeOK, 100*ms), done(11, OutcomeOK, 100*ms), done(12, OutcomeOK, 100*ms))
	d.want(out, ActionRun, 30)
}

func TestHintsScaleTheEstimate(t *testing.T) {
	d := drive(t, testSettings())
	ev := arrival(1, 0, 3000*ms)
	ev.Arrival.WorkHint = 100 * ms
	d.step(0, ev)
	d.step(200*ms, done(1, OutcomeOK, 200*ms))
	r := &request{Arrival: Arrival{Class: 0, WorkHint: 50 * ms}}
	if got := d.s.expectedRunTime(r); got != float64(100*ms) {
		t.Errorf("T_m for a hint of 50 ms is %v us, want 100000", got)
	}
}

func TestOnlyCleanRunsAreSamples(t *testing.T) {
	for name, ev := range map[string]Event{
		"failed":    done(2, OutcomeFailed, ms),
		"cancelled": done(2, OutcomeCanceled, ms),
		"moot":      done(2, OutcomeNotStarted, ms),
	} {
		d := drive(t, testSettings())
		d.learn(1, 0, 300*ms)
		d.step(0, arrival(2, 0, 3000*ms))
		d.step(ms, ev)
		if got := d.s.classes[0].RunTime.Mean; got != float64(300*ms) {
			t.Errorf("%s: T_m moved to %v", name, got)
		}
	}
}

func TestSamplesFromBeforeAStallAreSkipped(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 100*ms)
	d.step(0, arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms))
	d.step(1500*ms, done(2, OutcomeOK, 1500*ms), arrival(4, 0, 3000*ms), done(3, OutcomeOK, 1500*ms))
	if got := d.s.classes[0].RunTime.Mean; got != float64(100*ms) {
		t.Errorf("T_m took a sample from before the stall: %v", got)
	}
}

func TestStaleEstimateIsProbed(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 2900*ms) // far above the aim: T_m alone keeps all out
	id, ran := RequestID(2), RequestID(0)
	for i := 0; i < 40 && ran == 0; i++ {
		ran = started(d.step(100*ms, arrival(id, 0, 3000*ms)))
		id++
	}
	if ran == 0 {
		t.Fatal("no probe: a stale estimate shut the door")
	}
	d.step(50*ms, done(ran, OutcomeOK, 50*ms))
	for range 3 {
		if ran := started(d.step(600*ms, arrival(id, 0, 3000*ms))); ran != 0 {
			d.step(50*ms, done(ran, OutcomeOK, 50*ms))
		}
		id++
	}
	d.want(d.step(4*ms, arrival(id, 0, 3000*ms)), ActionRun, id)
}

func TestLimitClimbsAndFalls(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 0, 3000*ms), arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms))
	idle := tick()
	idle.Gauges.RunQueueLength = 1
	d.want(d.step(4*ms, idle), ActionRun, 3)
	if d.s.runLimit != 3 {
		t.Errorf("limit %v after a climb, want 3", d.s.runLimit)
	}
	d.s.runLimit, d.s.runSlowdown = 8, Average{Mean: 2, Samples: 9}
	busy := tick()
	busy.Gauges.RunQueueLength = 9
	d.step(4*ms, busy, done(1, OutcomeOK, 100*ms))
	if d.s.runLimit >= 8 || d.s.runLimit < float64(d.s.cfg.Cores) {
		t.Errorf("limit %v after runs slowed, want a cut no lower than the cores", d.s.runLimit)
	}
}

func TestColdServerHasALowerCeiling(t *testing.T) {
	cfg := testSettings()
	cfg.SlowStart = true
	d := drive(t, cfg)
	d.step(0)
	cold := d.s.maxConcurrency() * maxConcurrencyShare
	d.step(cfg.SlowStartDuration + ms)
	if warm := d.s.maxConcurrency() * maxConcurrencyShare; cold >= warm {
		t.Errorf("ceiling cold %v, warm %v", cold, warm)
	}
	survives := float64(cfg.Cores) * (1 + (cfg.MaxConcurrencyPerCore-1)*cfg.SlowStartCapacity)
	if cold >= survives {
		t.Errorf("cold ceiling %v is not below the %v that it survives", cold, survives)
	}
}

func TestFirstTriesGoBeforeMarkedLaterOnes(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 100*ms)
	d.step(0, arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms))
	again := arrival(4, 0, 3000*ms)
	again.Arrival.Retry = true
	d.step(0, again)
	out := d.step(20*ms, arrival(5, 0, 3000*ms), done(2, OutcomeOK, 20*ms))
	d.want(out, ActionRun, 5)
	d.wantNone(out, ActionRun, 4)
}
