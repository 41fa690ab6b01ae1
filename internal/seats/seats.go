// Package seats holds the bounded number of places for connections in a front, and says who has to make room.
package seats

import (
	"sync"
	"time"
)

// State is what the connection on a seat is doing.
type State int

const (
	Silent State = iota // it has never sent a whole message
	Idle                // it has, and nothing is open on it
	Busy                // something is open on it: it keeps its seat
)

// Table is the seats of one front.
type Table struct {
	most  int
	grace time.Duration // a newcomer may be silent for so long before it has to make room
	idle  time.Duration // and one that has spoken may idle for so long

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
	return &Table{most: most, grace: grace, idle: idle, taken: map[*Seat]struct{}{}}
}

// Take seats a connection that end closes. Without a free seat the one that has been silent for longest makes room,
// or else the one that has idled for longest. It waits for a moment where all who might are newcomers, so that a
// crowd can't push out one who is about to speak, and returns nil if nobody has to go.
func (t *Table) Take(end func()) *Seat {
	for {
		t.mu.Lock()
		if len(t.taken) < t.most {
			s := &Seat{table: t, end: end, since: time.Now()}
			t.taken[s] = struct{}{}
			t.mu.Unlock()
			return s
		}
		victim := t.victim()
		if victim == nil {
			t.mu.Unlock()
			return nil
		}
		if age := time.Since(victim.since); victim.state == Silent && age < t.grace {
			t.mu.Unlock()
			time.Sleep(t.grace - age)
			continue
		}
		delete(t.taken, victim)
		t.mu.Unlock()
		victim.end()
	}
}

// victim is who has to make room; the caller holds mu.
func (t *Table) victim() *Seat {
	var worst *Seat
	for s := range t.taken {
		if s.state == Busy || s.state == Idle && time.Since(s.since) < t.idle {
			continue
		}
		if worst == nil || s.state < worst.state || s.state == worst.state && s.since.Before(worst.since) {
			worst = s
		}
	}
	return worst
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
