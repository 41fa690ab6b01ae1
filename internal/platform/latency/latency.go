// Package latency keeps how long requests took lately, in histograms of bounded size.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// span is the stretch that one histogram is of; a window is the one that goes on and the one before.
const span = 10 * time.Second

// Longest is over how much time a quantile may be taken: values closer to one another than that have requests in common.
const Longest = 2 * span

// Bounds of what is told apart: 100 us to a minute, to two digits (some 20 KB a histogram).
const (
	least  = int64(100)              // microseconds
	most   = int64(60 * 1000 * 1000) // and what takes longer counts as this
	digits = 2
)

// fewest is how many requests a quantile is taken of, at the least.
const fewest = 20

// Window is the last 10 to 20 s. It is safe for concurrent use, and never blocks for long.
type Window struct {
	mu     sync.Mutex
	now    *hdrhistogram.Histogram
	before *hdrhistogram.Histogram
	begun  time.Time
}

// New returns an empty window that begins now.
func New(now time.Time) *Window {
	return &Window{now: hdrhistogram.New(least, most, digits), before: hdrhistogram.New(least, most, digits), begun: now}
}

// Add takes in one request.
func (w *Window) Add(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.now.RecordValue(min(max(took.Microseconds(), least), most)) // it is within the bounds
}

// Quantile is the latency that a share q of the window's requests stayed within; 0 where there were too few to say. It is to be asked for
// every few seconds: the window moves on with it.
func (w *Window) Quantile(q float64, now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if past := now.Sub(w.begun); past >= span {
		w.now, w.before = w.before, w.now
		w.now.Reset()
		if w.begun = now; past >= 2*span {
			w.before.Reset()
		}
	}
	all := hdrhistogram.New(least, most, digits)
	all.Merge(w.before)
	all.Merge(w.now)
	if all.TotalCount() < fewest {
		return 0
	}
	return time.Duration(all.ValueAtQuantile(100*q)) * time.Microsecond
}
