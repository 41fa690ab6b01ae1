package emulator

import (
	"math"
	"time"
)

// codel applies controlled delay (RFC 8289, section 5) to queued requests. Once all requests of an interval have waited
// longer than the target, it drops one. It then drops further ones at intervals that shrink with the square root of the
// number of drops, until a request has waited less than the target.
type codel struct {
	droppingFrom time.Time // when the wait will have been above the target for an interval; zero: the wait is below the target
	dropping     bool
	nextDrop     time.Time
	drops        int
}

const (
	codelInterval = 100 * time.Millisecond // the RFC's default
	codelTarget   = codelInterval / 20     // the RFC's ratio of 5%

	// Dropping that restarts within this many intervals resumes near its last rate.
	codelMemoryIntervals = 8
)

// drop reports whether to drop a request that has waited for the given time.
func (c *codel) drop(q *limitedQueue, waited time.Duration) bool {
	now := q.environment.Clock.Now()
	if waited < codelTarget {
		c.droppingFrom, c.dropping = time.Time{}, false
		return false
	}
	if c.droppingFrom.IsZero() {
		c.droppingFrom = now.Add(codelInterval)
		return false
	}
	switch {
	case c.dropping && !now.Before(c.nextDrop):
		c.drops++
	case !c.dropping && !now.Before(c.droppingFrom):
		c.dropping = true
		if c.drops > 2 && now.Sub(c.nextDrop) < codelMemoryIntervals*codelInterval {
			c.drops -= 2
		} else {
			c.drops = 1
		}
	default:
		return false
	}
	c.nextDrop = now.Add(time.Duration(float64(codelInterval) / math.Sqrt(float64(c.drops))))
	return true
}
