package emulator

import (
	"math"
	"time"
)

// gradient adapts a concurrency limit by the gradient algorithm of Netflix's concurrency-limits, which is modeled on TCP
// Vegas:
//
//	gradient = clamp(tolerance * average / duration, 0.5, 1)
//	limit    = (1 - smoothing) * limit + smoothing * (limit * gradient + sqrt(limit))
//
// duration is that of the last run and average is the moving average of durations, both in seconds. The square root
// allows a queue, so that the limit can grow.
type gradient struct {
	averageSeconds float64
	samples        int
}

const (
	gradientWindow    = 600 // samples of the moving average
	gradientSmoothing = 0.2
	gradientTolerance = 1.5 // durations up to this multiple of the average don't indicate a queue

	gradientMaxPerCore = 20 // upper bound of the limit for each core
)

// adapt changes the queue's limits after a run; running is the number of runs, with this one, when it started.
func (g *gradient) adapt(q *limitedQueue, running int, duration time.Duration) {
	g.samples++
	g.averageSeconds += max(1/float64(g.samples), 1.0/gradientWindow) * (duration.Seconds() - g.averageSeconds)
	if running < q.concurrencyLimit/2 {
		return // less than half of the limit was in use, so the duration doesn't show whether the limit is too high
	}
	slope := max(0.5, min(1, gradientTolerance*g.averageSeconds/max(1e-9, duration.Seconds())))
	limit := float64(q.concurrencyLimit)
	limit = limit*(1-gradientSmoothing) + gradientSmoothing*(limit*slope+math.Sqrt(limit))
	cores := q.environment.Settings.Cores
	q.concurrencyLimit = max(cores, min(int(math.Round(limit)), gradientMaxPerCore*cores))
	q.queueLimit = q.concurrencyLimit
}
