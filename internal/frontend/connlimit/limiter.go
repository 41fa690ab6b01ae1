// Package connlimit bounds the connections of a front. Each connection holds a slot; where all are taken, the
// eviction rule (eviction.go) says which connection gives its slot to a new one, and when.
package connlimit

import (
	"sync"
	"time"
)

// State is what the connection that holds a slot is doing.
type State int

// The states of a connection. The order is that of eviction among idle connections.
const (
	StateNew          State = iota // no complete message has come on it yet
	StateIdleAfterOne              // one message has come, and no request is open on it
	StateIdle                      // more messages have come, and no request is open on it
	StateActive                    // a request is open on it, or an answer is still to be written: it is never evicted
)

// Limiter hands out the slots of one front. Its methods may be called from any goroutine.
type Limiter struct {
	newGrace  time.Duration // how long a connection may stay in StateNew or StateIdleAfterOne before it can be evicted
	idleGrace time.Duration // the same for StateIdle

	mu             sync.Mutex
	capacity       int // slots
	reservedForNew int // while fewer new connections than this hold slots, idle ones are evicted before them
	held           map[*Slot]struct{}
}

// Slot is one connection's claim to be open. It is held from a successful acquisition until Release or
// eviction.
type Slot struct {
	limiter *Limiter
	evict   func()
	state   State
	since   time.Time // when the connection entered its state, or was last used
}

// New returns a limiter of the given capacity in slots. newcomerGrace and idleGrace are the times for which a
// connection keeps its slot though it has nothing open (eviction.go).
func New(capacity int, newGrace, idleGrace time.Duration) *Limiter {
	return &Limiter{capacity: capacity, newGrace: newGrace, idleGrace: idleGrace, reservedForNew: reservedSlots(capacity),
		held: map[*Slot]struct{}{}}
}

// Resize sets the capacity. Connections that hold slots beyond it keep them; new ones evict others until the
// capacity is met.
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

// NewSlot returns a slot that is not held yet; SetState returns false on it until it is acquired. evict
// closes its connection when the slot is given to another one; it is called without the limiter's lock, from
// the goroutine of the connection that takes the slot.
func (l *Limiter) NewSlot(evict func()) *Slot {
	return &Slot{limiter: l, evict: evict, since: time.Now()}
}

// Acquire returns a held slot, evicting another connection if none is free. It blocks until the eviction rule
// lets one go, and returns nil at once if all connections are active.
func (l *Limiter) Acquire(evict func()) *Slot {
	s := l.NewSlot(evict)
	if !s.AcquireWithin(unboundedWait) {
		return nil
	}
	return s
}

// unboundedWait is longer than any wait for a slot.
const unboundedWait = time.Hour

// pollInterval is how often a waiting connection looks for a slot that was released early.
const pollInterval = 5 * time.Millisecond

// AcquireWithin acquires the slot as Limiter.Acquire does, and blocks for the timeout at most. It returns
// false if no slot can be had in that time, at once if all connections are active.
func (s *Slot) AcquireWithin(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; {
		acquired, wait, possible := s.tryAcquire()
		switch {
		case acquired:
			return true
		case !possible, wait > 0 && !time.Now().Before(deadline):
			return false
		}
		time.Sleep(min(wait, pollInterval)) // a wait of 0: a connection was evicted, and its slot is free
	}
}

// AcquireWithinGrace acquires the slot as Limiter.Acquire does if one is free, or will be within the grace of
// new connections; it blocks for that long at most. It returns false at once if it would take longer.
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

// tryAcquire takes a free slot, or else evicts a connection if one can be evicted now. Otherwise it returns
// how long it takes until the first can be, if any can.
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

// SetState records what the connection is doing from now on. It returns false if the slot is not held,
// because it was evicted or never acquired: then the latest message on the connection must not be served.
func (s *Slot) SetState(state State) bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.state, s.since = state, time.Now()
	_, held := s.limiter.held[s]
	return held
}

// Release frees the slot. It has no effect on one that is not held.
func (s *Slot) Release() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	delete(s.limiter.held, s)
}
