package logic

import "slices"

// Deadlines. A request is answered one step before its deadline, whether or not it is running. All requests
// are answered before the process is killed, with a margin for a late timer:
//
//	answered at kill - 2·max(2 steps, ResponseGrace)
//
// Idempotent runs whose request is answered are stopped while other requests are queued. Limitation: this
// wastes a run that is nearly done and whose result would answer repeats.

// answerExpired answers requests that reach their deadline, and all requests shortly before the kill.
func (s *Server) answerExpired() {
	margin := max(2*s.cfg.StepInterval, s.cfg.ResponseGrace)
	killImminent := s.killAt > 0 && s.now >= s.killAt-2*margin
	for _, r := range slices.Concat(s.queue, s.active) {
		if killImminent || s.now >= r.deadline-s.cfg.StepInterval {
			s.rejectOrFail(r)
		}
	}
}

// stopAnsweredRuns stops idempotent runs whose answer was given or is no longer wanted.
func (s *Server) stopAnsweredRuns() {
	if s.cfg.StopMode == StopOff || len(s.queue) == 0 {
		return
	}
	for _, r := range s.active {
		stoppable := r.answered && r.state == stateRunning && s.mayRunAgain(r)
		if stoppable && s.now-r.stopRequestedAt > minStallGap { // repeated, as a stalled server stops nothing
			r.stopRequestedAt = s.now
			s.emit(Action{Kind: ActionStop, ID: r.id})
		}
	}
}
