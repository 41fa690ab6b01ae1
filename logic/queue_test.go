package logic

import "testing"

func TestQueueIsOrderedByWeightDensity(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 100*ms)
	d.learn(2, 2, 100*ms)
	d.step(0, arrival(3, 0, 3000*ms), arrival(4, 0, 3000*ms))
	d.step(0, arrival(5, 0, 3000*ms), arrival(6, 2, 3000*ms))
	out := d.step(50*ms, done(3, OutcomeOK, 50*ms))
	d.want(out, ActionRun, 6)
	d.wantNone(out, ActionRun, 5)
}

func TestOverQuotaRequestsStartLast(t *testing.T) {
	d := drive(t, testSettings())
	d.learn(1, 0, 100*ms)
	of := func(id RequestID, tenant int) Event {
		ev := arrival(id, 0, 3000*ms)
		ev.Arrival.Tenant = tenant
		return ev
	}
	var burst []Event
	for id := RequestID(10); id < 20; id++ { // more than this server's share of tenant 1's quota
		burst = append(burst, of(id, 1))
	}
	d.step(0, burst...)
	out := d.step(4*ms, of(30, 0), done(10, OutcomeOK, 100*ms), done(11, OutcomeOK, 100*ms), done(12, OutcomeOK, 100*ms))
	d.want(out, ActionRun, 30)
}

func TestFirstAttemptsGoBeforeRetries(t *testing.T) {
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
