package logic

// Time spent in earlier attempts. Callers give each attempt the same share of the client timeout, except the
// last, which gets the remainder. Recent shares are therefore counted in a histogram of 100 buckets. The
// timeout of a first attempt is assumed to be the lowest common share that is not below the request's own;
// the difference is the time spent in earlier attempts.
const (
	timeoutBuckets           = 100  // buckets over the shares of the client timeout
	timeoutHistogramArrivals = 512  // arrivals over which the shares are counted
	commonTimeoutShare       = 0.05 // share of the arrivals from which a timeout counts as common
)

// earlierAttemptTime returns a lower bound of the time that a request's earlier attempts took.
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
