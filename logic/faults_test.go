package logic

import "testing"

// The tests in this file combine two faults or check the recovery from one.

func TestDrainWhileStalledAnswersEachRequestOnce(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 2, 60000*ms), arrival(2, 0, 60000*ms), arrival(3, 0, 60000*ms))
	d.step(2000*ms, Event{Kind: EventDrain, TimeToKill: 2000 * ms})
	answered := map[RequestID]int{}
	for range 200 { // nothing completes
		for _, a := range d.step(10*ms, timerEvent()) {
			if a.Kind == ActionFail || a.Kind == ActionReject {
				answered[a.ID]++
			}
			if a.Kind == ActionReject && a.ID == 1 {
				t.Error("request 1 was rejected although its run had started and is not idempotent")
			}
		}
	}
	for id := RequestID(1); id <= 3; id++ {
		if id != 3 && answered[id] != 1 || answered[id] > 1 {
			t.Errorf("request %d has %d answers when the process is killed", id, answered[id])
		}
	}
}

func TestSlowStartLimitsRunsInBurst(t *testing.T) {
	cfg := testSettings()
	cfg.SlowStart = true
	d := newDriver(t, cfg)
	var burst []Event
	for id := RequestID(1); id <= 60; id++ {
		burst = append(burst, arrival(id, 0, 3000*ms))
	}
	d.step(0, burst...)
	idle := timerEvent()
	idle.Gauges.RunQueueLength = 0 // would raise the run limit of a warm server
	sustained := float64(cfg.Cores) * (1 + (cfg.MaxConcurrencyPerCore-1)*cfg.SlowStartCapacity)
	for range 50 {
		d.step(4*ms, idle)
		if float64(d.s.running) > sustained {
			t.Fatalf("%d runs on a starting server that sustains %.1f", d.s.running, sustained)
		}
	}
}

func TestCallsInFlightStayBoundedInRetryStorm(t *testing.T) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit, cfg.Cores = 2, 4
	d := newDriver(t, cfg)
	maxInFlight := 0
	for i := range RequestID(300) {
		id := i + 1
		out := d.step(10*ms, arrival(id, 0, 1500*ms))
		for _, a := range out {
			if a.Kind == ActionRun {
				d.step(0, callNeeded(a.ID)) // the call never ends
			}
		}
		maxInFlight = max(maxInFlight, d.s.callsInFlight)
		for _, r := range append([]*request(nil), d.s.active...) {
			if r.state == stateRunning {
				d.step(0, runEnded(r.id, OutcomeOK, 20*ms))
			}
		}
	}
	if maxInFlight == 0 || float64(maxInFlight) > 2*cfg.CallConcurrencyLimit+1 {
		t.Errorf("up to %d calls in flight with a limit of %v", maxInFlight, cfg.CallConcurrencyLimit)
	}
}

func TestFullKeyTableInOverloadStillServesReads(t *testing.T) {
	cfg := testSettings()
	cfg.KeyEntryKB = cfg.MemoryKB / 3
	d := newDriver(t, cfg)
	for id := RequestID(1); id <= 6; id++ {
		if ran := firstStarted(d.step(10*ms, arrival(id, 1, 3000*ms))); ran != 0 {
			d.step(0, runEnded(ran, OutcomeOK, 10*ms))
		}
	}
	d.wantAction(d.step(10*ms, arrival(50, 0, 3000*ms)), ActionRun, 50)
}

func TestRunLimitAndRetryAfterRecover(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 0, 100*ms)
	var burst []Event
	for id := RequestID(10); id < 60; id++ {
		burst = append(burst, arrival(id, 0, 3000*ms))
	}
	d.step(0, burst...)
	if d.s.retryAfter() == 0 {
		t.Fatal("Retry-After is 0 with a long queue")
	}
	for range 100 {
		var ended []Event
		for _, r := range d.s.active {
			ended = append(ended, runEnded(r.id, OutcomeOK, 100*ms))
		}
		d.step(100*ms, append(ended, timerEvent())...)
	}
	if n := len(d.s.byID); n != 0 {
		t.Fatalf("%d requests still in flight after the burst", n)
	}
	if d.s.retryAfter() != 0 || d.s.runLimit < float64(d.s.cfg.Cores) {
		t.Errorf("after the burst: Retry-After %v, want 0; run limit %v, want at least the cores", d.s.retryAfter(), d.s.runLimit)
	}
	d.wantAction(d.step(10*ms, arrival(99, 0, 3000*ms)), ActionRun, 99)
}
