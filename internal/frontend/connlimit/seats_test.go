package connlimit

import (
	"testing"
	"time"
)

func TestWhoMakesRoom(t *testing.T) {
	const old = -time.Minute
	type other struct {
		state State
		since time.Duration // from now
	}
	for _, c := range []struct {
		name   string
		others []other
		leaves int // who makes room; -1: nobody, and there is no seat
	}{
		{"the longest silent", []other{{Silent, old}, {Silent, 2 * old}, {Idle, 3 * old}}, 1},
		{"the longest idle", []other{{Idle, old}, {Busy, 3 * old}, {Idle, 2 * old}}, 2},
		{"idle for a moment only, after a while", []other{{Busy, old}, {Idle, 0}, {Busy, old}}, 1},
		{"spoke once a moment ago, after a moment", []other{{Idle, 0}, {Once, 0}, {Busy, old}}, 1},
		{"spoke once, before one that idles for a moment only", []other{{Idle, 0}, {Once, -50 * time.Millisecond}, {Busy, old}}, 1},
		{"all busy", []other{{Busy, old}, {Busy, old}, {Busy, old}}, -1},
		{"who spoke once before who spoke more", []other{{Idle, 2 * old}, {Once, old}, {Busy, 3 * old}}, 1},
		{"a newcomer, after a moment", []other{{Busy, old}, {Silent, 0}, {Idle, 0}}, 1},
		// Waiting for each newcomer in turn would let a crowd of them keep everybody else out.
		{"not a newcomer while few of them are seated", []other{{Silent, 0}, {Idle, old}, {Busy, old}, {Busy, old}, {Busy, old},
			{Busy, old}, {Busy, old}, {Busy, old}, {Busy, old}, {Busy, old}, {Busy, old}, {Busy, old}, {Busy, old}, {Busy, old},
			{Busy, old}, {Busy, old}}, 1},
	} {
		table := New(len(c.others), 10*time.Millisecond, 200*time.Millisecond)
		ended := -1
		var seats []*Seat
		for i, o := range c.others {
			s := table.Take(func() { ended = i })
			s.state, s.since = o.state, time.Now().Add(o.since)
			seats = append(seats, s)
		}
		began := time.Now()
		s := table.Take(func() {})
		if (s == nil) != (c.leaves < 0) || ended != c.leaves || table.Len() != len(c.others) {
			t.Errorf("%s: %d made room, seat %v, %d taken", c.name, ended, s != nil, table.Len())
		}
		if s == nil {
			continue
		}
		least := map[State]time.Duration{Silent: 9, Once: 9, Idle: 199}[c.others[c.leaves].state] * time.Millisecond
		if c.others[c.leaves].since == 0 && time.Since(began) < least {
			t.Errorf("%s: it got no time", c.name)
		}
		if seats[c.leaves].Set(Busy) || !s.Set(Busy) {
			t.Errorf("%s: who made room still has a seat, or the new one has none", c.name)
		}
		s.Leave()
		if table.Len() != len(c.others)-1 {
			t.Errorf("%s: %d seats taken after one left", c.name, table.Len())
		}
	}
}

// TestResize: a table made smaller cuts nobody and seats no more until there is room; one made larger seats at once.
func TestResize(t *testing.T) {
	table := New(3, 10*time.Millisecond, time.Hour)
	var seats []*Seat
	for range 3 {
		s := table.Take(func() { t.Error("somebody was cut") })
		s.Set(Busy)
		seats = append(seats, s)
	}
	table.Resize(2)
	if table.Len() != 3 || table.Take(func() {}) != nil {
		t.Errorf("%d seated in a table of 2 that had 3", table.Len())
	}
	seats[0].Leave()
	if table.Take(func() {}) != nil {
		t.Error("a third seat of two")
	}
	table.Resize(3)
	if table.Take(func() {}) == nil {
		t.Error("no seat in a table with room")
	}
}
