package lease

import (
	"fmt"
	"time"
)

// Rule: for how long a holder may rely on a lease.
//
// Inputs: Duration, the time for which the store keeps the lease, on the store's clock; MaxDrift, the fraction by which any
// clock may run faster or slower than true time; SafetyMargin, on the holder's clock.
//
//	HolderDuration = Duration * (1-MaxDrift)/(1+MaxDrift) - SafetyMargin
//
// In true time the holder stops at most HolderDuration/(1-MaxDrift) after it sent its request, and the store keeps the lease
// for at least Duration/(1+MaxDrift) after it granted it, which was no sooner. Without the margin the formula makes the two
// equal; the margin lets work that has begun end before the store's end (Gray and Cheriton, 1989).

// maxDriftLimit bounds Terms.MaxDrift from above, exclusively.
const maxDriftLimit = 0.5

// Terms are the durations and bounds that holder and store agree on.
type Terms struct {
	Duration     time.Duration // for which the store keeps a lease, on its own clock
	MaxDrift     float64       // by how much faster or slower than true time a clock may run, as a fraction: 0.01 is 1%
	SafetyMargin time.Duration // by which the holder stops earlier still, so that what it has begun can end
}

// WithDuration returns terms for leases of another duration, with the same drift and the margin in proportion.
func (t Terms) WithDuration(d time.Duration) Terms {
	margin := time.Duration(float64(t.SafetyMargin) * float64(d) / float64(t.Duration))
	return Terms{Duration: d, MaxDrift: t.MaxDrift, SafetyMargin: margin}
}

// HolderDuration returns for how long a holder may rely on a lease, on its own clock from before it sent its request.
func (t Terms) HolderDuration() time.Duration {
	return time.Duration(float64(t.Duration)*(1-t.MaxDrift)/(1+t.MaxDrift)) - t.SafetyMargin
}

// Validate returns an error for terms under which nothing could be held.
func (t Terms) Validate() error {
	switch {
	case !(t.MaxDrift >= 0 && t.MaxDrift < maxDriftLimit):
		return fmt.Errorf("lease: a drift of %v: 0 to under %v is wanted", t.MaxDrift, maxDriftLimit)
	case t.SafetyMargin < 0:
		return fmt.Errorf("lease: a margin of %v: 0 or more is wanted", t.SafetyMargin)
	case t.HolderDuration() <= 0:
		shortest := time.Duration(float64(t.SafetyMargin) * (1 + t.MaxDrift) / (1 - t.MaxDrift))
		return fmt.Errorf("lease: a length of %v leaves nothing to hold: above %v is wanted", t.Duration, shortest)
	}
	return nil
}
