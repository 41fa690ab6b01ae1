package logic

import "testing"

func TestStallFailsHealthUntilRunsComplete(t *testing.T) {
	d := newDriver(t, testSettings())
	for id := RequestID(100); id < 110; id++ {
		d.completeRun(id, 0, 100*ms)
	}
	d.step(0, arrival(1, 0, 9000*ms), arrival(2, 0, 9000*ms))
	var failed, rejected bool
	for i := range RequestID(60) {
		for _, a := range d.step(50*ms, timerEvent(), arrival(10+i, 0, 900*ms)) {
			failed = failed || a.Kind == ActionSetHealth && !a.Healthy
			rejected = rejected || a.Kind == ActionReject && a.Duration == d.s.cfg.MaxRetryAfter
		}
	}
	if !failed || !rejected {
		t.Fatalf("during the stall: health failed %v, rejected with the longest Retry-After %v; want both", failed, rejected)
	}
	recovered := false
	for _, a := range d.step(10*ms, runEnded(1, OutcomeOK, 3000*ms), runEnded(2, OutcomeOK, 3000*ms)) {
		recovered = recovered || a.Kind == ActionSetHealth && a.Healthy
	}
	if !recovered {
		t.Error("the server is still unhealthy after the runs have completed")
	}
}

func TestHealthRecoversAfterFailedRuns(t *testing.T) {
	d := newDriver(t, testSettings())
	id := RequestID(1)
	for range 20 {
		if ran := firstStarted(d.step(10*ms, arrival(id, 0, 3000*ms))); ran != 0 {
			d.step(5*ms, runEnded(ran, OutcomeFailed, 5*ms))
		}
		id++
	}
	if d.s.sentHealthy {
		t.Fatal("the server is healthy although all runs fail")
	}
	for range 20 {
		if ran := firstStarted(d.step(200*ms, arrival(id, 0, 3000*ms))); ran != 0 {
			d.step(50*ms, runEnded(ran, OutcomeOK, 50*ms))
		}
		id++
	}
	if !d.s.sentHealthy {
		t.Error("the server is still unhealthy although all probes succeeded")
	}
}

func TestSparseTrafficIsNoStall(t *testing.T) {
	d := newDriver(t, testSettings())
	for id := RequestID(1); id <= 20; id++ {
		d.completeRun(id, 0, 50*ms)
		d.step(900 * ms)
	}
	d.completeRun(21, 0, 800*ms) // one core is idle, so the completion gap is no sign of a stall
	if got := d.s.classes[0].RunTime.Mean; got <= float64(50*ms) {
		t.Errorf("T_m is still %v µs: the long run was taken for a stall", got)
	}
}

func TestStaleEstimateIsProbed(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 0, 2900*ms) // far above the objective: without probes every request would be rejected
	id, ran := RequestID(2), RequestID(0)
	for i := 0; i < 40 && ran == 0; i++ {
		ran = firstStarted(d.step(100*ms, arrival(id, 0, 3000*ms)))
		id++
	}
	if ran == 0 {
		t.Fatal("no probe was started: the outdated estimate rejects every request")
	}
	d.step(50*ms, runEnded(ran, OutcomeOK, 50*ms))
	for range 3 {
		if ran := firstStarted(d.step(600*ms, arrival(id, 0, 3000*ms))); ran != 0 {
			d.step(50*ms, runEnded(ran, OutcomeOK, 50*ms))
		}
		id++
	}
	d.wantAction(d.step(4*ms, arrival(id, 0, 3000*ms)), ActionRun, id)
}

// lateArrival returns the arrival of a request that was read the given time after it reached the machine.
func lateArrival(id RequestID, age Micros) Event {
	ev := arrival(id, 0, 2000*ms)
	ev.Arrival.Age = age
	return ev
}

func sentHealth(actions []Action) (healthy, sent bool) {
	for _, a := range actions {
		if a.Kind == ActionSetHealth {
			healthy, sent = a.Healthy, true
		}
	}
	return healthy, sent
}

func TestStaleReadsFailHealthUntilNothingIsUnread(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0)
	failed := false
	for id := RequestID(1); id <= 30; id++ {
		if healthy, sent := sentHealth(d.step(50*ms, lateArrival(id, 900*ms))); sent {
			failed = !healthy
		}
	}
	if !failed {
		t.Fatal("the server is healthy although requests are read after 0.9 s with an objective of 1 s")
	}
	idle := timerEvent()
	idle.Gauges.RunQueueLength = 0
	for range 400 {
		if healthy, sent := sentHealth(d.step(30*ms, idle)); sent && healthy {
			return
		}
	}
	t.Error("the server is still unhealthy although no request is unread")
}

func TestPromptReadsKeepServerHealthy(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0)
	for id := RequestID(1); id <= 30; id++ {
		if healthy, sent := sentHealth(d.step(50*ms, lateArrival(id, 100*ms))); sent && !healthy {
			t.Fatal("the server is unhealthy although requests are read after 0.1 s")
		}
		d.step(10*ms, runEnded(id, OutcomeOK, 10*ms))
	}
}
