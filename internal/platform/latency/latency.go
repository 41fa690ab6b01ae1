// Package latency measures recent request latencies in histograms of bounded size.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// histogramPeriod is the period that one histogram covers. A window consists of the current histogram and the previous one.
const histogramPeriod = 10 * time.Second

// MaxWindow is the longest period that a quantile covers. Quantiles taken less than MaxWindow apart may include the same requests.
const MaxWindow = 2 * histogramPeriod

// Range and precision of the histograms: 100 us to a minute with two significant digits, which takes about 20 KB per histogram.
const (
	minMicros         = int64(100)              // microseconds
	maxMicros         = int64(60 * 1000 * 1000) // longer requests are recorded as this
	significantDigits = 2
)

// minSamples is the minimum number of requests for a quantile.
const minSamples = 20

// Window holds the latencies of the last 10 to 20 s. It is safe for concurrent use and does not block for long.
type Window struct {
	mu        sync.Mutex
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	startedAt time.Time
}

// New returns an empty window that starts at now.
func New(now time.Time) *Window {
	return &Window{current: hdrhistogram.New(minMicros, maxMicros, significantDigits), previous: hdrhistogram.New(minMicros, maxMicros, significantDigits), startedAt: now}
}

// Add records the latency of one request.
func (w *Window) Add(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.current.RecordValue(min(max(took.Microseconds(), minMicros), maxMicros)) // never fails: the value is within the histogram's range
}

// Quantile returns the latency that the fraction q of the window's requests did not exceed; 0 if there were fewer than minSamples requests.
// It must be called every few seconds, since only this call advances the window.
func (w *Window) Quantile(q float64, now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if elapsed := now.Sub(w.startedAt); elapsed >= histogramPeriod {
		w.current, w.previous = w.previous, w.current
		w.current.Reset()
		if w.startedAt = now; elapsed >= 2*histogramPeriod {
			w.previous.Reset()
		}
	}
	merged := hdrhistogram.New(minMicros, maxMicros, significantDigits)
	merged.Merge(w.previous)
	merged.Merge(w.current)
	if merged.TotalCount() < minSamples {
		return 0
	}
	return time.Duration(merged.ValueAtQuantile(100*q)) * time.Microsecond
}
