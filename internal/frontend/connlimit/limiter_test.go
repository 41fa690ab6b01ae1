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
		evicted int // the connection that is; -1: none, and there is no slot
	}{
		{"the longest silent new one", []other{{StateNew, old}, {StateNew, 2 * old}, {StateIdle, 3 * old}}, 1},
		{"the longest idle one", []other{{StateIdle, old}, {StateActive, 3 * old}, {StateIdle, 2 * old}}, 2},
		{"one just used, after its grace", []other{{StateActive, old}, {StateIdle, 0}, {StateActive, old}}, 1},
		{"one just used after one message, after its grace", []other{{StateIdle, 0}, {StateIdleAfterOne, 0}, {StateActive, old}}, 1},
		{"one idle after one message, before one just used", []other{{StateIdle, 0}, {StateIdleAfterOne, -50 * time.Millisecond}, {StateActive, old}}, 1},
		{"all active", []other{{StateActive, old}, {StateActive, old}, {StateActive, old}}, -1},
		{"idle after one message before idle after more", []other{{StateIdle, 2 * old}, {StateIdleAfterOne, old}, {StateActive, 3 * old}}, 1},
		{"a new one, after its grace", []other{{StateActive, old}, {StateNew, 0}, {StateIdle, 0}}, 1},
		// Waiting for each new one in turn would let a crowd of them keep everybody else out.
		{"not a new one while few of them hold slots", []other{{StateNew, 0}, {StateIdle, old}, {StateActive, old}, {StateActive, old}, {StateActive, old},
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
			t.Errorf("%s: %d was evicted, slot %v, %d in use", c.name, evicted, s != nil, limiter.InUse())
		}
		if s == nil {
			continue
		}
		minWait := map[State]time.Duration{StateNew: 9, StateIdleAfterOne: 9, StateIdle: 199}[c.others[c.evicted].state] * time.Millisecond
		if c.others[c.evicted].since == 0 && time.Since(startedAt) < minWait {
			t.Errorf("%s: it got no grace", c.name)
		}
		if slots[c.evicted].SetState(StateActive) || !s.SetState(StateActive) {
			t.Errorf("%s: the evicted one still has a slot, or the new one has none", c.name)
		}
		s.Release()
		if limiter.InUse() != len(c.others)-1 {
			t.Errorf("%s: %d slots in use after one was released", c.name, limiter.InUse())
		}
	}
}

// TestResize: a smaller capacity evicts no active connection and grants no slot until one is free; a larger
// one grants it at once.
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
		t.Errorf("%d slots in use of 2, after 3 were", limiter.InUse())
	}
	slots[0].Release()
	if limiter.Acquire(func() {}) != nil {
		t.Error("a third slot of two")
	}
	limiter.Resize(3)
	if limiter.Acquire(func() {}) == nil {
		t.Error("no slot though one is free")
	}
}
