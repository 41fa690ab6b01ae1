package logic

// Outcome of a call to the dependency. The first row that fits a call that did not succeed decides:
//
//	first failure, idempotent, no shared limit   stays pending
//	its class may degrade                        skipped: the run goes on without the call
//	may have run, not idempotent                 the request fails
//	all else                                     stays pending
//
// A pending call is made again once its backoff has passed and the budget admits it, until it can't end
// before D2 (callbudget.go). So a request that is idempotent and may not degrade has its call made again
// after the second and each later failure too, until D2, and is rejected then. Only calls that never ran back
// off: under a shared limit all calls wait 6 mean call times, else this request's waits half a mean call time
// for each of its failed calls. After a timeout there is no backoff of its own.
const (
	maxCallRetries   = 1     // calls made again per run before a class that may degrade skips the call
	callRetryBackoff = 0.5   // mean call times, for each call that did not succeed
	callSampleWeight = 0.15  // share of a new sample in the mean call time
	slowCallFactor   = 2     // mean over least call time from which calls count as slow
	minCallTimeDrift = 0.002 // weight with which the least call time follows the mean: it may be out of date
)

// waitForCall lets a run wait for a call. One whose request is answered ends here.
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

// handleCallEnded decides how a run goes on after its call.
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
	least := timerSteps * s.cfg.StepInterval
	if shared && neverRan {
		s.callsBlockedUntil = s.now + max(least, Micros(callPatienceFactor*s.callTime.Mean))
	} else if neverRan {
		backoff := callRetryBackoff * float64(r.failedCalls) * s.callTime.Mean
		r.callBlockedUntil = s.now + max(least, Micros(backoff))
	}
	switch {
	case !shared && c.Idempotency == Idempotent && r.failedCalls <= maxCallRetries:
		// It stays pending.
	case c.DegradedWeightShare > 0:
		s.skipCall(r)
	case !neverRan && c.Idempotency != Idempotent:
		s.rejectOrFail(r)
	}
}

// recordCallTime takes a call's time into the averages. One that timed out took longer than was waited, but
// its reply may be lost: it counts as somewhat slow, so that a few don't make the dependency look slow.
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
	if float64(s.callTime.Samples)*callSampleWeight <= 1 { // too few samples to tell the least
		s.minCallTime = s.callTime.Mean
	}
	s.minCallTime = min(s.minCallTime, s.callTime.Mean)
}

// skipCall lets a run go on without its call.
func (s *Server) skipCall(r *request) {
	r.startedAt = -1 // its run time is no sample
	s.emit(Action{Kind: ActionSkipCall, ID: r.id})
	s.resumeRun(r)
}

// resumeRun lets a run go on after its call.
func (s *Server) resumeRun(r *request) {
	s.atCall--
	s.running++
	r.state = stateRunning
	s.lastProgressAt = s.now
}
