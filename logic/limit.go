package logic

// Limit N on concurrent runs (FEFM, section II.A). It starts at the number of cores. It grows by 1 while
// requests are queued, N requests run and there are fewer runnable threads than cores, which means that runs
// wait for something other than a core. It shrinks to 0.75·N, not below the number of cores, when runs take
// 1.3·T_m while there are more runnable threads than cores.
//
// N is bounded by the concurrency C that the server sustains on its cores:
//
//	C     = cores·(1 + (MaxConcurrencyPerCore - 1)·speed)
//	slots = min(max(1, N - reading), max(1, 0.75·C - waiting at calls/2), C - waiting at calls)
//
// where N and C are multiplied by the share of the machine that this process has. With Settings.SlowStart the
// speed rises linearly from SlowStartCapacity to 1 within SlowStartDuration (µs) of the first Step; otherwise
// it is 1.
//
// Runs that wait at calls are deducted from C because their calls may all end at once. Requests being read
// beyond half of the cores are deducted from N, since unread requests are not ordered by weight. Limitation:
// C ignores waits for disks, so it is too low a bound for runs that mostly wait for disks.
const (
	runLimitDecrease    = 0.75 // factor on the limit when concurrent runs slow each other down
	slowdownThreshold   = 1.3  // mean ratio of run time to T_m above which runs count as slowed down
	maxConcurrencyShare = 0.75 // share of the sustained concurrency that may run at once
	readingCoreShare    = 0.5  // share of the cores that reading may take without reducing the run slots
)

// runLimiter is the state of the limit.
type runLimiter struct {
	runLimit      float64 // concurrent runs
	resourceShare float64 // share of the cores and the memory that this process may use, above 0 to 1
	runSlowdown   Average // ratio of run time to T_m, with T_m as of the end of the run
}

// raiseRunLimit raises the limit by one if requests are queued while cores are idle.
func (s *Server) raiseRunLimit() {
	idle := s.gauges.RunQueueLength >= 0 && s.gauges.RunQueueLength < float64(s.cfg.Cores)
	if idle && len(s.queue) > 0 && s.running >= int(s.runLimit) {
		s.runLimit = min(s.runLimit+1, s.maxConcurrency()*maxConcurrencyShare)
	}
}

// lowerRunLimit lowers the limit if concurrent runs slow each other down.
func (s *Server) lowerRunLimit() {
	if s.runSlowdown.Mean > slowdownThreshold && s.gauges.RunQueueLength > float64(s.cfg.Cores) {
		s.runLimit = max(float64(s.cfg.Cores), s.runLimit*runLimitDecrease)
		s.runSlowdown.Mean = 1
	}
}

// maxConcurrency returns C, the number of concurrent runs that the server sustains on its cores.
func (s *Server) maxConcurrency() float64 {
	speed := 1.0
	if s.cfg.SlowStart && s.now-s.startedAt < s.cfg.SlowStartDuration {
		uptime, duration := float64(s.now-s.startedAt), float64(s.cfg.SlowStartDuration)
		speed = s.cfg.SlowStartCapacity + (1-s.cfg.SlowStartCapacity)*uptime/duration
	}
	return max(1, float64(s.cfg.Cores)*(1+(s.cfg.MaxConcurrencyPerCore-1)*speed))
}

// runSlots returns the number of runs that are currently allowed on the cores.
func (s *Server) runSlots() int {
	concurrency, atCall := s.maxConcurrency()*s.resourceShare, float64(s.atCall)
	reading := max(0, s.requestsBeingRead()-readingCoreShare*float64(s.cfg.Cores))
	limit := s.runLimit*s.resourceShare - reading
	return int(min(max(1, limit), max(1, concurrency*maxConcurrencyShare-atCall/2), concurrency-atCall))
}
