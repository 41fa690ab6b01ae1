package logic

import "testing"

// dependency plays the shared dependency for one server: each call takes the same time, and one given up
// stays in hand for the linger. It records when calls were in hand.
type dependency struct {
	takes, linger Micros
	out           []callOut
	spans         [][2]Micros
}

type callOut struct {
	id            RequestID
	from, timeout Micros
}

// due returns the news of calls that end by now.
func (p *dependency) due(now Micros) []Event {
	var news []Event
	var kept []callOut
	for _, c := range p.out {
		end, outcome := c.from+p.takes, OutcomeOK
		left := end
		if c.from+c.timeout < end {
			end, outcome, left = c.from+c.timeout, OutcomeTimedOut, c.from+c.timeout+p.linger
		}
		if end > now {
			kept = append(kept, c)
			continue
		}
		p.spans = append(p.spans, [2]Micros{c.from, left})
		news = append(news, Event{Kind: EventCallEnded, ID: c.id, Outcome: outcome, Elapsed: end - c.from})
	}
	p.out = kept
	return news
}

// most is the largest mean of the calls in hand over any span that ends with a call.
func (p *dependency) most(span Micros) float64 {
	most := 0.0
	for _, last := range p.spans {
		until, sum := last[1], Micros(0)
		for _, s := range p.spans {
			sum += max(0, min(s[1], until)-max(s[0], until-span))
		}
		most = max(most, float64(sum)/float64(span))
	}
	return most
}

func TestMeanOfCallsInHandStaysWithinTheShare(t *testing.T) {
	for _, c := range []struct {
		name  string
		share float64
		takes Micros
		class int
		cold  bool
	}{
		{"share under one, calls never end", 0.3, 60000 * ms, 1, false},
		{"share under one, slow calls", 0.5, 900 * ms, 1, false},
		{"share under one, slow calls, cold", 0.5, 900 * ms, 1, true},
		{"share of two, calls never end", 2, 60000 * ms, 1, false},
		{"share of two, slow calls", 2, 900 * ms, 1, false},
		{"calls that may be left out", 0.4, 900 * ms, 0, false},
		{"quick calls", 0.5, 20 * ms, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testSettings()
			cfg.CallConcurrencyLimit, cfg.Cores, cfg.SlowStart, cfg.MemoryKB = c.share, 8, c.cold, 1e6
			d := drive(t, cfg)
			p := &dependency{takes: c.takes, linger: cfg.AbandonedCallDuration}
			calls := 0
			var news []Event
			for id := RequestID(1); id <= 2000; id++ {
				news = append(news, p.due(d.now+10*ms)...)
				out := d.step(10*ms, append(news, arrival(id, c.class, 3000*ms))...)
				news = nil
				for _, a := range out {
					switch a.Kind {
					case ActionRun:
						news = append(news, needs(a.ID))
					case ActionCall:
						calls++
						p.out = append(p.out, callOut{a.ID, d.now, a.Duration})
					case ActionSkipCall:
						news = append(news, done(a.ID, OutcomeOK, 50*ms))
					}
				}
				for _, e := range append([]Event(nil), news...) {
					if e.Kind == EventCallEnded && e.Outcome == OutcomeOK {
						news = append(news, done(e.ID, OutcomeOK, 50*ms))
					}
				}
			}
			if calls == 0 {
				t.Fatal("no call was made")
			}
			if most := p.most(cfg.CallConcurrencyWindow); most > c.share {
				t.Errorf("a mean of %.2f calls in hand over %v under a share of %v", most, cfg.CallConcurrencyWindow, c.share)
			}
		})
	}
}

func TestDebtOfCallTimeEnds(t *testing.T) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit = 0.5
	d := drive(t, cfg)
	d.step(0, arrival(1, 1, 3000*ms))
	d.want(d.step(ms, needs(1)), ActionCall, 1)
	d.step(900*ms, Event{Kind: EventCallEnded, ID: 1, Outcome: OutcomeOK, Elapsed: 900 * ms})
	d.step(ms, done(1, OutcomeOK, 950*ms))
	for id := RequestID(2); id < 100; id++ { // thin traffic after a crowd at the dependency
		out := d.step(500*ms, arrival(id, 1, 3000*ms))
		if find(out, ActionRun, id) == nil {
			continue
		}
		if find(d.step(ms, needs(id)), ActionCall, id) != nil {
			return
		}
	}
	t.Error("no call within 50 s of one that took long")
}

// atLateCall brings request 2, of the given class, to a call with 0.23 s left where calls take 0.3 s.
func atLateCall(t *testing.T, class int) (*driver, []Action) {
	cfg := testSettings()
	cfg.CallConcurrencyLimit = 0.3
	d := drive(t, cfg)
	d.step(0, arrival(1, class, 3000*ms), arrival(2, class, 800*ms))
	d.step(ms, needs(1))
	d.step(300*ms, Event{Kind: EventCallEnded, ID: 1, Outcome: OutcomeOK, Elapsed: 300 * ms})
	return d, d.step(150*ms, needs(2))
}

func TestCallThatCannotEndInTimeIsAnsweredAtOnce(t *testing.T) {
	d, out := atLateCall(t, 1)
	d.want(out, ActionFail, 2)
	if find(out, ActionCall, 2) != nil {
		t.Error("called although it can't end in time")
	}
}

func TestLateCallIsLeftOutWhereThatHasWorth(t *testing.T) {
	d, out := atLateCall(t, 0)
	d.want(out, ActionSkipCall, 2)
}

// TestALostReplyHoldsUpNoOtherCall: a call that did not go well tells nothing of the whole tier below. A safe one is
// made again, one of an effect only if it never ran, and the next request's call goes out at once.
func TestALostReplyHoldsUpNoOtherCall(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		class   int
		elapsed Micros
		want    ActionKind // for the request whose reply was lost
	}{
		{OutcomeReset, 0, 20 * ms, ActionCall}, {OutcomeFailed, 0, 20 * ms, ActionCall}, {OutcomeTimedOut, 0, 3000 * ms, ActionCall},
		{OutcomeReset, 1, 20 * ms, ActionFail}, {OutcomeTimedOut, 1, 1500 * ms, ActionFail}, {OutcomeRejected, 1, 20 * ms, ActionCall},
	} {
		cfg := testSettings()
		cfg.CallConcurrencyLimit, cfg.Cores = 0, 8
		d := drive(t, cfg)
		call := func(id RequestID, class int) {
			d.want(d.step(0, arrival(id, class, 3000*ms)), ActionRun, id)
			d.want(d.step(0, needs(id)), ActionCall, id)
		}
		call(1, 0)
		d.step(20*ms, Event{Kind: EventCallEnded, ID: 1, Outcome: OutcomeOK, Elapsed: 20 * ms})
		call(2, c.class)
		out := d.step(20*ms, Event{Kind: EventCallEnded, ID: 2, Outcome: c.outcome, Elapsed: c.elapsed})
		if c.outcome == OutcomeRejected { // it waits for a moment, alone
			call(4, 1)
			out = d.step(timerSteps*4*ms, Event{Kind: EventTimer})
		}
		d.want(out, c.want, 2)
		call(3, 1)
		if mean := d.s.callTime.Mean; mean > float64(slowCallFactor*20*ms) {
			t.Errorf("%v: calls are taken to last %v", c.outcome, mean)
		}
		if c.class != 0 {
			continue
		}
		out = d.step(20*ms, Event{Kind: EventCallEnded, ID: 2, Outcome: c.outcome, Elapsed: c.elapsed})
		d.want(out, ActionSkipCall, 2) // the second time it is left out
	}
}

// A dependency that answers most calls at once and some never: those hold up neither the others nor the estimate.
func TestCallsThatHangHoldUpNoOthers(t *testing.T) {
	cfg := testSettings()
	cfg.Cores, cfg.CallConcurrencyLimit = 8, 13
	d := drive(t, cfg)
	hung, made := map[RequestID]bool{}, 0
	for id := RequestID(1); id <= 400; id++ {
		class := int(id % 2) // of an effect every other one: its call may take until it is due
		out := d.step(2*ms, arrival(id, class, 3000*ms))
		out = append(out, d.step(0, Event{Kind: EventCallNeeded, ID: id})...)
		if find(out, ActionCall, id) == nil {
			continue
		}
		made++
		if id%200 < 2 { // four in all
			hung[id] = true
			continue
		}
		d.step(ms, Event{Kind: EventCallEnded, ID: id, Outcome: OutcomeOK, Elapsed: 2 * ms})
		d.step(0, done(id, OutcomeOK, 5*ms))
	}
	if made < 390 {
		t.Errorf("%d of 400 calls were made at once beside %d that hang", made, len(hung))
	}
	if mean := d.s.callTime.Mean; mean > float64(5*ms) {
		t.Errorf("a call is taken to last %.1f ms; those that were answered took 2", mean/1000)
	}
}
