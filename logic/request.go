package logic

import "slices"

// requestState is where a request stands in its life.
type requestState int

const (
	stateQueued    requestState = iota // waits for a run slot
	stateRunning                       // runs on a core
	stateAtCall                        // its run waits for a call to be made or to end
	stateCoalesced                     // waits for the result of its original
)

// request is one attempt of a request that is not over.
type request struct {
	Arrival
	id             RequestID
	state          requestState
	arrivedAt      Micros // when it reached the machine
	firstAttemptAt Micros // when its first attempt arrived, at the latest
	deadline       Micros // its answer must be given by then
	answered       bool   // its answer was given or is not wanted any longer

	inOldQueue    bool    // it can't meet D1 any longer
	weightDensity float64 // priority weight for each microsecond of run time, as of the last sort
	overQuota     bool    // it exceeds its tenant's quota
	keyExpiresAt  Micros  // when its key entry expires; 0: it has none

	startedAt       Micros  // when its run started; negative: its run time is no sample
	sampleWeight    float64 // weight of its run time in the estimate
	stopRequestedAt Micros  // when ActionStop was last returned for it

	callInFlight     bool
	callStartedAt    Micros
	callReservation  Micros // longest time that the call in flight can stay at the dependency
	callBlockedUntil Micros // its next call is not made before
	failedCalls      int    // calls of its run that did not succeed
}

// requestTable holds the requests that are not over.
type requestTable struct {
	byID            map[RequestID]*request
	queue           []*request // queued; sortQueue orders it
	active          []*request // running, at a call or coalesced
	running         int        // requests in stateRunning
	atCall          int        // requests in stateAtCall
	requestMemoryKB float64    // kilobytes of queued and running requests
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

// removeUnlessRunning removes an answered request that has no run. One that runs stays until its run ends.
func (s *Server) removeUnlessRunning(r *request) {
	if r.state == stateQueued || r.state == stateCoalesced {
		s.deleteKey(r)
		s.removeRequest(r)
	}
}

// removeRequest removes a request that is over. A call in flight stays at the dependency for a while.
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
