package logic

// Idle timeout of connections: between the caller's own and a quarter of it, or less where few callers come
// back. It rises while reading takes more than its share of the cores, since a full connection table rejects
// callers at no cost. It harms where one long-lived stream holds each connection.
const (
	idleTimeoutRange  = 4    // longest idle timeout over the shortest where all callers come back
	idleTimeoutGain   = 0.4  // relative change a timer event, for each unit of reading off its target
	intakeTargetShare = 0.35 // share of the cores that reading may take
	minReturningShare = 0.1  // share of callers that come back, at the least
)

// Relative changes of the idle timeout beyond which the new one is sent.
const (
	idleTimeoutRise = 1.25
	idleTimeoutFall = 0.8
)

// connectionTimeout is the idle timeout of connections, in microseconds.
type connectionTimeout struct {
	idleTimeout     float64
	sentIdleTimeout float64
}

// adjustIdleTimeout moves the idle timeout by what reading takes of the cores, and sends it where it has
// changed.
func (s *Server) adjustIdleTimeout() {
	intake := s.requestsBeingRead() / max(float64(s.cfg.Cores), s.gauges.RunQueueLength)
	longest := float64(s.cfg.CallerIdleTimeout)
	returning := 1 - s.effectiveCallers()/float64(max(1, len(s.recentArrivals)))
	shortest := longest / idleTimeoutRange * max(minReturningShare, returning)
	s.idleTimeout = min(longest, max(s.idleTimeout*(1+idleTimeoutGain*(intake-intakeTargetShare)), shortest))
	sent := s.sentIdleTimeout
	if s.idleTimeout > idleTimeoutRise*sent || s.idleTimeout < idleTimeoutFall*sent {
		s.sentIdleTimeout = s.idleTimeout
		s.emit(Action{Kind: ActionSetIdleTimeout, Duration: Micros(s.idleTimeout)})
	}
}
