package logic

// Load shedding. In addition to the paper's test of the head of a queue, a request that has waited for 0.02
// of its latency objective is rejected if the work ahead of it prevents it from meeting D2 (admission.go):
//
//	now + call delay + Σ T_m ahead / run limit + T_m >= D2
//
// so that its caller has time to try another server. The minimum wait keeps short bursts from being rejected.
// If a run may have had side effects that must not be repeated, the answer is an error instead of a
// rejection. The callers of rejectOrFail and their reasons:
//
//	handleArrival    the request arrived after the drain grace, or there is no memory for its key entry
//	handleRepeat     a repeat replaces it in the queue and takes over its key entry
//	handleRunEnded   the host stopped its run without an ActionStop
//	handleCallEnded  its call may have run and must not be retried
//	admitCalls       its call can't end before D2 and may not be skipped
//	startNext        it is the next to start and can't meet D2
//	shedInfeasible   the work ahead of it prevents it from meeting D2, or the server is faulty
//	shedForMemory    it is at the end of the queue and the memory in use exceeds the bound
//	answerExpired    its deadline is reached, or the process is about to be killed
//
//	Retry-After = (time to start queued requests + time to read unread requests) / 3
//
// While the server is faulty, draining or slow, Retry-After is the longest that callers honor. NoFailover is
// set while most requests are rejected here, or while many are and frequent retries show that other servers
// reject requests too.
const (
	minQueueTimeShare = 0.02    // of the latency objective
	retryAfterShare   = 1.0 / 3 // of the time needed for the backlog

	futileRejectedShare            = 0.6  // share of requests rejected here above which failover is futile
	futileRejectedShareWithRetries = 0.3  // the same while retries are frequent
	futileRetryShare               = 0.15 // share of retries among the arrivals that counts as frequent
)

// shedInfeasible rejects requests that can't meet D2 because of the work ahead of them. A faulty server
// rejects all that have waited for minQueueTimeShare of their latency objective.
func (s *Server) shedInfeasible() {
	ahead := 0.0
	for i := 0; i < len(s.queue); {
		r := s.queue[i]
		_, d2 := s.queueBounds(r)
		objective := float64(s.classes[r.Class].LatencyObjective)
		waited := float64(s.now-r.arrivedAt) >= minQueueTimeShare*objective
		if waited && (s.stalledOrFailing() || !s.meetsBound(r, d2, ahead/s.runLimit)) {
			s.rejectOrFail(r)
			continue
		}
		ahead += s.expectedRunTime(r)
		i++
	}
}

// rejectOrFail answers a request that can't be served: with an error if its run may have had side effects
// that must not be repeated, otherwise with a rejection. A running request keeps its run slot until the run
// ends.
func (s *Server) rejectOrFail(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if elapsed := float64(s.now - r.startedAt); r.state == stateRunning && elapsed > s.expectedRunTime(r) {
		s.recordRunTime(r, elapsed) // lower bound of its run time
	}
	if r.state == stateQueued || s.mayRunAgain(r) {
		s.rejectedShare.add(1, 1.0/recentArrivalCount)
		s.emit(Action{Kind: ActionReject, ID: r.id, Duration: s.retryAfter(), NoFailover: s.failoverFutile()})
	} else {
		s.emit(Action{Kind: ActionFail, ID: r.id})
	}
	s.removeUnlessRunning(r)
}

// failoverFutile reports whether other servers are expected to reject a request that is rejected here.
func (s *Server) failoverFutile() bool {
	manyRejected := s.rejectedShare.Mean > futileRejectedShareWithRetries && s.retryShare > futileRetryShare
	return !s.readsSlowly() && (manyRejected || s.rejectedShare.Mean > futileRejectedShare)
}

// retryAfter returns how long a rejected caller is asked to wait.
func (s *Server) retryAfter() Micros {
	if s.stalledOrFailing() || s.killAt > 0 || s.readsSlowly() {
		return s.cfg.MaxRetryAfter
	}
	backlog := staleReadShare * s.readStaleness.Mean * s.meanObjective
	for _, r := range s.queue {
		backlog += s.expectedRunTime(r) / s.runLimit
	}
	return min(s.cfg.MaxRetryAfter, Micros(retryAfterShare*backlog))
}
