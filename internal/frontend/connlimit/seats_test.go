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
		{"the longest silent", []other{{StateNew, old}, {StateNew, 2 * old}, {StateIdle, 3 * old}}, 1},
		{"the longest idle", []other{{StateIdle, old}, {StateActive, 3 * old}, {StateIdle, 2 * old}}, 2},
		{"idle for a moment only, after a while", []other{{StateActive, old}, {StateIdle, 0}, {StateActive, old}}, 1},
		{"spoke once a moment ago, after a moment", []other{{StateIdle, 0}, {StateIdleAfterOne, 0}, {StateActive, old}}, 1},
		{"spoke once, before one that idles for a moment only", []other{{StateIdle, 0}, {StateIdleAfterOne, -50 * time.Millisecond}, {StateActive, old}}, 1},
		{"all busy", []other{{StateActive, old}, {StateActive, old}, {StateActive, old}}, -1},
		{"who spoke once before who spoke more", []other{{StateIdle, 2 * old}, {StateIdleAfterOne, old}, {StateActive, 3 * old}}, 1},
		{"a newcomer, after a moment", []other{{StateActive, old}, {StateNew, 0}, {StateIdle, 0}}, 1},
		// Waiting for each newcomer in turn would let a crowd of them keep everybody else out.
		{"not a newcomer while few of them are seated", []other{{StateNew, 0}, {StateIdle, old}, {StateActive, old}, {StateActive, old}, {StateActive, old},
			{StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old},
			{StateActive, old}, {StateActive, old}}, 1},
	} {
		table := New(len(c.others), 10*time.Millisecond, 200*time.Millisecond)
		ended := -1
		var seats []*Slot
		for i, o := range c.others {
			s := table.Acquire(func() { ended = i })
			s.state, s.since = o.state, time.Now().Add(o.since)
			seats = append(seats, s)
		}
		began := time.Now()
		s := table.Acquire(func() {})
		if (s == nil) != (c.leaves < 0) || ended != c.leaves || table.InUse() != len(c.others) {
			t.Errorf("%s: %d made room, seat %v, %d taken", c.name, ended, s != nil, table.InUse())
		}
		if s == nil {
			continue
		}
		least := map[State]time.Duration{StateNew: 9, StateIdleAfterOne: 9, StateIdle: 199}[c.others[c.leaves].state] * time.Millisecond
		if c.others[c.leaves].since == 0 && time.Since(began) < least {
			t.Errorf("%s: it got no time", c.name)
		}
		if seats[c.leaves].SetState(StateActive) || !s.SetState(StateActive) {
			t.Errorf("%s: who made room still has a seat, or the new one has none", c.name)
		}
		s.Release()
		if table.InUse() != len(c.others)-1 {
			t.Errorf("%s: %d seats taken after one left", c.name, table.InUse())
		}
	}
}

// TestResize: a table made smaller cuts nobody and seats no more until there is room; one made larger seats at once.
func TestResize(t *testing.T) {
	table := New(3, 10*time.Millisecond, time.Hour)
	var seats []*Slot
	for range 3 {
		s := table.Acquire(func() { t.Error("somebody was cut") })
		s.SetState(StateActive)
		seats = append(seats, s)
	}
	table.Resize(2)
	if table.InUse() != 3 || table.Acquire(func() {}) != nil {
		t.Errorf("%d seated in a table of 2 that had 3", table.InUse())
	}
	seats[0].Release()
	if table.Acquire(func() {}) != nil {
		t.Error("a third seat of two")
	}
	table.Resize(3)
	if table.Acquire(func() {}) == nil {
		t.Error("no seat in a table with room")
	}
}
