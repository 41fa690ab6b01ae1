package logic

import "testing"

func TestNonIdempotentCallsAreRetriedOnlyIfTheyNeverRan(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		retried bool
	}{{OutcomeRejected, true}, {OutcomeUnreachable, true}, {OutcomeTimedOut, false}, {OutcomeReset, false}, {OutcomeFailed, false}} {
		d := newDriver(t, testSettings())
		d.step(0, arrival(1, 1, 3000*ms))
		d.wantAction(d.step(10*ms, callNeeded(1)), ActionCall, 1)
		out := append(d.step(100*ms, callEnded(1, c.outcome)), d.step(60*ms, timerEvent())...)
		if retried := findAction(out, ActionCall, 1) != nil; retried != c.retried {
			t.Errorf("outcome %d: call retried %v, want %v", c.outcome, retried, c.retried)
		}
		if !c.retried {
			d.wantAction(out, ActionFail, 1)
		}
	}
}

func TestFailedCallIsSkippedWhereAllowed(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 0, 3000*ms))
	d.wantAction(d.step(10*ms, callNeeded(1)), ActionCall, 1)
	d.wantAction(d.step(100*ms, callEnded(1, OutcomeTimedOut)), ActionSkipCall, 1)
}

// TestFailedCallDoesNotDelayOtherCalls guards against one failed call blocking all calls to the dependency. A call that is
// idempotent is retried, any other only if it never ran, and the next request's call is made at once.
func TestFailedCallDoesNotDelayOtherCalls(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		class   int
		elapsed Micros
		want    ActionKind // for the request whose call failed
	}{
		{OutcomeReset, 0, 20 * ms, ActionCall}, {OutcomeFailed, 0, 20 * ms, ActionCall}, {OutcomeTimedOut, 0, 3000 * ms, ActionCall},
		{OutcomeReset, 1, 20 * ms, ActionFail}, {OutcomeTimedOut, 1, 1500 * ms, ActionFail}, {OutcomeRejected, 1, 20 * ms, ActionCall},
	} {
		cfg := testSettings()
		cfg.CallConcurrencyLimit, cfg.Cores = 0, 8
		d := newDriver(t, cfg)
		call := func(id RequestID, class int) {
			d.wantAction(d.step(0, arrival(id, class, 3000*ms)), ActionRun, id)
			d.wantAction(d.step(0, callNeeded(id)), ActionCall, id)
		}
		call(1, 0)
		d.step(20*ms, Event{Kind: EventCallEnded, ID: 1, Outcome: OutcomeOK, Elapsed: 20 * ms})
		call(2, c.class)
		out := d.step(20*ms, Event{Kind: EventCallEnded, ID: 2, Outcome: c.outcome, Elapsed: c.elapsed})
		if c.outcome == OutcomeRejected { // only the rejected call backs off
			call(4, 1)
			out = d.step(timerSteps*4*ms, Event{Kind: EventTimer})
		}
		d.wantAction(out, c.want, 2)
		call(3, 1)
		if mean := d.s.callTime.Mean; mean > float64(slowCallFactor*20*ms) {
			t.Errorf("outcome %v: mean call time %v µs", c.outcome, mean)
		}
		if c.class != 0 {
			continue
		}
		out = d.step(20*ms, Event{Kind: EventCallEnded, ID: 2, Outcome: c.outcome, Elapsed: c.elapsed})
		d.wantAction(out, ActionSkipCall, 2) // skipped after the second failure
	}
}

// TestHungCallsDoNotDelayOtherCalls guards against a few calls that never end delaying the other calls or raising the
// estimated call time.
func TestHungCallsDoNotDelayOtherCalls(t *testing.T) {
	cfg := testSettings()
	cfg.Cores, cfg.CallConcurrencyLimit = 8, 13
	d := newDriver(t, cfg)
	hung, made := map[RequestID]bool{}, 0
	for id := RequestID(1); id <= 400; id++ {
		class := int(id % 2) // calls of class 1 are not idempotent: they may take until the request's deadline
		out := d.step(2*ms, arrival(id, class, 3000*ms))
		out = append(out, d.step(0, Event{Kind: EventCallNeeded, ID: id})...)
		if findAction(out, ActionCall, id) == nil {
			continue
		}
		made++
		if id%200 < 2 { // four of the 400 calls hang
			hung[id] = true
			continue
		}
		d.step(ms, Event{Kind: EventCallEnded, ID: id, Outcome: OutcomeOK, Elapsed: 2 * ms})
		d.step(0, runEnded(id, OutcomeOK, 5*ms))
	}
	if made < 390 {
		t.Errorf("%d of 400 calls were made at once while %d hang, want at least 390", made, len(hung))
	}
	if mean := d.s.callTime.Mean; mean > float64(5*ms) {
		t.Errorf("mean call time %.1f ms, want at most 5; the answered calls took 2", mean/1000)
	}
}
