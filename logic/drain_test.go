package logic

import "testing"

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
