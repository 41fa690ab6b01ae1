package emulator

import (
	"math"
	"time"
)

// gradient is an adaptive concurrency limit after the gradient algorithm of Netflix's concurrency-limits, which follows
// TCP Vegas:
//
//	gradient = clamp(tolerance * average / duration, 0.5, 1)
//	limit    = (1 - smoothing) * limit + smoothing * (limit * gradient + sqrt(limit))
//
// duration is that of the last run and average its moving average, both in seconds; the square root leaves a queue in
// which the limit can grow.
type gradient struct {
	averageSeconds float64
	samples        int
}

const (
	gradientWindow    = 600 // samples of the moving average
	gradientSmoothing = 0.2
	gradientTolerance = 1.5 // durations up to so many times the average are no sign of a queue

	gradientMaxPerCore = 20 // upper bound of the limit, for each core
)

// adapt changes the queue's limits after a run that started with so many running.
func (g *gradient) adapt(q *limitedQueue, running int, duration time.Duration) {
	g.samples++
	g.averageSeconds += max(1/float64(g.samples), 1.0/gradientWindow) * (duration.Seconds() - g.averageSeconds)
	if running < q.concurrencyLimit/2 {
		return // the limit was not reached: the duration says nothing about it
	}
	slope := max(0.5, min(1, gradientTolerance*g.averageSeconds/max(1e-9, duration.Seconds())))
	limit := float64(q.concurrencyLimit)
	limit = limit*(1-gradientSmoothing) + gradientSmoothing*(limit*slope+math.Sqrt(limit))
	cores := q.environment.Settings.Cores
	q.concurrencyLimit = max(cores, min(int(math.Round(limit)), gradientMaxPerCore*cores))
	q.queueLimit = q.concurrencyLimit
}
