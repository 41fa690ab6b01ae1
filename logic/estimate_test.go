package logic

import "testing"

func TestHintsScaleEstimate(t *testing.T) {
	d := newDriver(t, testSettings())
	ev := arrival(1, 0, 3000*ms)
	ev.Arrival.WorkHint = 100 * ms
	d.step(0, ev)
	d.step(200*ms, runEnded(1, OutcomeOK, 200*ms))
	r := &request{Arrival: Arrival{Class: 0, WorkHint: 50 * ms}}
	if got := d.s.expectedRunTime(r); got != float64(100*ms) {
		t.Errorf("T_m for a hint of 50 ms is %v us, want 100000", got)
	}
}

func TestHintedRunTimeHasConstantPart(t *testing.T) {
	d := newDriver(t, testSettings())
	for id := RequestID(1); id <= 60; id++ { // each run waits for 300 ms in addition to its work
		work := 50 * ms * Micros(1+id%4)
		ev := arrival(id, 0, 3000*ms)
		ev.Arrival.WorkHint = work
		d.step(ms, ev)
		d.step(work+300*ms, runEnded(id, OutcomeOK, work+300*ms))
	}
	got := d.s.expectedRunTime(&request{Arrival: Arrival{Class: 0, WorkHint: 800 * ms}})
	if got < 950e3 || got > 1300e3 {
		t.Errorf("T_m for 800 ms of work is %.0f ms, want about 1,100", got/1e3)
	}
}

// TestFirstHintedSampleLimitsSlope guards against an estimate that scales the waits of the first run with the work
// hint: a request with four times the work would be expected to miss its bounds and be rejected.
func TestFirstHintedSampleLimitsSlope(t *testing.T) {
	d := newDriver(t, testSettings())
	ev := arrival(1, 0, 3000*ms)
	ev.Arrival.WorkHint = 50 * ms
	d.step(0, ev)
	d.step(350*ms, runEnded(1, OutcomeOK, 350*ms))
	if got := d.s.expectedRunTime(&request{Arrival: Arrival{Class: 0, WorkHint: 200 * ms}}); got < 350e3 || got > 700e3 {
		t.Errorf("T_m for 200 ms of work is %.0f ms, want 350 to 700", got/1e3)
	}
}

func TestOnlySuccessfulRunsAreSampled(t *testing.T) {
	for name, ev := range map[string]Event{
		"failed":      runEnded(2, OutcomeFailed, ms),
		"canceled":    runEnded(2, OutcomeCanceled, ms),
		"not started": runEnded(2, OutcomeNotStarted, ms),
	} {
		d := newDriver(t, testSettings())
		d.completeRun(1, 0, 300*ms)
		d.step(0, arrival(2, 0, 3000*ms))
		d.step(ms, ev)
		if got := d.s.classes[0].RunTime.Mean; got != float64(300*ms) {
			t.Errorf("%s: T_m changed to %v µs, want 300000", name, got)
		}
	}
}

func TestRunsStartedBeforeStallEndAreNotSampled(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 0, 100*ms)
	d.step(0, arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms))
	d.step(1500*ms, runEnded(2, OutcomeOK, 1500*ms), arrival(4, 0, 3000*ms), runEnded(3, OutcomeOK, 1500*ms))
	if got := d.s.classes[0].RunTime.Mean; got != float64(100*ms) {
		t.Errorf("T_m is %v µs, want 100000: a run that started before the end of the stall was sampled", got)
	}
}

func TestAbandonedRunRaisesEstimate(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 1, 50*ms)
	before := d.s.classes[1].RunTime.Mean
	d.step(0, arrival(2, 1, 900*ms))
	d.wantAction(d.step(900*ms, timerEvent()), ActionFail, 2)
	if got := d.s.classes[1].RunTime.Mean; got <= before {
		t.Errorf("T_m %.0f ms after a run was abandoned at 900 ms, want above the %.0f before", got/1e3, before/1e3)
	}
}
