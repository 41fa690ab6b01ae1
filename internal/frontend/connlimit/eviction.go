package connlimit

import "time"

// The eviction rule: which connection gives its slot to a new one when all slots are held.
//
// Inputs: each connection's state, the time since it entered the state or was last used, newcomerGrace and
// idleGrace, and the number of slots reserved for new connections. The first of these that there is:
//
//  1. an idle connection whose grace is over, if the longest silent new connection is still in its grace and
//     fewer than reservedForNew connections are new, or if none is new: those after one message first (as a
//     rule health checks, which are done), then the least recently used;
//  2. the longest silent new connection, as soon as its grace is over;
//  3. the idle connection whose grace is over first, then.
//
// Active connections are never evicted: an answer is owed on them. Without the bound on new connections a
// crowd of silent ones would keep everybody else waiting for one grace after another.

// newSlotsDivisor is the part of the slots that is reserved for new connections: one in so many.
const newSlotsDivisor = 8

// reservedSlots returns how many of the slots are reserved for new connections.
func reservedSlots(capacity int) int { return max(1, capacity/newSlotsDivisor) }

// evictionCandidate returns the connection to evict and how long to wait until it may be; nil if all are
// active. The caller holds mu.
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

// candidates are the connections that the rule chooses from; nil where there is none of a kind.
type candidates struct {
	oldestNew    *Slot // the longest silent new connection
	newCount     int   // new connections
	expiredIdle  *Slot // the first in order of the idle connections whose grace is over
	nextIdle     *Slot // of the others the one whose grace is over first
	nextIdleWait time.Duration
}

// candidates finds what the rule chooses from; the caller holds mu.
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

// evictedBefore says whether an idle connection is evicted before another one whose grace is over too.
func (s *Slot) evictedBefore(other *Slot) bool {
	if s.state != other.state {
		return s.state < other.state
	}
	return s.since.Before(other.since)
}

// graceOf returns how long a connection that is not active may keep its slot after it was last used.
func (l *Limiter) graceOf(s *Slot) time.Duration {
	if s.state == StateIdle {
		return l.idleGrace
	}
	return l.newGrace
}
