package logic

import "testing"

func TestNewQueueStartsWhatMeetsTheAim(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 300*ms)
	d.want(d.step(0, arrival(2, 0, 3000*ms)), ActRun, 2)
}

func TestRefusedFromTheOldQueue(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 500*ms)
	d.step(0, arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms), arrival(4, 0, 3000*ms))
	// 2 and 3 fill the cores; 4 waits past what D2 leaves for a run of 500 ms.
	busy := tick()
	busy.Gauges.RunQueue = 5
	d.wantNone(d.step(10*ms, busy), ActRun, 4)
	var refused *Action
	for range 100 {
		if refused = find(d.step(8*ms, busy), ActRefuse, 4); refused != nil {
			break
		}
	}
	if refused == nil {
		t.Fatal("a request that cannot meet D2 was never refused")
	}
	if d.now-5500*ms < Micros(queuedShare*1000)*ms {
		t.Error("refused before it was held for its share of the aim")
	}
}

func TestWorthForCoreTimeOrdersTheHold(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 100*ms)
	d.learn(2, 2, 100*ms)
	d.step(0, arrival(3, 0, 3000*ms), arrival(4, 0, 3000*ms))
	d.step(0, arrival(5, 0, 3000*ms), arrival(6, 2, 3000*ms))
	out := d.step(50*ms, done(3, OK, 50*ms))
	d.want(out, ActRun, 6)
	d.wantNone(out, ActRun, 5)
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
	out := d.step(4*ms, of(30, 0), done(10, OK, 100*ms), done(11, OK, 100*ms), done(12, OK, 100*ms))
	d.want(out, ActRun, 30)
}

func TestHintsScaleTheEstimate(t *testing.T) {
	d := drive(t, testSettings())
	ev := arrival(1, 0, 3000*ms)
	ev.Arrival.Hint = 100 * ms
	d.step(0, ev)
	d.step(200*ms, done(1, OK, 200*ms))
	r := &request{Arrival: Arrival{Class: 0, Hint: 50 * ms}}
	if got := d.s.runTime(r); got != float64(100*ms) {
		t.Errorf("T_m for a hint of 50 ms is %v us, want 100000", got)
	}
}

func TestOnlyCleanRunsAreSamples(t *testing.T) {
	for name, ev := range map[string]Event{
		"failed":    done(2, Failed, ms),
		"cancelled": done(2, Cancelled, ms),
		"moot":      done(2, Moot, ms),
	} {
		d := drive(t, testSettings())
		d.learn(1, 0, 300*ms)
		d.step(0, arrival(2, 0, 3000*ms))
		d.step(ms, ev)
		if got := d.s.classes[0].Run.Mean; got != float64(300*ms) {
			t.Errorf("%s: T_m moved to %v", name, got)
		}
	}
}

func TestSamplesFromBeforeAStallAreSkipped(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 100*ms)
	d.step(0, arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms))
	d.step(1500*ms, done(2, OK, 1500*ms), arrival(4, 0, 3000*ms), done(3, OK, 1500*ms))
	if got := d.s.classes[0].Run.Mean; got != float64(100*ms) {
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
	d.step(50*ms, done(ran, OK, 50*ms))
	for range 3 {
		if ran := started(d.step(600*ms, arrival(id, 0, 3000*ms))); ran != 0 {
			d.step(50*ms, done(ran, OK, 50*ms))
		}
		id++
	}
	d.want(d.step(4*ms, arrival(id, 0, 3000*ms)), ActRun, id)
}

func TestLimitClimbsAndFalls(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 0, 3000*ms), arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms))
	idle := tick()
	idle.Gauges.RunQueue = 1
	d.want(d.step(4*ms, idle), ActRun, 3)
	if d.s.limit != 3 {
		t.Errorf("limit %v after a climb, want 3", d.s.limit)
	}
	d.s.limit, d.s.recent = 8, Average{Mean: 2, N: 9}
	busy := tick()
	busy.Gauges.RunQueue = 9
	d.step(4*ms, busy, done(1, OK, 100*ms))
	if d.s.limit >= 8 || d.s.limit < float64(d.s.cfg.Cores) {
		t.Errorf("limit %v after runs slowed, want a cut no lower than the cores", d.s.limit)
	}
}

func TestColdServerHasALowerCeiling(t *testing.T) {
	cfg := testSettings()
	cfg.Cold = true
	d := drive(t, cfg)
	d.step(0)
	cold := d.s.crowd() * crowdShare
	d.step(cfg.WarmAfter + ms)
	if warm := d.s.crowd() * crowdShare; cold >= warm {
		t.Errorf("ceiling cold %v, warm %v", cold, warm)
	}
	survives := float64(cfg.Cores) * (1 + (cfg.CrowdFactor-1)*cfg.ColdCapacity)
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
	out := d.step(20*ms, arrival(5, 0, 3000*ms), done(2, OK, 20*ms))
	d.want(out, ActRun, 5)
	d.wantNone(out, ActRun, 4)
}
