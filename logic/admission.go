package logic

// Admission by predicted response time (FEFM, sections II.C and II.D). A queued request may start if
//
//	now + call delay + T_m < bound
//
// with T_m its expected run time and the call delay what its calls wait for their budget, in microseconds.
// The bounds of the new-request and the old-request queue are points in time:
//
//	D1 = min(first attempt + 0.65·objective, arrival + 0.75·attempt timeout)
//	D2 = min(first attempt + share·late, arrival + share·attempt timeout), share = 0.75, idle core: 0.9
//	late = objective + LateWeightShare·(client timeout - objective)
//
// The less an answer after the objective weighs, the sooner its request is given up.
const (
	newQueueBoundShare     = 0.65 // leaves room for runs longer than T_m and for the way back
	oldQueueBoundShare     = 0.75
	idleOldQueueBoundShare = 0.9 // with an idle core, which no other request would have
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

// meetsBound reports whether a request that starts after the given wait, in microseconds, ends before the
// bound.
func (s *Server) meetsBound(r *request, bound, wait float64) bool {
	if c := s.classes[r.Class]; c.CallsDependency {
		delay := s.callQueueDelay(r, s.atCall-s.callsInFlight)
		if c.DegradedWeightShare > 0 {
			delay = min(delay, callPatienceFactor*s.minCallTime) // then the call is skipped
		}
		wait += delay
	}
	return float64(s.now)+wait+s.expectedRunTime(r) < bound
}

// startNext starts the first queued request that meets D2, or that may start as a probe, and reports whether
// it found one. Requests that don't meet D2 are rejected on the way; those of a faulty server are left to
// shedHopeless.
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

// canStart reports whether memory and drain let a queued request start now.
func (s *Server) canStart(r *request) bool {
	return s.fitsMemory(r.MemoryKB*(s.cfg.RunMemoryFactor-1)) && !s.arrivedAfterDrainGrace(r)
}
