// Package connlimit limits the number of connections of a front end. Each connection holds a slot. When all
// slots are taken, the eviction rule (eviction.go) decides which connection loses its slot to a new one, and
// when.
package connlimit

import (
	"sync"
	"time"
)

// State is what the connection that holds a slot is doing.
type State int

// The states of a connection. The order is that of eviction among idle connections.
const (
	StateNew          State = iota // no complete message has been received
	StateIdleAfterOne              // one message has been received, and no request is open
	StateIdle                      // several messages have been received, and no request is open
	StateActive                    // a request is open or an answer is not yet written: never evicted
)

// Limiter allocates the slots of one front end. It is safe for concurrent use.
type Limiter struct {
	newGrace  time.Duration // grace period before a connection in StateNew or StateIdleAfterOne can be evicted
	idleGrace time.Duration // grace period before a connection in StateIdle can be evicted

	mu             sync.Mutex
	capacity       int // number of slots
	reservedForNew int // while fewer new connections than this hold slots, idle ones are evicted before them
	held           map[*Slot]struct{}
}

// Slot is one connection's permission to stay open. It is held from a successful acquisition until Release or
// eviction.
type Slot struct {
	limiter *Limiter
	evict   func() // closes the connection
	state   State
	since   time.Time // when the connection entered its state, or was last used
}

// New returns a limiter with the given number of slots. newGrace and idleGrace are the times for which a
// connection without open requests keeps its slot (eviction.go).
func New(capacity int, newGrace, idleGrace time.Duration) *Limiter {
	return &Limiter{capacity: capacity, newGrace: newGrace, idleGrace: idleGrace, reservedForNew: reservedSlots(capacity),
		held: map[*Slot]struct{}{}}
}

// Resize sets the number of slots. If more are held, their connections keep them, and new connections evict
// others until the new capacity is met.
func (l *Limiter) Resize(capacity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity, l.reservedForNew = capacity, reservedSlots(capacity)
}

// InUse returns the number of slots that are held.
func (l *Limiter) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// NewSlot returns a slot that is not held yet; SetState returns false on it until it is acquired. evict must
// close the connection; it is called when another connection takes the slot, without the limiter's lock and
// from the goroutine of that other connection.
func (l *Limiter) NewSlot(evict func()) *Slot {
	return &Slot{limiter: l, evict: evict, since: time.Now()}
}

// Acquire returns a held slot, evicting another connection if none is free. It blocks until the eviction rule
// allows an eviction, and returns nil at once if all connections are active.
func (l *Limiter) Acquire(evict func()) *Slot {
	s := l.NewSlot(evict)
	if !s.AcquireWithin(unboundedWait) {
		return nil
	}
	return s
}

// unboundedWait is longer than any wait for a slot.
const unboundedWait = time.Hour

// pollInterval is how often a waiting connection checks whether a slot was released early.
const pollInterval = 5 * time.Millisecond

// AcquireWithin acquires the slot as Limiter.Acquire does, and blocks for at most the timeout. It returns false
// if no slot becomes available in that time, and at once if all connections are active.
func (s *Slot) AcquireWithin(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; {
		acquired, wait, possible := s.tryAcquire()
		switch {
		case acquired:
			return true
		case !possible, wait > 0 && !time.Now().Before(deadline):
			return false
		}
		time.Sleep(min(wait, pollInterval)) // wait is 0 after an eviction: the slot is free now
	}
}

// AcquireWithinGrace acquires the slot as Limiter.Acquire does if one is free or can be freed within the grace
// period of new connections, for which it blocks at most. It returns false at once if it would take longer.
func (s *Slot) AcquireWithinGrace() bool {
	for {
		acquired, wait, possible := s.tryAcquire()
		switch {
		case acquired:
			return true
		case !possible, wait > s.limiter.newGrace:
			return false
		}
		time.Sleep(wait)
	}
}

// tryAcquire takes a free slot. If there is none, it evicts a connection that can be evicted now, and the slot
// is free for the next attempt. Otherwise it returns how long to wait until a connection can be evicted, and
// whether one ever can.
func (s *Slot) tryAcquire() (acquired bool, wait time.Duration, possible bool) {
	l := s.limiter
	l.mu.Lock()
	if len(l.held) < l.capacity {
		s.since = time.Now()
		l.held[s] = struct{}{}
		l.mu.Unlock()
		return true, 0, true
	}
	candidate, wait := l.evictionCandidate()
	evictNow := candidate != nil && wait <= 0
	if evictNow {
		delete(l.held, candidate)
	}
	l.mu.Unlock()
	if evictNow {
		candidate.evict()
	}
	return false, max(0, wait), candidate != nil
}

// SetState sets the state of the slot's connection. It returns false if the slot is not held, because the
// connection was evicted or never acquired it; the latest message on the connection must not be served then.
func (s *Slot) SetState(state State) bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.state, s.since = state, time.Now()
	_, held := s.limiter.held[s]
	return held
}

// Release frees the slot. It has no effect if the slot is not held.
func (s *Slot) Release() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	delete(s.limiter.held, s)
}
