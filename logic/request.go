package logic

import "slices"

// requestState is the state of a request in its life cycle.
type requestState int

const (
	stateQueued    requestState = iota // waiting for a run slot
	stateRunning                       // running on a core
	stateAtCall                        // the run waits for a call to be made or to end
	stateCoalesced                     // waiting for the result of the original attempt
)

// request is one attempt of a request that has not ended.
type request struct {
	Arrival
	id             RequestID
	state          requestState
	arrivedAt      Micros // when it reached the machine
	firstAttemptAt Micros // latest time at which its first attempt can have arrived
	deadline       Micros // time by which it must be answered
	answered       bool   // its answer was given or is no longer wanted

	inOldQueue    bool    // it was unable to meet D1
	weightDensity float64 // priority weight per microsecond of run time, as of the last sort
	overQuota     bool    // it exceeds its tenant's quota
	keyExpiresAt  Micros  // when its key entry expires; 0: it has no entry

	startedAt       Micros  // when its run started; negative: its run time is not sampled
	sampleWeight    float64 // weight of its run time in the estimate
	stopRequestedAt Micros  // when ActionStop was last returned for it

	callInFlight     bool
	callStartedAt    Micros
	callReservation  Micros // longest time that the call in flight can stay at the dependency
	callBlockedUntil Micros // its next call is not made before this time
	failedCalls      int    // unsuccessful calls of its run
}

// requestTable holds the requests that have not ended.
type requestTable struct {
	byID            map[RequestID]*request
	queue           []*request // queued; ordered by sortQueue
	active          []*request // running, at a call or coalesced
	running         int        // requests in stateRunning
	atCall          int        // requests in stateAtCall
	requestMemoryKB float64    // kilobytes of queued and running requests
}

// mayRunAgain reports whether a request may run, or make a call, more than once. Reconfigure may change its
// class: it must have been idempotent when the request was read, and be so now.
func (s *Server) mayRunAgain(r *request) bool {
	return r.Idempotency == Idempotent && s.classes[r.Class].Idempotency == Idempotent
}

// startRun starts a queued request.
func (s *Server) startRun(r *request) {
	s.queue = removeFrom(s.queue, r)
	s.active = append(s.active, r)
	s.emit(Action{Kind: ActionRun, ID: r.id})
	if s.running == 0 {
		s.lastProgressAt = s.now
	}
	r.state, r.startedAt = stateRunning, s.now
	s.running++
	s.requestMemoryKB += r.MemoryKB * (s.cfg.RunMemoryFactor - 1)
}

// removeUnlessRunning removes an answered request unless it has a run, which keeps it until the run ends.
func (s *Server) removeUnlessRunning(r *request) {
	if r.state == stateQueued || r.state == stateCoalesced {
		s.deleteKey(r)
		s.removeRequest(r)
	}
}

// removeRequest removes a request that has ended. Its call in flight is counted as abandoned: it stays at the
// dependency for up to AbandonedCallDuration.
func (s *Server) removeRequest(r *request) {
	switch r.state {
	case stateRunning:
		s.running--
	case stateAtCall:
		s.atCall--
	}
	if r.callInFlight {
		s.releaseCall(r, true)
	}
	if r.state == stateRunning || r.state == stateAtCall {
		s.requestMemoryKB -= r.MemoryKB * (s.cfg.RunMemoryFactor - 1)
	}
	if r.state == stateQueued {
		s.queue = removeFrom(s.queue, r)
	} else {
		s.active = removeFrom(s.active, r)
	}
	s.requestMemoryKB -= r.MemoryKB
	delete(s.byID, r.id)
}

func removeFrom(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(other *request) bool { return other == r })
}
