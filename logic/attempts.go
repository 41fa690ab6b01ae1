package logic

// Time spent in earlier attempts. Callers give each attempt the same share of the client timeout, except the
// last, which gets what is left. So the shares seen lately are counted in 100 buckets. A first attempt is
// taken to have the lowest common share that is at least the request's own; the difference was spent.
const (
	timeoutBuckets           = 100  // shares of the client timeout that are told apart
	timeoutHistogramArrivals = 512  // arrivals over which the shares are counted
	commonTimeoutShare       = 0.05 // share of the arrivals from which a timeout is one of first attempts
)

// earlierAttemptTime returns how much of its client timeout a request spent in earlier attempts, at least.
func (s *Server) earlierAttemptTime(c *classState, timeout Micros) Micros {
	if !s.cfg.DeadlinePropagated || timeout >= c.ClientTimeout {
		return 0
	}
	bucket := int(float64(timeoutBuckets) * float64(timeout) / float64(c.ClientTimeout))
	sum := 0.0
	for i := range s.timeoutHistogram {
		s.timeoutHistogram[i] *= 1 - 1.0/timeoutHistogramArrivals
		sum += s.timeoutHistogram[i]
	}
	s.timeoutHistogram[bucket]++
	for i := bucket; i < timeoutBuckets; i++ {
		if s.timeoutHistogram[i] >= commonTimeoutShare*(sum+1) {
			return max(0, Micros(float64(i)/timeoutBuckets*float64(c.ClientTimeout))-timeout)
		}
	}
	return c.ClientTimeout - timeout
}
