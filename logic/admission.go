package logic

// Admission by predicted response time (FEFM, sections II.C and II.D). A queued request may start if
//
//	now + call delay + T_m < bound
//
// where T_m is its expected run time and the call delay is the time that its call waits for the call budget,
// in microseconds. The bounds of the new-request and the old-request queue are points in time:
//
//	D1 = min(first attempt + 0.65·objective, arrival + 0.75·attempt timeout)
//	D2 = min(first attempt + share·late, arrival + share·attempt timeout), share = 0.75, idle core: 0.9
//	late = objective + LateWeightShare·(client timeout - objective)
//
// The less weight an answer has after the objective, the earlier its request is rejected.
const (
	newQueueBoundShare     = 0.65 // leaves time for runs longer than T_m and for returning the answer
	oldQueueBoundShare     = 0.75
	idleOldQueueBoundShare = 0.9 // with an idle core, which no other request would use
)

// queueBounds returns D1 and D2 of a request as points in time, in microseconds.
func (s *Server) queueBounds(r *request) (d1, d2 float64) {
	c := s.classes[r.Class]
	objective := float64(c.LatencyObjective) + c.ObjectivePerWork*float64(r.WorkHint)
	objective = min(objective, float64(c.ClientTimeout))
	share := oldQueueBoundShare
	if s.running < s.cfg.Cores {
		share = idleOldQueueBoundShare
	}
	late := objective + c.LateWeightShare*(float64(c.ClientTimeout)-objective)
	timeout := float64(r.deadline - r.arrivedAt)
	arrived, first := float64(r.arrivedAt), float64(r.firstAttemptAt)
	d1 = min(first+objective*newQueueBoundShare, arrived+timeout*oldQueueBoundShare)
	d2 = min(first+late*share, arrived+timeout*share)
	return d1, d2
}

// meetsBound reports whether a request that starts after the given wait, in microseconds, is expected to end
// before the bound.
func (s *Server) meetsBound(r *request, bound, wait float64) bool {
	if c := s.classes[r.Class]; c.CallsDependency {
		delay := s.callQueueDelay(r, s.atCall-s.callsInFlight)
		if c.DegradedWeightShare > 0 {
			delay = min(delay, callWaitFactor*s.minCallTime) // after this wait the call is skipped
		}
		wait += delay
	}
	return float64(s.now)+wait+s.expectedRunTime(r) < bound
}

// startNext starts the first queued request that meets D2 or may start as a probe, and reports whether it
// started one. Requests ahead of it that don't meet D2 are rejected; on a faulty server that is left to
// shedInfeasible.
func (s *Server) startNext() bool {
	for i := 0; i < len(s.queue); {
		r := s.queue[i]
		_, d2 := s.queueBounds(r)
		meets := s.meetsBound(r, d2, 0) && !s.stalledOrFailing()
		switch {
		case !s.canStart(r) || s.stalledOrFailing() && !s.mayProbe(r):
			i++
		case meets || s.mayProbe(r):
			if !meets {
				r.sampleWeight, s.lastProbeAt = probeSampleWeight, s.now
			}
			s.startRun(r)
			return true
		default:
			s.rejectOrFail(r)
		}
	}
	return false
}

// canStart reports whether the memory bound and the drain state allow a queued request to start now.
func (s *Server) canStart(r *request) bool {
	return s.fitsMemory(r.MemoryKB*(s.cfg.RunMemoryFactor-1)) && !s.arrivedAfterDrainGrace(r)
}
