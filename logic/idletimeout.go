package logic

// Idle timeout of connections: between the callers' own idle timeout and a quarter of it, or less if few
// callers return. It rises while reading takes more than its share of the cores, since a full connection
// table rejects callers at no cost. Limitation: this is harmful if each connection carries one long-lived
// stream.
const (
	idleTimeoutRange   = 4    // ratio of the longest to the shortest idle timeout if all callers return
	idleTimeoutGain    = 0.4  // relative change per timer event and unit of deviation from the target share
	readingTargetShare = 0.35 // target share of the cores for reading
	minReturningShare  = 0.1  // lower bound of the share of callers that return
)

// Ratios of the idle timeout to the one last sent, beyond which the new one is sent.
const (
	idleTimeoutRise = 1.25
	idleTimeoutFall = 0.8
)

// connectionTimeout holds the current idle timeout and the one last sent, in microseconds.
type connectionTimeout struct {
	idleTimeout     float64
	sentIdleTimeout float64
}

// adjustIdleTimeout adjusts the idle timeout to the share of the cores that reading takes, and sends it if it
// has changed enough.
func (s *Server) adjustIdleTimeout() {
	readingShare := s.requestsBeingRead() / max(float64(s.cfg.Cores), s.gauges.RunQueueLength)
	longest := float64(s.cfg.CallerIdleTimeout)
	returning := 1 - s.effectiveCallers()/float64(max(1, len(s.recentArrivals)))
	shortest := longest / idleTimeoutRange * max(minReturningShare, returning)
	s.idleTimeout = min(longest,
		max(s.idleTimeout*(1+idleTimeoutGain*(readingShare-readingTargetShare)), shortest))
	sent := s.sentIdleTimeout
	if s.idleTimeout > idleTimeoutRise*sent || s.idleTimeout < idleTimeoutFall*sent {
		s.sentIdleTimeout = s.idleTimeout
		s.emit(Action{Kind: ActionSetIdleTimeout, Duration: Micros(s.idleTimeout)})
	}
}
