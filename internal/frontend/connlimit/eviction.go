package connlimit

import "time"

// The eviction rule selects the connection that loses its slot to a new one when all slots are held.
//
// Inputs: each connection's state, the time since it entered the state or was last used, newGrace and
// idleGrace, and the number of slots reserved for new connections. The first of these that exists is evicted:
//
//  1. an idle connection past its grace period, if no connection is new, or if the oldest new connection is
//     still within its grace period and fewer than reservedForNew connections are new. Connections that have
//     carried one message go first (usually health checks, which are complete), then the least recently used;
//  2. the oldest new connection, as soon as its grace period ends;
//  3. the idle connection whose grace period ends first, as soon as it ends.
//
// Active connections are never evicted, since an answer is still due on them. Without the bound on new
// connections, many silent ones would make every other peer wait for one grace period after another.

// newSlotsDivisor sets the share of the slots that is reserved for new connections: 1/newSlotsDivisor.
const newSlotsDivisor = 8

// reservedSlots returns the number of slots that are reserved for new connections.
func reservedSlots(capacity int) int { return max(1, capacity/newSlotsDivisor) }

// evictionCandidate returns the connection to evict and how long to wait before evicting it, or nil if all
// connections are active. The caller holds mu.
func (l *Limiter) evictionCandidate() (candidate *Slot, wait time.Duration) {
	now := time.Now()
	c := l.candidates(now)
	var newWait time.Duration
	if c.oldestNew != nil {
		newWait = l.newGrace - now.Sub(c.oldestNew.since)
	}
	switch {
	case c.expiredIdle != nil && (c.oldestNew == nil || newWait > 0 && c.newCount < l.reservedForNew):
		return c.expiredIdle, 0
	case c.oldestNew == nil:
		return c.nextIdle, c.nextIdleWait
	}
	return c.oldestNew, newWait
}

// candidates are the connections that the eviction rule selects from. A slot is nil if there is no connection
// of its kind.
type candidates struct {
	oldestNew    *Slot         // the new connection that has been silent for the longest time
	newCount     int           // number of new connections
	expiredIdle  *Slot         // among idle connections past their grace period, the first to evict
	nextIdle     *Slot         // among the other idle connections, the one whose grace period ends first
	nextIdleWait time.Duration // until the grace period of nextIdle ends
}

// candidates returns the connections that the eviction rule selects from; the caller holds mu.
func (l *Limiter) candidates(now time.Time) (c candidates) {
	for s := range l.held {
		graceLeft := l.graceOf(s) - now.Sub(s.since)
		switch {
		case s.state == StateNew:
			c.newCount++
			if c.oldestNew == nil || s.since.Before(c.oldestNew.since) {
				c.oldestNew = s
			}
		case s.state == StateActive:
		case graceLeft > 0:
			if c.nextIdle == nil || graceLeft < c.nextIdleWait {
				c.nextIdle, c.nextIdleWait = s, graceLeft
			}
		case c.expiredIdle == nil || s.evictedBefore(c.expiredIdle):
			c.expiredIdle = s
		}
	}
	return c
}

// evictedBefore reports whether s is evicted before other, where both are idle and past their grace period.
func (s *Slot) evictedBefore(other *Slot) bool {
	if s.state != other.state {
		return s.state < other.state
	}
	return s.since.Before(other.since)
}

// graceOf returns how long an inactive connection keeps its slot after it was last used.
func (l *Limiter) graceOf(s *Slot) time.Duration {
	if s.state == StateIdle {
		return l.idleGrace
	}
	return l.newGrace
}
