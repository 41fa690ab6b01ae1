package lease

import (
	"fmt"
	"time"
)

// Rule: how long a holder may rely on a lease.
//
// Inputs: Duration, the time for which the store keeps the lease, on the store's clock; MaxDrift, the fraction by which any
// clock may run faster or slower than true time; SafetyMargin, on the holder's clock.
//
//	HolderDuration = Duration * (1-MaxDrift)/(1+MaxDrift) - SafetyMargin
//
// In true time, the holder stops at most HolderDuration/(1-MaxDrift) after it sent its request, and the store keeps
// the lease for at least Duration/(1+MaxDrift) after it granted the lease, which can't be earlier. Without the
// margin, the formula makes both equal; the margin allows work in progress to finish before the lease ends at the
// store (Gray and Cheriton, 1989).

// maxDriftLimit is the exclusive upper bound of Terms.MaxDrift.
const maxDriftLimit = 0.5

// Terms are the durations and bounds that the holder and the store agree on.
type Terms struct {
	Duration     time.Duration // time for which the store keeps a lease, on its own clock
	MaxDrift     float64       // maximum deviation of a clock's rate from true time, as a fraction: 0.01 is 1%
	SafetyMargin time.Duration // additional time by which the holder stops earlier, so that work in progress can finish
}

// WithDuration returns terms for leases of another duration, with the same drift and a proportional safety margin.
func (t Terms) WithDuration(d time.Duration) Terms {
	margin := time.Duration(float64(t.SafetyMargin) * float64(d) / float64(t.Duration))
	return Terms{Duration: d, MaxDrift: t.MaxDrift, SafetyMargin: margin}
}

// HolderDuration returns how long a holder may rely on a lease, on its own clock, counted from before it sent its request.
func (t Terms) HolderDuration() time.Duration {
	return time.Duration(float64(t.Duration)*(1-t.MaxDrift)/(1+t.MaxDrift)) - t.SafetyMargin
}

// Validate returns an error if a value is out of range or the terms leave no time to hold a lease.
func (t Terms) Validate() error {
	switch {
	case !(t.MaxDrift >= 0 && t.MaxDrift < maxDriftLimit):
		return fmt.Errorf("lease: invalid maximum clock drift %v: must be at least 0 and less than %v", t.MaxDrift, maxDriftLimit)
	case t.SafetyMargin < 0:
		return fmt.Errorf("lease: invalid safety margin %v: must not be negative", t.SafetyMargin)
	case t.HolderDuration() <= 0:
		shortest := time.Duration(float64(t.SafetyMargin) * (1 + t.MaxDrift) / (1 - t.MaxDrift))
		return fmt.Errorf("lease: duration %v leaves no time to hold the lease: must be more than %v", t.Duration, shortest)
	}
	return nil
}
