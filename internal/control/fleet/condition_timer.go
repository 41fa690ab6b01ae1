package fleet

import (
	"time"

	"sloehitch/internal/control/lease"
)

// conditionTimer measures for how long a condition has held without a break. It is not safe for concurrent use.
type conditionTimer struct {
	since lease.Instant
	holds bool
}

// Observe records whether the condition holds now.
func (t *conditionTimer) Observe(holds bool, now lease.Instant) {
	if holds && !t.holds {
		t.since = now
	}
	t.holds = holds
}

// Duration returns for how long the condition has held; 0 if it does not.
func (t *conditionTimer) Duration(now lease.Instant) time.Duration {
	if !t.holds {
		return 0
	}
	return time.Duration(now - t.since)
}
