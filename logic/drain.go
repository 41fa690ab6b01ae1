package logic

// Drain before a shutdown. Requests that arrive within DrainGrace of EventDrain are served as usual; later
// ones must not run. Health and load signal announce the drain after half of the grace, since callers act on
// an old signal for a while. Remaining requests are answered before the kill (deadline.go).

// drainState is the state of a drain; both times are 0 without one.
type drainState struct {
	drainStartedAt Micros
	killAt         Micros
}

// startDrain begins a drain that ends when the process is killed.
func (s *Server) startDrain(timeToKill Micros) {
	s.drainStartedAt, s.killAt = s.now, s.now+max(1, timeToKill)
}

// arrivedAfterDrainGrace reports whether a request arrived too late to run. One StepInterval is subtracted to
// cover rounding by the host.
func (s *Server) arrivedAfterDrainGrace(r *request) bool {
	return s.killAt > 0 && r.arrivedAt > s.drainStartedAt+s.cfg.DrainGrace-s.cfg.StepInterval
}

// drainAnnounced reports whether health and load signal announce the drain.
func (s *Server) drainAnnounced() bool {
	return s.killAt > 0 && s.now >= s.drainStartedAt+s.cfg.DrainGrace/2
}
