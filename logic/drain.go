package logic

// Drain before a shutdown. What arrives within DrainGrace of EventDrain is served as usual, and what arrives
// later must not run. Health and load signal announce the drain after half of the grace, since callers act on
// an old signal for a while. What is left is answered before the kill (deadline.go). drainState is the state
// of a drain; both times are 0 without one.
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

// drainAnnounced reports whether health and load signal announce the drain.
func (s *Server) drainAnnounced() bool {
	return s.killAt > 0 && s.now >= s.drainStartedAt+s.cfg.DrainGrace/2
}
