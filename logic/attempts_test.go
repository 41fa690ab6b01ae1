package logic

import "testing"

func TestNoEarlierAttemptsWithoutDeadlinePropagation(t *testing.T) {
	cfg := testSettings()
	cfg.DeadlinePropagated = false
	d := newDriver(t, cfg)
	for id := RequestID(1); id <= 40; id++ {
		ev := arrival(id, 0, 0)
		ev.Arrival.Age = 100 * ms
		if id == 40 {
			ev.Arrival.Age = 200 * ms // read later than the others, but not a retry
		}
		out := d.step(400*ms, ev)
		d.wantAction(out, ActionRun, id)
		if id < 39 { // the last but one still runs, so that the last is not started as a probe
			d.step(10*ms, runEnded(id, OutcomeOK, 10*ms))
		}
	}
}

// TestMissingAttemptTimeoutMeansFirstAttempt checks that a request without an attempt timeout counts as a first
// attempt, even if other requests have timeouts.
func TestMissingAttemptTimeoutMeansFirstAttempt(t *testing.T) {
	d := newDriver(t, testSettings())
	for id := RequestID(1); id <= 40; id++ {
		ev := arrival(id, 0, 0)
		ev.Arrival.Age = 20 * ms
		d.step(4*ms, ev)
		if r := d.s.byID[id]; r == nil || r.firstAttemptAt != r.arrivedAt || r.deadline != r.arrivedAt+3000*ms {
			t.Fatalf("request %d: %+v", id, r)
		}
		d.step(0, Event{Kind: EventCanceled, ID: id}, runEnded(id, OutcomeCanceled, 0))
	}
}
