package logic

import (
	"cmp"
	"slices"
)

// Budget for calls to a shared dependency that sustains a mean of L calls in flight from this server
// (CallConcurrencyLimit) over a window W (CallConcurrencyWindow, µs). Calls are admitted by weight density,
// highest first, if both hold, in microseconds of call time:
//
//	hard: call time that ended within W + longest time that the calls in flight can take <= L·W
//	pace: credit >= call time of the calls ahead and in flight + reserve
//
//	reserve = 4·(1 - weight/max weight)·mean call time, left to calls of higher weight
//
// The credit, in microseconds of call time, accrues at the planned concurrency
//
//	P = L·min(0.8, max(0.25, 0.8·2·least call time/mean call time))
//
// which falls while calls are slow, since crowds slow the dependency well below what it sustains. A request
// whose call can't end before D2 skips it where its class allows that, or is answered at once. The budget
// harms a server that is asked for far more than others, whose unused budget is not seen.
const (
	maxCallPaceShare        = 0.8  // of L, while calls take their least time
	minCallPaceShare        = 0.25 // of L, however slow calls are
	callBurst               = 10   // mean call times of credit after a quiet spell
	callBurstObjectiveShare = 0.2  // or this share of the mean objective at concurrency P, if more
	callObjectiveShare      = 0.3  // share of an objective that a call may take or spend
	reservedCalls           = 4    // mean call times that the lowest weight leaves to the highest
	callPatienceFactor      = 6    // call times that a call which may be skipped waits at most
	callDebtDivisor         = 4    // the credit falls at most to what this part of the mean objective adds
	maxCallBudgetShare      = 0.5  // share of what is left of L·W that one call may take
)

// endedCall is a call that is over, as the concurrency limit counts it.
type endedCall struct {
	releasedAt Micros // when it left the dependency
	duration   Micros // how long it was there
}

// callBudget is the state of the budget.
type callBudget struct {
	callTime          Average // microseconds of a call
	minCallTime       float64 // least mean of the call time lately, in microseconds
	callsInFlight     int     // abandoned calls are not counted
	endedCalls        []endedCall
	endedCallTime     Micros // sum of the durations of endedCalls
	reservedCallTime  Micros // longest time that the calls in flight can take, together
	callsBlockedUntil Micros // no call is made before
	lastCallAt        Micros
	callCredit        float64 // microseconds of call time; negative: overdrawn
}

// admitCalls decides about each request that waits to make a call.
func (s *Server) admitCalls() {
	for i, r := range s.pendingCalls() {
		_, d2 := s.queueBounds(r)
		timeout := s.callTimeout(r)
		delay := s.callQueueDelay(r, i)
		late := float64(s.now)+delay+s.callTime.Mean > d2 && !s.mayProbeCall()
		maySkip := s.classes[r.Class].DegradedWeightShare > 0
		switch {
		case maySkip && (late || delay > callPatienceFactor*s.minCallTime || timeout <= 0):
			s.skipCall(r)
		case late:
			s.rejectOrFail(r)
		case s.now >= max(s.callsBlockedUntil, r.callBlockedUntil) && timeout > 0 && delay <= 0:
			s.startCall(r, timeout)
		}
	}
}

// pendingCalls returns the requests that wait to make a call, highest weight density first.
func (s *Server) pendingCalls() []*request {
	var pending []*request
	for _, r := range s.active {
		if r.state == stateAtCall && !r.callInFlight && !r.answered {
			pending = append(pending, r)
		}
	}
	byDensity := func(a, b *request) int { return cmp.Compare(b.weightDensity, a.weightDensity) }
	slices.SortStableFunc(pending, byDensity)
	return pending
}

// callQueueDelay returns how long a request's call waits for credit if so many wait before it, in
// microseconds. A call in flight counts for its mean time at least.
func (s *Server) callQueueDelay(r *request, ahead int) float64 {
	if s.cfg.CallConcurrencyLimit <= 0 {
		return 0
	}
	reserve := reservedCalls * (1 - s.classes[r.Class].PriorityWeight/s.maxWeight)
	credit := s.callCredit - (float64(ahead)+reserve)*s.callTime.Mean
	for _, other := range s.active {
		if other.callInFlight {
			elapsed := float64(s.now - other.callStartedAt)
			credit -= max(s.callTime.Mean, min(elapsed, callObjectiveShare*s.meanObjective))
		}
	}
	return max(0, -credit/s.plannedCallConcurrency())
}

// plannedCallConcurrency returns the mean number of calls in flight that is planned (P).
func (s *Server) plannedCallConcurrency() float64 {
	if s.callTime.Samples == 0 {
		return maxCallPaceShare * s.cfg.CallConcurrencyLimit
	}
	share := max(minCallPaceShare, maxCallPaceShare*slowCallFactor*s.minCallTime/s.callTime.Mean)
	return min(maxCallPaceShare, share) * s.cfg.CallConcurrencyLimit
}

// callTimeout returns the timeout of a request's call; 0 where there is no room for a call of mean duration.
func (s *Server) callTimeout(r *request) Micros {
	timeout := r.deadline - s.now
	shared := s.cfg.CallConcurrencyLimit > 0
	if c := s.classes[r.Class]; s.callTime.Samples > 0 {
		if c.Idempotency == Idempotent { // its reply may be lost: it can be made again, or skipped
			share := min(1, s.cfg.CallConcurrencyLimit) * callObjectiveShare
			patience := max(callPatienceFactor*s.callTime.Mean, share*float64(c.LatencyObjective))
			timeout = min(timeout, max(timerSteps*s.cfg.StepInterval, Micros(patience)))
		} else if c.LateWeightShare == 0 && !shared {
			timeout = min(timeout, max(1, r.firstAttemptAt+c.LatencyObjective-s.now))
		}
	}
	if shared {
		budget := Micros(s.cfg.CallConcurrencyLimit * float64(s.cfg.CallConcurrencyWindow))
		left := budget - s.endedCallTime - s.reservedCallTime
		left -= s.cfg.AbandonedCallDuration + s.cfg.StepInterval
		timeout = min(timeout, Micros(maxCallBudgetShare*float64(left)))
	}
	if float64(timeout) < s.callTime.Mean && !s.mayProbeCall() {
		return 0
	}
	return timeout
}

// startCall makes the call that a run waits for.
func (s *Server) startCall(r *request, timeout Micros) {
	s.lastCallAt, r.callStartedAt, r.callInFlight = s.now, s.now, true
	r.callReservation = timeout + s.cfg.AbandonedCallDuration + s.cfg.StepInterval
	s.callsInFlight++
	s.reservedCallTime += r.callReservation
	s.emit(Action{Kind: ActionCall, ID: r.id, Duration: timeout})
}

// releaseCall moves a call in flight to those that ended. One that was abandoned stays at the dependency for
// a while.
func (s *Server) releaseCall(r *request, abandoned bool) {
	call := endedCall{releasedAt: s.now, duration: s.now - r.callStartedAt}
	if abandoned {
		call.releasedAt += s.cfg.AbandonedCallDuration
		call.duration += s.cfg.AbandonedCallDuration
	}
	r.callInFlight = false
	s.callsInFlight--
	s.reservedCallTime -= r.callReservation
	s.endedCallTime += call.duration
	s.spendCallTime(float64(call.duration))
	s.endedCalls = append(s.endedCalls, call)
}

// mayProbeCall reports whether a call may be made against the estimate, so that a stale call time does not
// end all calls: none is in flight and the last was made half a mean objective ago.
func (s *Server) mayProbeCall() bool {
	return s.callsInFlight == 0 && float64(s.now-s.lastCallAt) > s.meanObjective/2
}

// accrueCallTime adds the credit of the elapsed microseconds.
func (s *Server) accrueCallTime(elapsed float64) {
	pace := s.plannedCallConcurrency()
	burst := max(callBurst*s.callTime.Mean, callBurstObjectiveShare*s.meanObjective*pace)
	s.callCredit = min(s.callCredit+pace*elapsed, burst)
}

// spendCallTime takes a call's duration off the credit. The debt of a crowd that has passed must not block
// calls for long: it is bounded.
func (s *Server) spendCallTime(duration float64) {
	spent := min(duration, callObjectiveShare*s.meanObjective)
	s.callCredit = max(s.callCredit-spent, -s.plannedCallConcurrency()*s.meanObjective/callDebtDivisor)
}

// removeOldCalls removes the ended calls that the window no longer covers.
func (s *Server) removeOldCalls() {
	for len(s.endedCalls) > 0 && s.endedCalls[0].releasedAt+s.cfg.CallConcurrencyWindow < s.now {
		s.endedCallTime -= s.endedCalls[0].duration
		s.endedCalls = s.endedCalls[1:]
	}
}
