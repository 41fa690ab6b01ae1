package latency

import (
	"testing"
	"time"
)

func TestQuantileOfWindow(t *testing.T) {
	at := time.Unix(1000, 0)
	w := New(at)
	for range 10 {
		w.Add(time.Millisecond)
	}
	if got := w.Quantile(0.99, at); got != 0 {
		t.Errorf("quantile of ten requests: %v, want 0", got)
	}
	for i := range 990 {
		w.Add(time.Duration(10+i%2) * time.Millisecond)
	}
	for range 5 {
		w.Add(time.Hour) // above the histogram's range
	}
	near := func(name string, q float64, at time.Time, want time.Duration) {
		t.Helper()
		if got := w.Quantile(q, at); got < want*98/100 || got > want*102/100 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	near("the 99th percentile", 0.99, at, 11*time.Millisecond)
	near("the maximum", 1, at, time.Minute)
	at = at.Add(histogramPeriod)
	near("in the next period", 0.99, at, 11*time.Millisecond)
	for range 1000 {
		w.Add(100 * time.Millisecond)
	}
	near("of both periods", 0.99, at.Add(histogramPeriod/2), 100*time.Millisecond)
	near("after the first period expired", 0.01, at.Add(histogramPeriod), 100*time.Millisecond)
	if got := w.Quantile(0.5, at.Add(5*histogramPeriod)); got != 0 {
		t.Errorf("after both periods expired: %v, want 0", got)
	}
	if got := (*Window)(nil).Quantile(0.5, at); got != 0 {
		t.Errorf("quantile of a nil window: %v, want 0", got)
	}
}
