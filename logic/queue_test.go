package logic

import "testing"

func TestQueueIsOrderedByWeightDensity(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 0, 100*ms)
	d.completeRun(2, 2, 100*ms)
	d.step(0, arrival(3, 0, 3000*ms), arrival(4, 0, 3000*ms))
	d.step(0, arrival(5, 0, 3000*ms), arrival(6, 2, 3000*ms))
	out := d.step(50*ms, runEnded(3, OutcomeOK, 50*ms))
	d.wantAction(out, ActionRun, 6)
	d.wantNoAction(out, ActionRun, 5)
}

func TestOverQuotaRequestsStartLast(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 0, 100*ms)
	arrivalOf := func(id RequestID, tenant int) Event {
		ev := arrival(id, 0, 3000*ms)
		ev.Arrival.Tenant = tenant
		return ev
	}
	var burst []Event
	for id := RequestID(10); id < 20; id++ { // more than this server's share of tenant 1's quota
		burst = append(burst, arrivalOf(id, 1))
	}
	d.step(0, burst...)
	out := d.step(4*ms, arrivalOf(30, 0), runEnded(10, OutcomeOK, 100*ms), runEnded(11, OutcomeOK, 100*ms), runEnded(12, OutcomeOK, 100*ms))
	d.wantAction(out, ActionRun, 30)
}

func TestFirstAttemptsStartBeforeRetries(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 0, 100*ms)
	d.step(0, arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms))
	retry := arrival(4, 0, 3000*ms)
	retry.Arrival.Retry = true
	d.step(0, retry)
	out := d.step(20*ms, arrival(5, 0, 3000*ms), runEnded(2, OutcomeOK, 20*ms))
	d.wantAction(out, ActionRun, 5)
	d.wantNoAction(out, ActionRun, 4)
}
