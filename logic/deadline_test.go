package logic

import "testing"

func TestDeadlineAnswersRunningWork(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 500*ms))
	d.want(d.step(500*ms, tick()), ActionFail, 1)
	out := d.step(10*ms, tick())
	d.wantNone(out, ActionFail, 1)
	d.wantNone(out, ActionStop, 1) // a run that is not idempotent must not be stopped
}

func TestDeadlineWithoutAttemptTimeout(t *testing.T) {
	cfg := testSettings()
	cfg.DeadlinePropagated = false
	d := drive(t, cfg)
	d.step(0, arrival(1, 0, 0))
	d.wantNone(d.step(2900*ms, tick()), ActionReject, 1)
	d.want(d.step(100*ms, tick()), ActionReject, 1)
}

func TestAnsweredRunIsStoppedWhileOthersWait(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 0, 300*ms), arrival(2, 0, 3000*ms))
	d.step(0, arrival(3, 0, 3000*ms))
	out := d.step(300*ms, tick())
	d.want(out, ActionReject, 1)
	d.want(out, ActionStop, 1)
	d.want(d.step(4*ms, done(1, OutcomeCanceled, 300*ms)), ActionRun, 3)
}

func TestNonIdempotentRunIsNeverStopped(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 1, 300*ms), arrival(2, 2, 300*ms))
	d.step(0, arrival(3, 0, 3000*ms)) // queued, so that stopping a run would free a slot for it
	var out []Action
	for range 60 {
		out = append(out, d.step(10*ms, tick())...)
	}
	d.want(out, ActionFail, 1)
	d.wantNone(out, ActionStop, 1)
	d.wantNone(out, ActionStop, 2)
}
