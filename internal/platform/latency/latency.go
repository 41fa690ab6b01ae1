// Package latency keeps how long requests took lately, in histograms of bounded size.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// histogramPeriod is the stretch that one histogram is of; a window is the one that goes on and the one before.
const histogramPeriod = 10 * time.Second

// MaxWindow is over how much time a quantile may be taken: values closer to one another than that have requests in common.
const MaxWindow = 2 * histogramPeriod

// Bounds of what is told apart: 100 us to a minute, to two digits (some 20 KB a histogram).
const (
	minMicros         = int64(100)              // microseconds
	maxMicros         = int64(60 * 1000 * 1000) // and what takes longer counts as this
	significantDigits = 2
)

// minSamples is how many requests a quantile is taken of, at the least.
const minSamples = 20

// Window is the last 10 to 20 s. It is safe for concurrent use, and never blocks for long.
type Window struct {
	mu        sync.Mutex
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	startedAt time.Time
}

// New returns an empty window that begins now.
func New(now time.Time) *Window {
	return &Window{current: hdrhistogram.New(minMicros, maxMicros, significantDigits), previous: hdrhistogram.New(minMicros, maxMicros, significantDigits), startedAt: now}
}

// Add takes in one request.
func (w *Window) Add(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.current.RecordValue(min(max(took.Microseconds(), minMicros), maxMicros)) // it is within the bounds
}

// Quantile is the latency that a share q of the window's requests stayed within; 0 where there were too few to say. It is to be asked for
// every few seconds: the window moves on with it.
func (w *Window) Quantile(q float64, now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if past := now.Sub(w.startedAt); past >= histogramPeriod {
		w.current, w.previous = w.previous, w.current
		w.current.Reset()
		if w.startedAt = now; past >= 2*histogramPeriod {
			w.previous.Reset()
		}
	}
	all := hdrhistogram.New(minMicros, maxMicros, significantDigits)
	all.Merge(w.previous)
	all.Merge(w.current)
	if all.TotalCount() < minSamples {
		return 0
	}
	return time.Duration(all.ValueAtQuantile(100*q)) * time.Microsecond
}
