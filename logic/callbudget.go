package logic

import (
	"cmp"
	"slices"
)

// Budget for calls to a shared dependency that sustains a mean of L calls in flight from this server
// (CallConcurrencyLimit) over a window W (CallConcurrencyWindow, µs). Calls are admitted by weight density,
// highest first, while both conditions hold, in microseconds of call time:
//
//	hard: call time that ended within W + longest time that the calls in flight can take <= L·W
//	pace: credit >= call time of the calls ahead and in flight + reserve
//
//	reserve = 4·(1 - weight/max weight)·mean call time, kept for calls of higher weight
//
// The credit, in microseconds of call time, accrues at the planned concurrency
//
//	P = L·min(0.8, max(0.25, 0.8·2·least call time/mean call time))
//
// which is lower while calls are slow, because concurrent calls slow the dependency well before it reaches
// the concurrency that it sustains. A request whose call can't end before D2 skips the call if its class
// allows that, and otherwise is answered at once. Limitation: a server with far more traffic than the others
// can't use the budget that they leave unused.
const (
	maxCallPaceShare        = 0.8  // P as a share of L while calls take their least time
	minCallPaceShare        = 0.25 // lower bound of P as a share of L, however slow calls are
	callBurst               = 10   // maximum credit after an idle period, in mean call times
	callBurstObjectiveShare = 0.2  // or this share of the mean objective at concurrency P, if more
	callObjectiveShare      = 0.3  // share of an objective that a call may last, and is charged for at most
	reservedCalls           = 4    // mean call times that the lowest weight leaves to the highest
	callWaitFactor          = 6    // maximum wait of a call that may be skipped, in call times
	callOverdraftDivisor    = 4    // the credit does not fall below -P·mean objective/callOverdraftDivisor
	maxCallBudgetShare      = 0.5  // share of what is left of L·W that one call may take
)

// endedCall is a call that has ended, as the concurrency limit counts it.
type endedCall struct {
	releasedAt Micros // when it left the dependency
	duration   Micros // how long it was at the dependency
}

// callBudget is the state of the budget.
type callBudget struct {
	callTime          Average // microseconds per call
	minCallTime       float64 // lowest recent mean call time, in microseconds
	callsInFlight     int     // not counting abandoned calls
	endedCalls        []endedCall
	endedCallTime     Micros // sum of the durations of endedCalls
	reservedCallTime  Micros // sum of the longest times that the calls in flight can take
	callsBlockedUntil Micros // no call is made before this time
	lastCallAt        Micros
	callCredit        float64 // microseconds of call time; negative: overdrawn
}

// admitCalls makes, skips or gives up the call of each request that waits to make one.
func (s *Server) admitCalls() {
	for i, r := range s.pendingCalls() {
		_, d2 := s.queueBounds(r)
		timeout := s.callTimeout(r)
		delay := s.callQueueDelay(r, i)
		late := float64(s.now)+delay+s.callTime.Mean > d2 && !s.mayProbeCall()
		maySkip := s.classes[r.Class].DegradedWeightShare > 0
		switch {
		case maySkip && (late || delay > callWaitFactor*s.minCallTime || timeout <= 0):
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

// callQueueDelay returns how long a request's call waits for credit if the given number of calls wait ahead
// of it, in microseconds. Each call in flight is charged at least the mean call time.
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

// plannedCallConcurrency returns P, the planned mean number of calls in flight.
func (s *Server) plannedCallConcurrency() float64 {
	if s.callTime.Samples == 0 {
		return maxCallPaceShare * s.cfg.CallConcurrencyLimit
	}
	share := max(minCallPaceShare, maxCallPaceShare*slowCallFactor*s.minCallTime/s.callTime.Mean)
	return min(maxCallPaceShare, share) * s.cfg.CallConcurrencyLimit
}

// callTimeout returns the timeout of a request's call, or 0 if there is no time for a call of mean duration.
func (s *Server) callTimeout(r *request) Micros {
	timeout := r.deadline - s.now
	shared := s.cfg.CallConcurrencyLimit > 0
	if c := s.classes[r.Class]; s.callTime.Samples > 0 {
		if s.mayRunAgain(r) { // if the reply is lost, the call can be retried or skipped
			share := min(1, s.cfg.CallConcurrencyLimit) * callObjectiveShare
			maxDuration := max(callWaitFactor*s.callTime.Mean, share*float64(c.LatencyObjective))
			timeout = min(timeout, max(timerSteps*s.cfg.StepInterval, Micros(maxDuration)))
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

// startCall makes the call that a request's run waits for.
func (s *Server) startCall(r *request, timeout Micros) {
	s.lastCallAt, r.callStartedAt, r.callInFlight = s.now, s.now, true
	r.callReservation = timeout + s.cfg.AbandonedCallDuration + s.cfg.StepInterval
	s.callsInFlight++
	s.reservedCallTime += r.callReservation
	s.emit(Action{Kind: ActionCall, ID: r.id, Duration: timeout})
}

// releaseCall moves a call in flight to the ended calls. An abandoned call is counted as being at the
// dependency for a further AbandonedCallDuration.
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

// mayProbeCall reports whether a call may be made despite the estimate, so that an outdated call time does
// not prevent all calls: none is in flight and the last was made more than half a mean objective ago.
func (s *Server) mayProbeCall() bool {
	return s.callsInFlight == 0 && float64(s.now-s.lastCallAt) > s.meanObjective/2
}

// accrueCallTime adds the credit of the elapsed microseconds.
func (s *Server) accrueCallTime(elapsed float64) {
	pace := s.plannedCallConcurrency()
	burst := max(callBurst*s.callTime.Mean, callBurstObjectiveShare*s.meanObjective*pace)
	s.callCredit = min(s.callCredit+pace*elapsed, burst)
}

// spendCallTime charges a call's duration to the credit. The overdraft is bounded so that a past burst does
// not block calls for long.
func (s *Server) spendCallTime(duration float64) {
	spent := min(duration, callObjectiveShare*s.meanObjective)
	s.callCredit = max(s.callCredit-spent, -s.plannedCallConcurrency()*s.meanObjective/callOverdraftDivisor)
}

// removeOldCalls removes the ended calls that the window no longer covers.
func (s *Server) removeOldCalls() {
	for len(s.endedCalls) > 0 && s.endedCalls[0].releasedAt+s.cfg.CallConcurrencyWindow < s.now {
		s.endedCallTime -= s.endedCalls[0].duration
		s.endedCalls = s.endedCalls[1:]
	}
}
