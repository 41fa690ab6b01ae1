package logic

// Outcome of a call to the dependency. An unsuccessful call is handled by the first row that matches:
//
//	first failure, idempotent, no shared limit   stays pending
//	its class may degrade                        skipped: the run continues without the call
//	may have run, not idempotent                 the request fails
//	all else                                     stays pending
//
// A pending call is retried once its backoff has passed and the budget admits it, until it can't end before
// D2 (callbudget.go). So the call of an idempotent request that may not degrade is also retried after its
// second and each later failure, and the request is rejected at D2. There is a backoff only after calls that
// never ran: under a shared limit all calls wait 6 mean call times, otherwise only this request's call waits,
// half a mean call time for each of its failed calls. A timeout causes no backoff.
const (
	maxCallRetries   = 1     // retries per run before a class that may degrade skips the call
	callRetryBackoff = 0.5   // mean call times per unsuccessful call
	callSampleWeight = 0.15  // weight of a new sample in the mean call time
	slowCallFactor   = 2     // ratio of mean to least call time above which calls count as slow
	minCallTimeDrift = 0.002 // weight with which the least call time follows the mean, as it may be outdated
)

// waitForCall marks a run as waiting for a call. If its request is already answered, the request is removed.
func (s *Server) waitForCall(r *request) {
	if r.state != stateRunning {
		return
	}
	s.running--
	s.atCall++
	s.lastProgressAt = s.now
	r.state = stateAtCall
	if r.answered {
		s.removeRequest(r)
	}
}

// handleCallEnded decides how a run continues after its call.
func (s *Server) handleCallEnded(r *request, ev *Event) {
	if !r.callInFlight {
		return
	}
	s.releaseCall(r, ev.Outcome == OutcomeTimedOut || ev.Outcome == OutcomeReset)
	s.recordCallTime(ev)
	if ev.Outcome == OutcomeOK {
		s.resumeRun(r)
		return
	}
	r.failedCalls++
	c := s.classes[r.Class]
	shared, neverRan := s.cfg.CallConcurrencyLimit > 0, ev.Outcome.NeverRan()
	minBackoff := timerSteps * s.cfg.StepInterval
	if shared && neverRan {
		s.callsBlockedUntil = s.now + max(minBackoff, Micros(callWaitFactor*s.callTime.Mean))
	} else if neverRan {
		backoff := callRetryBackoff * float64(r.failedCalls) * s.callTime.Mean
		r.callBlockedUntil = s.now + max(minBackoff, Micros(backoff))
	}
	switch {
	case !shared && s.mayRunAgain(r) && r.failedCalls <= maxCallRetries:
		// The call stays pending.
	case c.DegradedWeightShare > 0:
		s.skipCall(r)
	case !neverRan && !s.mayRunAgain(r):
		s.rejectOrFail(r)
	}
}

// recordCallTime adds a call's time to the averages. A call that timed out took longer than its timeout, or
// its reply was lost. It counts as at most slowCallFactor mean call times, so that a few lost replies don't
// make the dependency look slow.
func (s *Server) recordCallTime(ev *Event) {
	elapsed := float64(ev.Elapsed)
	switch {
	case ev.Outcome == OutcomeTimedOut && elapsed > s.callTime.Mean && s.callTime.Samples > 0:
		elapsed = min(elapsed, slowCallFactor*s.callTime.Mean)
	case ev.Outcome != OutcomeOK && (s.callTime.Samples > 0 || ev.Outcome != OutcomeTimedOut):
		return
	}
	s.callTime.add(max(1, elapsed), callSampleWeight)
	s.minCallTime += minCallTimeDrift * (s.callTime.Mean - s.minCallTime)
	if float64(s.callTime.Samples)*callSampleWeight <= 1 { // too few samples to determine a minimum
		s.minCallTime = s.callTime.Mean
	}
	s.minCallTime = min(s.minCallTime, s.callTime.Mean)
}

// skipCall resumes a run without its call.
func (s *Server) skipCall(r *request) {
	r.startedAt = -1 // the run time is not sampled
	s.emit(Action{Kind: ActionSkipCall, ID: r.id})
	s.resumeRun(r)
}

// resumeRun returns a run from its call to the running state.
func (s *Server) resumeRun(r *request) {
	s.atCall--
	s.running++
	r.state = stateRunning
	s.lastProgressAt = s.now
}
