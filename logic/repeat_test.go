package logic

import "testing"

// reconfigure applies settings in which class 0 has the given idempotency.
func (d *driver) reconfigure(cfg Settings, idempotency Idempotency) {
	d.t.Helper()
	cfg.Classes = append([]Class(nil), cfg.Classes...)
	cfg.Classes[0].Idempotency = idempotency
	if err := d.s.Reconfigure(cfg); err != nil {
		d.t.Fatal(err)
	}
}

// TestStricterOfSemanticsAsReadAndInForceHolds guards against a request that runs or calls twice because Reconfigure changed its class
// while it was in flight: only the class in force counted, so a run that was read as not idempotent was rejected at its deadline, was
// stopped to be run again elsewhere, and its call that may have run was repeated.
func TestStricterOfSemanticsAsReadAndInForceHolds(t *testing.T) {
	for _, c := range []struct {
		name        string
		asRead, now Idempotency
		idempotent  bool // the request may run again
	}{
		{"not idempotent, then idempotent", NonIdempotent, Idempotent, false},
		{"idempotent by key, then idempotent", IdempotentByKey, Idempotent, false},
		{"idempotent, then not idempotent", Idempotent, NonIdempotent, false},
		{"idempotent throughout", Idempotent, Idempotent, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testSettings()
			cfg.Classes[0].DegradedWeightShare, cfg.CallConcurrencyLimit = 0, 0 // a call can't be skipped
			answer := map[bool]ActionKind{true: ActionReject, false: ActionFail}[c.idempotent]

			d := newDriver(t, cfg)
			d.reconfigure(cfg, c.asRead)
			d.step(0, arrival(1, 0, 300*ms), arrival(2, 0, 3000*ms))
			d.step(0, arrival(3, 0, 3000*ms)) // queued, so that stopping a run would free a slot for it
			d.reconfigure(cfg, c.now)
			out := d.step(300*ms, timerEvent())
			d.wantAction(out, answer, 1)
			if stopped := findAction(out, ActionStop, 1) != nil; stopped != c.idempotent {
				t.Errorf("the answered run was stopped %v, want %v", stopped, c.idempotent)
			}

			d = newDriver(t, cfg)
			d.reconfigure(cfg, c.asRead)
			d.step(0, arrival(1, 0, 3000*ms))
			d.wantAction(d.step(10*ms, callNeeded(1)), ActionCall, 1)
			d.reconfigure(cfg, c.now)
			out = append(d.step(100*ms, callEnded(1, OutcomeReset)), d.step(60*ms, timerEvent())...)
			if repeated := findAction(out, ActionCall, 1) != nil; repeated != c.idempotent {
				t.Errorf("the call that may have run was repeated %v, want %v", repeated, c.idempotent)
			}
		})
	}
}

// TestSemanticsAsReadComeWithArrival checks that a host which has read a request before Reconfigure, and reports it afterwards, can say
// under which semantics.
func TestSemanticsAsReadComeWithArrival(t *testing.T) {
	d := newDriver(t, testSettings())
	event := arrival(1, 0, 300*ms)
	event.Arrival.Idempotency = NonIdempotent
	d.step(0, event)
	d.wantAction(d.step(300*ms, timerEvent()), ActionFail, 1)
}
