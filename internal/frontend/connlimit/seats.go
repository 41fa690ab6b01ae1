// Package connlimit holds the bounded number of places for connections in a front, and says who has to make room.
package connlimit

import (
	"sync"
	"time"
)

// State is what the connection on a seat is doing.
type State int

const (
	Silent State = iota // it has never sent a whole message
	Once                // it has sent one, and nothing is open on it
	Idle                // it has sent more, and nothing is open on it
	Busy                // something is open on it: it keeps its seat
)

// Table is the seats of one front.
type Table struct {
	most  int
	grace time.Duration // a newcomer may be silent for so long before it has to make room
	idle  time.Duration // and one that has spoken may idle for so long
	kept  int           // seats for newcomers: while they have fewer, one that has spoken makes room for another

	mu    sync.Mutex
	taken map[*Seat]struct{}
}

// Seat is one connection's place.
type Seat struct {
	table *Table
	end   func()
	state State
	since time.Time // when it entered its state, or was last used
}

// New returns a table with so many seats.
func New(most int, grace, idle time.Duration) *Table {
	return &Table{most: most, grace: grace, idle: idle, kept: max(1, most/8), taken: map[*Seat]struct{}{}}
}

// Resize has the table seat so many from now on. Who is seated stays: beyond that many, newcomers have others make room.
func (t *Table) Resize(most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.most, t.kept = most, max(1, most/8)
}

// Take seats a connection that end closes. Without a free seat the one that has been silent for longest makes room,
// unless it is a newcomer that may be about to speak; then one that has spoken and idles does, those that spoke once
// first: as a rule they were health checks, and are through with it. Only if none of them may go yet, or newcomers have
// all the seats that are kept for them, it waits for the first that may. It returns nil if all are busy.
func (t *Table) Take(end func()) *Seat {
	s := t.Unseated(end)
	if !s.Sit(forEver) {
		return nil
	}
	return s
}

// forEver is longer than anybody waits for a seat.
const forEver = time.Hour

// look is how often one who waits looks for a free seat.
const look = 5 * time.Millisecond

// Unseated is a seat that was not given yet: Set tells whoever has it so, until Sit has got it one.
func (t *Table) Unseated(end func()) *Seat { return &Seat{table: t, end: end, since: time.Now()} }

// Sit takes a seat as Take says, and waits for it at most for the given time. It returns false where there is none by then, at once
// where all are busy.
func (s *Seat) Sit(patience time.Duration) bool {
	for until := time.Now().Add(patience); ; {
		seated, wait, possible := s.sitNow()
		switch {
		case seated:
			return true
		case !possible, wait > 0 && !time.Now().Before(until):
			return false
		}
		time.Sleep(min(wait, look)) // a place may be left before; 0: somebody has gone
	}
}

// SitSoon takes a seat as Take says where one is free, or will be within the grace of newcomers. It returns false at once where that takes longer.
func (s *Seat) SitSoon() bool {
	for {
		seated, wait, possible := s.sitNow()
		switch {
		case seated:
			return true
		case !possible, wait > s.table.grace:
			return false
		}
		time.Sleep(wait)
	}
}

// sitNow takes a seat if one is free, and has somebody go who may go now. Otherwise it tells when the first may, if any.
func (s *Seat) sitNow() (seated bool, wait time.Duration, possible bool) {
	t := s.table
	t.mu.Lock()
	if len(t.taken) < t.most {
		s.since = time.Now()
		t.taken[s] = struct{}{}
		t.mu.Unlock()
		return true, 0, true
	}
	victim, wait := t.victim()
	if victim != nil && wait <= 0 {
		delete(t.taken, victim)
	}
	t.mu.Unlock()
	if victim != nil && wait <= 0 {
		victim.end()
	}
	return false, max(0, wait), victim != nil
}

// victim is who has to make room, and when; the caller holds mu.
func (t *Table) victim() (victim *Seat, wait time.Duration) {
	var silent, idle, first *Seat // first: of those that idle, the one that may go before the others
	var until time.Duration       // and when
	newcomers := 0
	now := time.Now()
	for s := range t.taken {
		switch {
		case s.state == Silent:
			newcomers++
			if silent == nil || s.since.Before(silent.since) {
				silent = s
			}
		case s.state == Busy:
		case t.quiet(s)-now.Sub(s.since) > 0:
			if left := t.quiet(s) - now.Sub(s.since); first == nil || left < until {
				first, until = s, left
			}
		case idle == nil || s.state < idle.state || s.state == idle.state && s.since.Before(idle.since):
			idle = s
		}
	}
	if silent != nil {
		wait = t.grace - now.Sub(silent.since)
	}
	switch {
	case idle != nil && (silent == nil || wait > 0 && newcomers < t.kept):
		return idle, 0
	case silent == nil:
		return first, until
	}
	return silent, wait
}

// quiet is for how long a connection that has spoken may idle before it has to make room.
func (t *Table) quiet(s *Seat) time.Duration {
	if s.state == Once {
		return t.grace
	}
	return t.idle
}

// Len is the number of seats taken.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.taken)
}

// Set tells what the connection is doing from now on. It returns false if the seat was given away: then the
// connection is closed, and what came last on it must not be taken.
func (s *Seat) Set(state State) bool {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.state, s.since = state, time.Now()
	_, seated := s.table.taken[s]
	return seated
}

// Leave frees the seat.
func (s *Seat) Leave() {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	delete(s.table.taken, s)
}
