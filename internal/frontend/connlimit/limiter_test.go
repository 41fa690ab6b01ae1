package connlimit

import (
	"testing"
	"time"
)

func TestEvictionOrder(t *testing.T) {
	const old = -time.Minute
	type other struct {
		state State
		since time.Duration // from now
	}
	for _, c := range []struct {
		name    string
		others  []other
		evicted int // index of the connection to be evicted; -1: no connection is, and no slot is granted
	}{
		{"oldest new connection past its grace", []other{{StateNew, old}, {StateNew, 2 * old}, {StateIdle, 3 * old}}, 1},
		{"least recently used idle connection", []other{{StateIdle, old}, {StateActive, 3 * old}, {StateIdle, 2 * old}}, 2},
		{"idle connection that was just used, after its grace", []other{{StateActive, old}, {StateIdle, 0}, {StateActive, old}}, 1},
		{"idle connection after one message, after its shorter grace", []other{{StateIdle, 0}, {StateIdleAfterOne, 0}, {StateActive, old}}, 1},
		{"idle connection after one message, before one that was just used", []other{{StateIdle, 0}, {StateIdleAfterOne, -50 * time.Millisecond}, {StateActive, old}}, 1},
		{"no connection if all are active", []other{{StateActive, old}, {StateActive, old}, {StateActive, old}}, -1},
		{"idle connection after one message, before one idle for longer after several", []other{{StateIdle, 2 * old}, {StateIdleAfterOne, old}, {StateActive, 3 * old}}, 1},
		{"new connection, after its grace", []other{{StateActive, old}, {StateNew, 0}, {StateIdle, 0}}, 1},
		// If each new connection's grace were waited for in turn, many of them would block all other peers.
		{"idle connection while few new ones hold slots", []other{{StateNew, 0}, {StateIdle, old}, {StateActive, old}, {StateActive, old}, {StateActive, old},
			{StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old}, {StateActive, old},
			{StateActive, old}, {StateActive, old}}, 1},
	} {
		limiter := New(len(c.others), 10*time.Millisecond, 200*time.Millisecond)
		evicted := -1
		var slots []*Slot
		for i, o := range c.others {
			s := limiter.Acquire(func() { evicted = i })
			s.state, s.since = o.state, time.Now().Add(o.since)
			slots = append(slots, s)
		}
		startedAt := time.Now()
		s := limiter.Acquire(func() {})
		if (s == nil) != (c.evicted < 0) || evicted != c.evicted || limiter.InUse() != len(c.others) {
			t.Errorf("%s: connection %d was evicted, slot granted: %v, %d slots in use", c.name, evicted, s != nil, limiter.InUse())
		}
		if s == nil {
			continue
		}
		minWait := map[State]time.Duration{StateNew: 9, StateIdleAfterOne: 9, StateIdle: 199}[c.others[c.evicted].state] * time.Millisecond
		if c.others[c.evicted].since == 0 && time.Since(startedAt) < minWait {
			t.Errorf("%s: the connection was evicted before its grace period ended", c.name)
		}
		if slots[c.evicted].SetState(StateActive) || !s.SetState(StateActive) {
			t.Errorf("%s: the evicted connection still holds its slot, or the new one holds none", c.name)
		}
		s.Release()
		if limiter.InUse() != len(c.others)-1 {
			t.Errorf("%s: %d slots in use after one was released", c.name, limiter.InUse())
		}
	}
}

// TestResize checks that a reduced capacity evicts no active connection and grants no slot until one is free,
// and that an increased capacity grants a slot at once.
func TestResize(t *testing.T) {
	limiter := New(3, 10*time.Millisecond, time.Hour)
	var slots []*Slot
	for range 3 {
		s := limiter.Acquire(func() { t.Error("an active connection was evicted") })
		s.SetState(StateActive)
		slots = append(slots, s)
	}
	limiter.Resize(2)
	if limiter.InUse() != 3 || limiter.Acquire(func() {}) != nil {
		t.Errorf("%d slots in use after a resize from 3 to 2, or another one was granted; want 3 in use", limiter.InUse())
	}
	slots[0].Release()
	if limiter.Acquire(func() {}) != nil {
		t.Error("a third slot was granted at a capacity of 2")
	}
	limiter.Resize(3)
	if limiter.Acquire(func() {}) == nil {
		t.Error("no slot was granted at a capacity of 3 with 2 in use")
	}
}
