package logic

// Limit N on concurrent runs (FEFM, section II.A). It starts at the number of cores. It grows by 1 while
// requests are queued, all N run and fewer threads want a core than there are cores: runs wait for something
// else. It shrinks to 0.75·N, not below the cores, when runs take 1.3·T_m while more threads want a core than
// there are cores.
//
// N is bounded by the concurrency C that the server survives on its cores:
//
//	C     = cores·(1 + (MaxConcurrencyPerCore - 1)·speed)
//	slots = min(max(1, N - reading), max(1, 0.75·C - waiting at calls/2), C - waiting at calls)
//
// with N and C times the share of the machine that this process has. With Settings.SlowStart the speed rises
// linearly from SlowStartCapacity to 1 within SlowStartDuration (µs) of the first Step; else it is 1.
//
// Runs that wait at calls may all come back at once. Requests that are being read take the place of runs
// beyond half of the cores, since unread requests are not ordered by weight. C does not count waits for
// disks: as a bound it harms where runs mostly wait for them.
const (
	runLimitDecrease    = 0.75 // factor on the limit when runs slow each other
	slowdownThreshold   = 1.3  // mean of run time over T_m that counts as slowed
	maxConcurrencyShare = 0.75 // share of the survived concurrency that may run at once
	readingCoreShare    = 0.5  // share of the cores that reading may take without taking the place of runs
)

// runLimiter is the state of the limit.
type runLimiter struct {
	runLimit      float64 // concurrent runs
	resourceShare float64 // share of the cores and the memory that this process may use, above 0 to 1
	runSlowdown   Average // run time over T_m as it was when the run ended
}

// raiseRunLimit raises the limit by one if requests wait while cores are idle.
func (s *Server) raiseRunLimit() {
	idle := s.gauges.RunQueueLength >= 0 && s.gauges.RunQueueLength < float64(s.cfg.Cores)
	if idle && len(s.queue) > 0 && s.running >= int(s.runLimit) {
		s.runLimit = min(s.runLimit+1, s.maxConcurrency()*maxConcurrencyShare)
	}
}

// lowerRunLimit lowers the limit if runs slow each other.
func (s *Server) lowerRunLimit() {
	if s.runSlowdown.Mean > slowdownThreshold && s.gauges.RunQueueLength > float64(s.cfg.Cores) {
		s.runLimit = max(float64(s.cfg.Cores), s.runLimit*runLimitDecrease)
		s.runSlowdown.Mean = 1
	}
}

// maxConcurrency returns how many runs the server survives on its cores.
func (s *Server) maxConcurrency() float64 {
	speed := 1.0
	if s.cfg.SlowStart && s.now-s.startedAt < s.cfg.SlowStartDuration {
		uptime, duration := float64(s.now-s.startedAt), float64(s.cfg.SlowStartDuration)
		speed = s.cfg.SlowStartCapacity + (1-s.cfg.SlowStartCapacity)*uptime/duration
	}
	return max(1, float64(s.cfg.Cores)*(1+(s.cfg.MaxConcurrencyPerCore-1)*speed))
}

// runSlots returns the number of runs allowed on the cores now.
func (s *Server) runSlots() int {
	concurrency, atCall := s.maxConcurrency()*s.resourceShare, float64(s.atCall)
	reading := max(0, s.requestsBeingRead()-readingCoreShare*float64(s.cfg.Cores))
	limit := s.runLimit*s.resourceShare - reading
	return int(min(max(1, limit), max(1, concurrency*maxConcurrencyShare-atCall/2), concurrency-atCall))
}
