package logic

import "testing"

func TestDrainRejectsLateArrivalsAndAnswersAll(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 2, 9000*ms), Event{Kind: EventDrain, TimeToKill: 3000 * ms})
	d.wantAction(d.step(500*ms, arrival(2, 0, 3000*ms)), ActionRun, 2)
	d.step(100*ms, runEnded(2, OutcomeOK, 100*ms))
	out := d.step(600*ms, arrival(3, 0, 3000*ms))
	d.wantAction(out, ActionReject, 3)
	d.wantNoAction(out, ActionRun, 3)
	d.wantAction(d.step(1700*ms, timerEvent()), ActionFail, 1)
}
