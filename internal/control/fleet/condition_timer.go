package fleet

import (
	"time"

	"sloehitch/internal/control/lease"
)

// conditionTimer measures how long a condition has held without interruption. It is not safe for concurrent use.
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

// Duration returns how long the condition has held, or 0 if it does not hold.
func (t *conditionTimer) Duration(now lease.Instant) time.Duration {
	if !t.holds {
		return 0
	}
	return time.Duration(now - t.since)
}
