// Package connlimit holds the bounded number of places for connections in a front, and says who has to make room.
package connlimit

import (
	"sync"
	"time"
)

// State is what the connection on a seat is doing.
type State int

const (
	StateNew          State = iota // it has never sent a whole message
	StateIdleAfterOne              // it has sent one, and nothing is open on it
	StateIdle                      // it has sent more, and nothing is open on it
	StateActive                    // something is open on it: it keeps its seat
)

// Limiter is the seats of one front.
type Limiter struct {
	capacity       int
	newcomerGrace  time.Duration // a newcomer may be silent for so long before it has to make room
	idleGrace      time.Duration // and one that has spoken may idle for so long
	reservedForNew int           // seats for newcomers: while they have fewer, one that has spoken makes room for another

	mu   sync.Mutex
	held map[*Slot]struct{}
}

// Slot is one connection's place.
type Slot struct {
	limiter *Limiter
	evict   func()
	state   State
	since   time.Time // when it entered its state, or was last used
}

// New returns a table with so many seats.
func New(most int, grace, idle time.Duration) *Limiter {
	return &Limiter{capacity: most, newcomerGrace: grace, idleGrace: idle, reservedForNew: max(1, most/8), held: map[*Slot]struct{}{}}
}

// Resize has the table seat so many from now on. Who is seated stays: beyond that many, newcomers have others make room.
func (t *Limiter) Resize(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.capacity, t.reservedForNew = most, max(1, most/8)
}

// Acquire seats a connection that end closes. Without a free seat the one that has been silent for longest makes room,
// unless it is a newcomer that may be about to speak; then one that has spoken and idles does, those that spoke once
// first: as a rule they were health checks, and are through with it. Only if none of them may go yet, or newcomers have
// all the seats that are kept for them, it waits for the first that may. It returns nil if all are busy.
func (t *Limiter) Acquire(end func()) *Slot {
	s := t.NewSlot(end)
	if !s.AcquireWithin(unboundedWait) {
		return nil
	}
	return s
}

// unboundedWait is longer than anybody waits for a seat.
const unboundedWait = time.Hour

// pollInterval is how often one who waits looks for a free seat.
const pollInterval = 5 * time.Millisecond

// NewSlot is a seat that was not given yet: Set tells whoever has it so, until Sit has got it one.
func (t *Limiter) NewSlot(end func()) *Slot { return &Slot{limiter: t, evict: end, since: time.Now()} }

// AcquireWithin takes a seat as Take says, and waits for it at most for the given time. It returns false where there is none by then, at once
// where all are busy.
func (s *Slot) AcquireWithin(patience time.Duration) bool {
	for until := time.Now().Add(patience); ; {
		seated, wait, possible := s.tryAcquire()
		switch {
		case seated:
			return true
		case !possible, wait > 0 && !time.Now().Before(until):
			return false
		}
		time.Sleep(min(wait, pollInterval)) // a place may be left before; 0: somebody has gone
	}
}

// AcquireWithinGrace takes a seat as Take says where one is free, or will be within the grace of newcomers. It returns false at once where that takes longer.
func (s *Slot) AcquireWithinGrace() bool {
	for {
		seated, wait, possible := s.tryAcquire()
		switch {
		case seated:
			return true
		case !possible, wait > s.limiter.newcomerGrace:
			return false
		}
		time.Sleep(wait)
	}
}

// tryAcquire takes a seat if one is free, and has somebody go who may go now. Otherwise it tells when the first may, if any.
func (s *Slot) tryAcquire() (seated bool, wait time.Duration, possible bool) {
	t := s.limiter
	t.mu.Lock()
	if len(t.held) < t.capacity {
		s.since = time.Now()
		t.held[s] = struct{}{}
		t.mu.Unlock()
		return true, 0, true
	}
	victim, wait := t.evictionCandidate()
	if victim != nil && wait <= 0 {
		delete(t.held, victim)
	}
	t.mu.Unlock()
	if victim != nil && wait <= 0 {
		victim.evict()
	}
	return false, max(0, wait), victim != nil
}

// evictionCandidate is who has to make room, and when; the caller holds mu.
func (t *Limiter) evictionCandidate() (victim *Slot, wait time.Duration) {
	var silent, idle, first *Slot // first: of those that idle, the one that may go before the others
	var until time.Duration       // and when
	newcomers := 0
	now := time.Now()
	for s := range t.held {
		switch {
		case s.state == StateNew:
			newcomers++
			if silent == nil || s.since.Before(silent.since) {
				silent = s
			}
		case s.state == StateActive:
		case t.graceOf(s)-now.Sub(s.since) > 0:
			if left := t.graceOf(s) - now.Sub(s.since); first == nil || left < until {
				first, until = s, left
			}
		case idle == nil || s.state < idle.state || s.state == idle.state && s.since.Before(idle.since):
			idle = s
		}
	}
	if silent != nil {
		wait = t.newcomerGrace - now.Sub(silent.since)
	}
	switch {
	case idle != nil && (silent == nil || wait > 0 && newcomers < t.reservedForNew):
		return idle, 0
	case silent == nil:
		return first, until
	}
	return silent, wait
}

// graceOf is for how long a connection that has spoken may idle before it has to make room.
func (t *Limiter) graceOf(s *Slot) time.Duration {
	if s.state == StateIdleAfterOne {
		return t.newcomerGrace
	}
	return t.idleGrace
}

// InUse is the number of seats taken.
func (t *Limiter) InUse() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

// SetState tells what the connection is doing from now on. It returns false if the seat was given away: then the
// connection is closed, and what came last on it must not be taken.
func (s *Slot) SetState(state State) bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.state, s.since = state, time.Now()
	_, seated := s.limiter.held[s]
	return seated
}

// Release frees the seat.
func (s *Slot) Release() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	delete(s.limiter.held, s)
}
