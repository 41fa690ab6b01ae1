package clock

import (
	"time"

	"sloehitch/internal/platform/heap"
)

// Virtual is a clock that advances only by Step or Run. Calls scheduled for the same instant run in the order in which they were
// scheduled, so every run is deterministic. It is not safe for concurrent use: the goroutine that advances the clock runs all calls, and
// only it may schedule more.
type Virtual struct {
	startedAt    time.Time
	now          int64                   // nanoseconds since startedAt
	calls        heap.Heap[int64, *call] // by nanoseconds since startedAt
	stoppedCalls int                     // number of stopped calls that are still in calls
}

// NewVirtual returns a clock that is set to the given time.
func NewVirtual(now time.Time) *Virtual { return &Virtual{startedAt: now.Round(0)} }

// call is a scheduled call. It implements Timer.
type call struct {
	clock   *Virtual
	f       func()
	index   int // in calls, or heap.NotInHeap
	stopped bool
}

// Now implements Clock.
func (v *Virtual) Now() time.Time { return v.startedAt.Add(time.Duration(v.now)) }

// AfterFunc implements Clock. f is never called before AfterFunc's caller returns, even if d is 0.
func (v *Virtual) AfterFunc(d time.Duration, f func()) Timer {
	c := &call{clock: v, f: f, index: heap.NotInHeap}
	c.schedule(d)
	return c
}

func (c *call) schedule(d time.Duration) {
	c.stopped = false
	c.clock.calls.Push(c.clock.now+int64(max(0, d)), c)
}

// Stop implements Timer. It only marks the call; marked calls are removed together, so that stopping ten thousand at once is cheap.
func (c *call) Stop() bool {
	if c.index == heap.NotInHeap || c.stopped {
		return false
	}
	c.stopped = true
	c.clock.stoppedCalls++
	c.clock.dropStopped()
	return true
}

// Reset implements Timer. The call runs after those already scheduled for the same instant.
func (c *call) Reset(d time.Duration) bool {
	active := c.Stop()
	if c.index != heap.NotInHeap { // marked as stopped, but still in the queue
		c.clock.calls.Remove(c.index)
		c.clock.stoppedCalls--
	}
	c.schedule(d)
	return active
}

// dropStopped removes stopped calls once there are at least 64 and they are at least half of all calls in the queue.
func (v *Virtual) dropStopped() {
	if v.stoppedCalls < 64 || v.stoppedCalls*2 < v.calls.Len() {
		return
	}
	v.calls.Keep(func(c *call) bool { return !c.stopped })
	v.stoppedCalls = 0
}

// Step advances the clock to the next call and makes it. It returns false if no call is pending.
func (v *Virtual) Step() bool {
	for v.calls.Len() > 0 {
		at, c := v.calls.Pop()
		if c.stopped {
			v.stoppedCalls--
			continue
		}
		v.now = at
		c.f()
		return true
	}
	return false
}

// Next returns the time of the next call; false if no call is pending.
func (v *Virtual) Next() (time.Time, bool) {
	for v.calls.Len() > 0 {
		at, c := v.calls.First()
		if !c.stopped {
			return v.startedAt.Add(time.Duration(at)), true
		}
		v.calls.Pop()
		v.stoppedCalls--
	}
	return time.Time{}, false
}

// Run advances the clock to the given time and makes all calls that are due until then, inclusively.
func (v *Virtual) Run(until time.Time) {
	for {
		at, pending := v.Next()
		if !pending || at.After(until) {
			break
		}
		v.Step()
	}
	v.now = max(v.now, int64(until.Sub(v.startedAt)))
}

// Pending returns the number of pending calls.
func (v *Virtual) Pending() int { return v.calls.Len() - v.stoppedCalls }

// SetIndex implements heap.Element.
func (c *call) SetIndex(at int) { c.index = at }
