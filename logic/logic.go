package logic

// timerSteps is the number of steps between two timer events while requests are in flight.
const timerSteps = 8

// Server is the admission controller of one server process. It is not safe for concurrent use.
type Server struct {
	cfg        Settings
	now        Micros   // time of the current step; negative before the first
	startedAt  Micros   // time of the first step
	timerDueAt Micros   // 0: no timer is set
	actions    []Action // of the current step; the next one reuses the memory

	classes       []*classState
	meanObjective float64 // mean latency objective of the classes, in microseconds
	maxWeight     float64 // highest priority weight of a class, above 0

	requestTable
	arrivalHistory
	timeoutHistogram [timeoutBuckets]float64
	tenantTokens     []float64 // requests left of this server's share of each tenant's quota
	keyExpiries      []Micros  // when the entries of the key table expire, in order
	runLimiter
	healthMonitor
	readMonitor
	callBudget
	drainState
	callerSignals
	connectionTimeout
}

// Step handles the events and then applies each rule once. now must not decrease between calls. The returned
// actions are valid until the next call.
func (s *Server) Step(now Micros, events []Event) []Action {
	s.advanceClock(now)
	for i := range events {
		s.handleEvent(&events[i])
	}
	s.sortQueue()
	s.answerExpired()
	s.stopAnsweredRuns()
	s.shedForMemory()
	for s.running < s.runSlots() && s.startNext() { // one selection per free slot
	}
	s.shedInfeasible()
	s.admitCalls()
	s.updateSignals()
	s.setTimer()
	return s.actions
}

func (s *Server) emit(a Action) { s.actions = append(s.actions, a) }

// advanceClock sets the current time and updates the state that depends on time alone.
func (s *Server) advanceClock(now Micros) {
	s.actions = s.actions[:0]
	if s.now < 0 {
		s.startedAt, s.lastProgressAt, s.now = now, now, now
		s.emit(Action{Kind: ActionSetHealth, Healthy: true})
	}
	elapsed := float64(now - s.now)
	s.accrueCallTime(elapsed)
	s.now = now
	s.removeExpiredKeys()
	s.removeOldCalls()
	s.refillQuotas(elapsed)
}

// handleEvent updates the state for one event.
func (s *Server) handleEvent(ev *Event) {
	switch r := s.byID[ev.ID]; {
	case ev.Kind == EventArrival:
		s.handleArrival(ev)
	case ev.Kind == EventTimer:
		s.handleTimer(ev)
	case ev.Kind == EventDrain:
		s.startDrain(ev.TimeToKill)
	case r == nil: // the request has already ended
	case ev.Kind == EventRunEnded:
		s.handleRunEnded(r, ev)
	case ev.Kind == EventCanceled:
		r.answered = true
		s.removeUnlessRunning(r)
	case ev.Kind == EventCallNeeded:
		s.waitForCall(r)
	case ev.Kind == EventCallEnded:
		s.handleCallEnded(r, ev)
	}
}

// handleArrival queues or coalesces a request, or rejects one that must not run.
func (s *Server) handleArrival(ev *Event) {
	a := ev.Arrival
	c := s.classes[a.Class]
	r := &request{Arrival: a, id: ev.ID, arrivedAt: s.now - a.Age, deadline: s.now + a.AttemptTimeout,
		sampleWeight: runTimeSampleWeight}
	if r.Idempotency == Idempotent {
		r.Idempotency = c.Idempotency
	}
	if a.AttemptTimeout == 0 {
		r.deadline = max(s.now, r.arrivedAt+c.ClientTimeout)
	}
	r.firstAttemptAt = r.arrivedAt - s.earlierAttemptTime(c, r.deadline-r.arrivedAt)
	r.overQuota = s.chargeQuota(r)
	s.recordRead(a)
	s.recordArrival(a)
	s.byID[r.id] = r
	s.requestMemoryKB += r.MemoryKB
	if a.OriginalID != 0 && s.handleRepeat(r) {
		return
	}
	s.queue = append(s.queue, r)
	s.storeKey(r)
	if s.arrivedAfterDrainGrace(r) || c.needsKey() && r.keyExpiresAt == 0 {
		s.rejectOrFail(r)
	}
}

// handleTimer stores new gauges and adjusts the state that depends on them.
func (s *Server) handleTimer(ev *Event) {
	s.timerDueAt, s.gauges = 0, ev.Gauges
	s.updatePriorityFloor()
	if s.gauges.RunQueueLength <= float64(s.running) { // nothing is unread
		s.readStaleness.Mean = 0
	}
	s.raiseRunLimit()
	s.adjustIdleTimeout()
}

// handleRunEnded handles the end of a run or of a coalesced request. If the host stopped the run without an
// ActionStop, the request is answered.
func (s *Server) handleRunEnded(r *request, ev *Event) {
	completed := ev.Outcome == OutcomeOK || ev.Outcome == OutcomeFailed
	switch {
	case r.state == stateRunning && completed:
		s.recordCompletion(r, ev)
	case (r.state == stateRunning || r.state == stateAtCall) && ev.Outcome == OutcomeCanceled:
		s.rejectOrFail(r)
	}
	s.removeRequest(r)
}

// recordCompletion updates the averages and the run limit after a run.
func (s *Server) recordCompletion(r *request, ev *Event) {
	s.recordProgress()
	s.rejectedShare.add(0, 1.0/recentArrivalCount)
	s.failedShare.add(float64(1-ev.Outcome), r.sampleWeight) // OutcomeFailed is 0, OutcomeOK 1
	if ev.Outcome == OutcomeOK {
		s.recordRunTime(r, float64(ev.Elapsed))
	}
	s.raiseRunLimit()
	s.lowerRunLimit()
}

// setTimer requests a timer if none is set while requests are in flight or the server is reported unhealthy.
func (s *Server) setTimer() {
	if len(s.byID) == 0 && s.sentHealthy || s.timerDueAt != 0 {
		return
	}
	delay := max(1, s.cfg.StepInterval, min(timerSteps*s.cfg.StepInterval, s.cfg.ResponseGrace/2))
	s.timerDueAt = s.now + delay
	s.emit(Action{Kind: ActionSetTimer, TimerID: uint64(s.timerDueAt), Duration: delay})
}
