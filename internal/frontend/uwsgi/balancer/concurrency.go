package balancer

import (
	"math"
	"time"
)

// Rule: concurrency limit of a server (TCP Vegas: Brakmo, O'Malley and Peterson, "TCP Vegas: New Techniques for Congestion
// Detection and Avoidance", SIGCOMM 1994).
//
// Inputs: the latency of each response (time to its first byte) and the number of requests in flight when it arrived.
// Formula: the minimum latency of the current and the previous period is taken as the latency of an idle server, so that
// limit × (1 − minimum/latency) requests are queued in the server. While fewer than queueLow × √limit are queued, each response
// raises the limit by √limit/limit, provided that at least half of the limit is in use; while more than queueHigh × √limit are
// queued, each response lowers it by the same amount. Each failure multiplies the limit by failureFactor.

const (
	// minLatencyPeriod is the length of the periods over which the minimum latency is measured.
	minLatencyPeriod = 10 * time.Second
	// queueLow and queueHigh are numbers of requests queued in the server at a limit of 1; they are scaled by the limit's square root.
	queueLow  = 1.0
	queueHigh = 2.0
	// failureFactor is applied to the limit at each failure.
	failureFactor = 0.9
	// periodFactor is applied to the limit at the end of a period. The latency of an idle server can only be observed with few
	// requests in flight; without the reduction, the queueing delay of one period would be taken for the idle latency of the next.
	periodFactor = 0.5
)

// concurrencyLimit is the number of requests that a server may have in flight. It adapts to their latency.
type concurrencyLimit struct {
	value            float64
	minLatency       time.Duration // of the current and the previous period
	periodMinLatency time.Duration // of the current period
	periodEndsAt     time.Time
}

func newConcurrencyLimit(c Config) concurrencyLimit {
	return concurrencyLimit{value: float64(c.InitialLimit)}
}

// recordLatency adjusts the limit to the latency of a response. inFlight is the number of requests on the server when the response
// arrived.
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
	case queue < queueLow*scale && 2*inFlight >= int(l.value): // with less in use, the limit is not what holds requests back
		l.value += 1 / l.value * scale
	}
	l.value = min(max(l.value, float64(c.MinLimit)), float64(c.MaxLimit))
}

// observe updates the minimum latencies, and starts a new period when the current one has ended.
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
