package logic

import "slices"

// Deadlines. A request is answered one step before its deadline, running or not. All are answered before the
// process is killed, so that none is lost; a late timer is allowed for:
//
//	answered at kill - 2·max(2 steps, ResponseGrace)
//
// Idempotent runs whose request is answered are stopped while others wait. That harms where such a run is
// nearly done and its result would answer repeats.

// answerExpired answers what reaches its deadline, and everything just before the kill.
func (s *Server) answerExpired() {
	margin := max(2*s.cfg.StepInterval, s.cfg.ResponseGrace)
	killed := s.killAt > 0 && s.now >= s.killAt-2*margin
	for _, r := range slices.Concat(s.queue, s.active) {
		if killed || s.now >= r.deadline-s.cfg.StepInterval {
			s.rejectOrFail(r)
		}
	}
}

// stopAnsweredRuns stops idempotent runs whose answer was given or is not wanted.
func (s *Server) stopAnsweredRuns() {
	if s.cfg.StopMode == StopOff || len(s.queue) == 0 {
		return
	}
	for _, r := range s.active {
		useless := r.answered && r.state == stateRunning && s.classes[r.Class].Idempotency == Idempotent
		if useless && s.now-r.stopRequestedAt > minStallGap { // asked again: a stalled server stops nothing
			r.stopRequestedAt = s.now
			s.emit(Action{Kind: ActionStop, ID: r.id})
		}
	}
}
