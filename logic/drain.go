package logic

// Drain before a shutdown. What arrives within DrainGrace of EventDrain is served as ever, what arrives later
// must not run. Callers are told after half of the grace, since they act on an old signal for a while.

// drainState is the state of a drain; both times are 0 without one.
type drainState struct {
	drainStartedAt Micros
	killAt         Micros
}

// startDrain begins a drain that ends when the process is killed.
func (s *Server) startDrain(timeToKill Micros) {
	s.drainStartedAt, s.killAt = s.now, s.now+max(1, timeToKill)
}

// arrivedAfterDrainGrace reports whether a request must not run. A step's margin covers rounding by the host.
func (s *Server) arrivedAfterDrainGrace(r *request) bool {
	return s.killAt > 0 && r.arrivedAt > s.drainStartedAt+s.cfg.DrainGrace-s.cfg.StepInterval
}

// turnsCallersAway reports whether callers are told to send nothing.
func (s *Server) turnsCallersAway() bool {
	return s.killAt > 0 && s.now >= s.drainStartedAt+s.cfg.DrainGrace/2
}
