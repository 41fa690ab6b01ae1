package logic

import "testing"

// dependency simulates the shared dependency for one server. All calls last for callDuration, and a call that timed
// out stays in flight for abandonedDuration. It records when calls were in flight.
type dependency struct {
	callDuration, abandonedDuration Micros
	inFlight                        []simulatedCall
	intervals                       [][2]Micros
}

type simulatedCall struct {
	id            RequestID
	from, timeout Micros
}

// endedBy returns the events of the calls that end by the given time.
func (p *dependency) endedBy(now Micros) []Event {
	var events []Event
	var kept []simulatedCall
	for _, c := range p.inFlight {
		end, outcome := c.from+p.callDuration, OutcomeOK
		releasedAt := end
		if c.from+c.timeout < end {
			end, outcome, releasedAt = c.from+c.timeout, OutcomeTimedOut, c.from+c.timeout+p.abandonedDuration
		}
		if end > now {
			kept = append(kept, c)
			continue
		}
		p.intervals = append(p.intervals, [2]Micros{c.from, releasedAt})
		events = append(events, Event{Kind: EventCallEnded, ID: c.id, Outcome: outcome, Elapsed: end - c.from})
	}
	p.inFlight = kept
	return events
}

// maxMean returns the largest mean number of calls in flight over any window that ends when a call does.
func (p *dependency) maxMean(window Micros) float64 {
	maxMean := 0.0
	for _, last := range p.intervals {
		until, sum := last[1], Micros(0)
		for _, s := range p.intervals {
			sum += max(0, min(s[1], until)-max(s[0], until-window))
		}
		maxMean = max(maxMean, float64(sum)/float64(window))
	}
	return maxMean
}

func TestMeanCallConcurrencyStaysWithinLimit(t *testing.T) {
	for _, c := range []struct {
		name         string
		limit        float64
		callDuration Micros
		class        int
		slowStart    bool
	}{
		{"limit below one, all calls time out", 0.3, 60000 * ms, 1, false},
		{"limit below one, slow calls", 0.5, 900 * ms, 1, false},
		{"limit below one, slow calls, slow start", 0.5, 900 * ms, 1, true},
		{"limit of two, all calls time out", 2, 60000 * ms, 1, false},
		{"limit of two, slow calls", 2, 900 * ms, 1, false},
		{"calls that may be skipped", 0.4, 900 * ms, 0, false},
		{"fast calls", 0.5, 20 * ms, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testSettings()
			cfg.CallConcurrencyLimit, cfg.Cores, cfg.SlowStart, cfg.MemoryKB = c.limit, 8, c.slowStart, 1e6
			d := newDriver(t, cfg)
			p := &dependency{callDuration: c.callDuration, abandonedDuration: cfg.AbandonedCallDuration}
			calls := 0
			var events []Event
			for id := RequestID(1); id <= 2000; id++ {
				events = append(events, p.endedBy(d.now+10*ms)...)
				out := d.step(10*ms, append(events, arrival(id, c.class, 3000*ms))...)
				events = nil
				for _, a := range out {
					switch a.Kind {
					case ActionRun:
						events = append(events, callNeeded(a.ID))
					case ActionCall:
						calls++
						p.inFlight = append(p.inFlight, simulatedCall{a.ID, d.now, a.Duration})
					case ActionSkipCall:
						events = append(events, runEnded(a.ID, OutcomeOK, 50*ms))
					}
				}
				for _, e := range append([]Event(nil), events...) {
					if e.Kind == EventCallEnded && e.Outcome == OutcomeOK {
						events = append(events, runEnded(e.ID, OutcomeOK, 50*ms))
					}
				}
			}
			if calls == 0 {
				t.Fatal("no call was made")
			}
			if mean := p.maxMean(cfg.CallConcurrencyWindow); mean > c.limit {
				t.Errorf("mean of %.2f calls in flight over %v µs, limit %v", mean, cfg.CallConcurrencyWindow, c.limit)
			}
		})
	}
}

func TestCallsStayWithinLimit(t *testing.T) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit, cfg.Cores = 0.5, 8
	d := newDriver(t, cfg)
	inFlight, maxMean := 0.0, 0.0
	mean := 0.0
	for i := range RequestID(400) {
		id := i + 1
		out := d.step(25*ms, arrival(id, 1, 3000*ms), callNeeded(id))
		out = append(out, d.step(0, callNeeded(id))...)
		for _, a := range out {
			if a.Kind == ActionCall {
				inFlight++
			}
			if a.Kind == ActionFail && d.s.byID[a.ID] != nil {
				d.step(0, runEnded(a.ID, OutcomeCanceled, 0))
			}
		}
		mean += (inFlight - mean) * 25 / 5000
		maxMean = max(maxMean, mean)
		if i%16 == 15 { // all calls end at once
			for _, r := range append([]*request(nil), d.s.active...) {
				if r.callInFlight {
					inFlight--
					d.step(0, callEnded(r.id, OutcomeOK), runEnded(r.id, OutcomeOK, 500*ms))
				}
			}
		}
	}
	if maxMean == 0 || maxMean > cfg.CallConcurrencyLimit {
		t.Errorf("mean number of calls in flight reached %.2f, want above 0 and at most %.2f", maxMean, cfg.CallConcurrencyLimit)
	}
}

func TestOverdrawnCallCreditRecovers(t *testing.T) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit = 0.5
	d := newDriver(t, cfg)
	d.step(0, arrival(1, 1, 3000*ms))
	d.wantAction(d.step(ms, callNeeded(1)), ActionCall, 1)
	d.step(900*ms, Event{Kind: EventCallEnded, ID: 1, Outcome: OutcomeOK, Elapsed: 900 * ms})
	d.step(ms, runEnded(1, OutcomeOK, 950*ms))
	for id := RequestID(2); id < 100; id++ { // sparse traffic after a long call
		out := d.step(500*ms, arrival(id, 1, 3000*ms))
		if findAction(out, ActionRun, id) == nil {
			continue
		}
		if findAction(d.step(ms, callNeeded(id)), ActionCall, id) != nil {
			return
		}
	}
	t.Error("no call was made within 50 s of a long call")
}

// waitForLateCall has request 2, of the given class, wait for a call with 0.23 s left, while calls take 0.3 s. It
// returns the actions of that step.
func waitForLateCall(t *testing.T, class int) (*driver, []Action) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit = 0.3
	d := newDriver(t, cfg)
	d.step(0, arrival(1, class, 3000*ms), arrival(2, class, 800*ms))
	d.step(ms, callNeeded(1))
	d.step(300*ms, Event{Kind: EventCallEnded, ID: 1, Outcome: OutcomeOK, Elapsed: 300 * ms})
	return d, d.step(150*ms, callNeeded(2))
}

func TestCallThatCannotEndInTimeIsAnsweredAtOnce(t *testing.T) {
	d, out := waitForLateCall(t, 1)
	d.wantAction(out, ActionFail, 2)
	if findAction(out, ActionCall, 2) != nil {
		t.Error("call made although it can't end in time")
	}
}

func TestLateCallIsSkippedWhereAllowed(t *testing.T) {
	d, out := waitForLateCall(t, 0)
	d.wantAction(out, ActionSkipCall, 2)
}

func TestCallsAreSkippedBeforeLimit(t *testing.T) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit, cfg.Cores = 2, 8
	d := newDriver(t, cfg)
	var made, skipped int
	for id := RequestID(1); id <= 6; id++ {
		d.step(0, arrival(id, 0, 3000*ms))
		for _, a := range d.step(ms, callNeeded(id)) {
			switch a.Kind {
			case ActionCall:
				made++
			case ActionSkipCall:
				skipped++
			}
		}
	}
	if made == 0 || skipped == 0 {
		t.Errorf("%d calls made and %d skipped, want at least one of each", made, skipped)
	}
}
