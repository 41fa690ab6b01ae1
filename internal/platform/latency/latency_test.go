package latency

import (
	"testing"
	"time"
)

func TestWindow(t *testing.T) {
	at := time.Unix(1000, 0)
	w := New(at)
	for range 10 {
		w.Add(time.Millisecond)
	}
	if got := w.Quantile(0.99, at); got != 0 {
		t.Errorf("of ten requests: %v", got)
	}
	for i := range 990 {
		w.Add(time.Duration(10+i%2) * time.Millisecond)
	}
	for range 5 {
		w.Add(time.Hour) // longer than is told apart
	}
	near := func(name string, q float64, at time.Time, want time.Duration) {
		t.Helper()
		if got := w.Quantile(q, at); got < want*98/100 || got > want*102/100 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	near("the 99th percentile", 0.99, at, 11*time.Millisecond)
	near("the longest", 1, at, time.Minute)
	at = at.Add(histogramPeriod)
	near("the next span", 0.99, at, 11*time.Millisecond)
	for range 1000 {
		w.Add(100 * time.Millisecond)
	}
	near("both", 0.99, at.Add(histogramPeriod/2), 100*time.Millisecond)
	near("the first is past", 0.01, at.Add(histogramPeriod), 100*time.Millisecond)
	if got := w.Quantile(0.5, at.Add(5*histogramPeriod)); got != 0 {
		t.Errorf("long after: %v", got)
	}
	if got := (*Window)(nil).Quantile(0.5, at); got != 0 {
		t.Errorf("without a window: %v", got)
	}
}
