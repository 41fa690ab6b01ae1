package logic

import "testing"

func TestRunningRequestIsAnsweredAtDeadline(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 2, 500*ms))
	d.wantAction(d.step(500*ms, timerEvent()), ActionFail, 1)
	out := d.step(10*ms, timerEvent())
	d.wantNoAction(out, ActionFail, 1)
	d.wantNoAction(out, ActionStop, 1) // a run that is not idempotent must not be stopped
}

func TestDeadlineDefaultsToClientTimeout(t *testing.T) {
	cfg := testSettings()
	cfg.DeadlinePropagated = false
	d := newDriver(t, cfg)
	d.step(0, arrival(1, 0, 0))
	d.wantNoAction(d.step(2900*ms, timerEvent()), ActionReject, 1)
	d.wantAction(d.step(100*ms, timerEvent()), ActionReject, 1)
}

func TestAnsweredRunIsStoppedWhileOthersWait(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 0, 300*ms), arrival(2, 0, 3000*ms))
	d.step(0, arrival(3, 0, 3000*ms))
	out := d.step(300*ms, timerEvent())
	d.wantAction(out, ActionReject, 1)
	d.wantAction(out, ActionStop, 1)
	d.wantAction(d.step(4*ms, runEnded(1, OutcomeCanceled, 300*ms)), ActionRun, 3)
}

func TestNonIdempotentRunIsNeverStopped(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 1, 300*ms), arrival(2, 2, 300*ms))
	d.step(0, arrival(3, 0, 3000*ms)) // queued, so that stopping a run would free a slot for it
	var out []Action
	for range 60 {
		out = append(out, d.step(10*ms, timerEvent())...)
	}
	d.wantAction(out, ActionFail, 1)
	d.wantNoAction(out, ActionStop, 1)
	d.wantNoAction(out, ActionStop, 2)
}
