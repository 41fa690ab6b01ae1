package balancer

import (
	"math"
	"time"
)

// Rule: concurrency limit of a server (TCP Vegas: Brakmo, O'Malley and Peterson, "TCP Vegas: New Techniques for Congestion
// Detection and Avoidance", SIGCOMM 1994).
//
// Inputs: the latency of each response (time to its first byte), the requests in flight when it came.
// Formula: with the least latency of the last periods as that of an idle server, limit × (1 − least/latency) requests stand in
// the server's queue. Below queueLow × √limit the limit rises by √limit/limit for each response, provided that at least half
// of it is in use; above queueHigh × √limit it falls by as much. Each failure multiplies it by failureFactor.

const (
	// minLatencyPeriod is the time for which a least latency holds.
	minLatencyPeriod = 10 * time.Second
	// queueLow and queueHigh are requests in the server's queue at a limit of 1; they grow with the limit's square root.
	queueLow  = 1.0
	queueHigh = 2.0
	// failureFactor multiplies the limit at each failure.
	failureFactor = 0.9
	// periodFactor multiplies the limit at the end of a period. The latency of an idle server is only seen with few requests
	// in flight; without the dip, queueing in one period would pass for the idle latency of the next.
	periodFactor = 0.5
)

// concurrencyLimit is the number of requests that a server may have in flight, following their latency.
type concurrencyLimit struct {
	value            float64
	minLatency       time.Duration // of this and the last period
	periodMinLatency time.Duration // of this period
	periodEndsAt     time.Time
}

func newConcurrencyLimit(c Config) concurrencyLimit {
	return concurrencyLimit{value: float64(c.InitialLimit)}
}

// recordLatency adjusts the limit by a response's latency; inFlight requests were on the server when it came.
func (l *concurrencyLimit) recordLatency(now time.Time, latency time.Duration, inFlight int, c Config) {
	if latency <= 0 {
		return
	}
	l.observe(now, latency)
	queue := l.value * (1 - float64(l.minLatency)/float64(latency))
	scale := math.Sqrt(l.value)
	switch {
	case queue > queueHigh*scale:
		l.value -= 1 / l.value * scale
	case queue < queueLow*scale && 2*inFlight >= int(l.value): // else the limit isn't what holds requests back
		l.value += 1 / l.value * scale
	}
	l.value = min(max(l.value, float64(c.MinLimit)), float64(c.MaxLimit))
}

// observe takes a latency into the least ones, and begins a new period when one is over.
func (l *concurrencyLimit) observe(now time.Time, latency time.Duration) {
	if now.After(l.periodEndsAt) {
		l.minLatency, l.periodMinLatency, l.periodEndsAt = l.periodMinLatency, 0, now.Add(minLatencyPeriod)
		if l.minLatency > 0 {
			l.value *= periodFactor
		}
	}
	if l.periodMinLatency == 0 || latency < l.periodMinLatency {
		l.periodMinLatency = latency
	}
	if l.minLatency == 0 || l.periodMinLatency < l.minLatency {
		l.minLatency = l.periodMinLatency
	}
}

// recordFailure lowers the limit after a failed attempt.
func (l *concurrencyLimit) recordFailure(c Config) {
	l.value = max(l.value*failureFactor, float64(c.MinLimit))
}
