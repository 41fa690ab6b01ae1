package clock

import (
	"time"

	"sloehitch/internal/platform/heap"
)

// Virtual is a clock that stands until it is moved, by Step or Run. Calls at the same instant come in the order in which
// they were asked for, so the same calls in the same order give the same course every time. It is for one goroutine: the one
// that moves it, from which all calls come and which alone may ask for more.
type Virtual struct {
	startedAt time.Time
	now       int64                   // nanoseconds since then
	calls     heap.Heap[int64, *call] // by nanoseconds since the clock's beginning
	stopped   int                     // of calls: taken back
}

// NewVirtual returns a clock that stands at the given time.
func NewVirtual(now time.Time) *Virtual { return &Virtual{startedAt: now.Round(0)} }

// call is one call that is to come.
type call struct {
	clock *Virtual
	f     func()
	index int // in the queue, or heap.Out
	off   bool
}

// Now is the time at which the clock stands.
func (v *Virtual) Now() time.Time { return v.startedAt.Add(time.Duration(v.now)) }

// AfterFunc has f called when the clock has been moved d further: not before the caller returns, even for a d of 0.
func (v *Virtual) AfterFunc(d time.Duration, f func()) Timer {
	c := &call{clock: v, f: f, index: heap.Out}
	c.ask(d)
	return c
}

func (c *call) ask(d time.Duration) {
	c.off = false
	c.clock.calls.Push(c.clock.now+int64(max(0, d)), c)
}

// Stop takes the call back. It costs nothing but a mark: ten thousand at once are swept out together.
func (c *call) Stop() bool {
	if c.index == heap.Out || c.off {
		return false
	}
	c.off = true
	c.clock.stopped++
	c.clock.dropStopped()
	return true
}

// Reset has the call come at another time; among those of that instant it is the last.
func (c *call) Reset(d time.Duration) bool {
	active := c.Stop()
	if c.index != heap.Out { // marked, and still in the queue
		c.clock.calls.Remove(c.index)
		c.clock.stopped--
	}
	c.ask(d)
	return active
}

// dropStopped drops calls that were taken back once they are more than those that stand.
func (v *Virtual) dropStopped() {
	if v.stopped < 64 || v.stopped*2 < v.calls.Len() {
		return
	}
	v.calls.Keep(func(c *call) bool { return !c.off })
	v.stopped = 0
}

// Step moves the clock to the next call and makes it. It returns false where none is to come.
func (v *Virtual) Step() bool {
	for v.calls.Len() > 0 {
		at, c := v.calls.Pop()
		if c.off {
			v.stopped--
			continue
		}
		v.now = at
		c.f()
		return true
	}
	return false
}

// Next is when the next call is to come; false: none is.
func (v *Virtual) Next() (time.Time, bool) {
	for v.calls.Len() > 0 {
		at, c := v.calls.First()
		if !c.off {
			return v.startedAt.Add(time.Duration(at)), true
		}
		v.calls.Pop()
		v.stopped--
	}
	return time.Time{}, false
}

// Run moves the clock to the given time and makes all calls until then, those of that instant included.
func (v *Virtual) Run(until time.Time) {
	for {
		at, any := v.Next()
		if !any || at.After(until) {
			break
		}
		v.Step()
	}
	v.now = max(v.now, int64(until.Sub(v.startedAt)))
}

// Pending is the number of calls that are to come.
func (v *Virtual) Pending() int { return v.calls.Len() - v.stopped }

// Placed is told where in the queue the call is.
func (c *call) Placed(at int) { c.index = at }
