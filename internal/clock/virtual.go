package clock

import (
	"container/heap"
	"time"
)

// Virtual is a clock that stands until it is moved, by Step or Run. Calls at the same instant come in the order in which
// they were asked for, so the same calls in the same order give the same course every time. It is for one goroutine: the one
// that moves it, from which all calls come and which alone may ask for more.
type Virtual struct {
	begun time.Time
	now   int64  // nanoseconds since then
	asked uint64 // calls asked for so far
	calls queue
	dead  int // of calls: taken back
}

// NewVirtual returns a clock that stands at the given time.
func NewVirtual(now time.Time) *Virtual { return &Virtual{begun: now.Round(0)} }

// call is one call that is to come.
type call struct {
	clock *Virtual
	at    int64 // nanoseconds since the clock's beginning
	order uint64
	f     func()
	index int // in the queue; -1: not there
	off   bool
}

// Now is the time at which the clock stands.
func (v *Virtual) Now() time.Time { return v.begun.Add(time.Duration(v.now)) }

// AfterFunc has f called when the clock has been moved d further: not before the caller returns, even for a d of 0.
func (v *Virtual) AfterFunc(d time.Duration, f func()) Timer {
	c := &call{clock: v, f: f, index: -1}
	c.ask(d)
	return c
}

func (c *call) ask(d time.Duration) {
	v := c.clock
	v.asked++
	c.at, c.order, c.off = v.now+int64(max(0, d)), v.asked, false
	heap.Push(&v.calls, c)
}

// Stop takes the call back. It costs nothing but a mark: ten thousand at once are swept out together.
func (c *call) Stop() bool {
	if c.index < 0 || c.off {
		return false
	}
	c.off = true
	c.clock.dead++
	c.clock.sweep()
	return true
}

// Reset has the call come at another time; among those of that instant it is the last.
func (c *call) Reset(d time.Duration) bool {
	active := c.Stop()
	if c.index >= 0 { // marked, and still in the queue
		heap.Remove(&c.clock.calls, c.index)
		c.clock.dead--
	}
	c.ask(d)
	return active
}

// sweep drops calls that were taken back once they are more than those that stand.
func (v *Virtual) sweep() {
	if v.dead < 64 || v.dead*2 < len(v.calls) {
		return
	}
	kept := v.calls[:0]
	for _, c := range v.calls {
		if c.off {
			c.index = -1
			continue
		}
		c.index = len(kept)
		kept = append(kept, c)
	}
	clear(v.calls[len(kept):])
	v.calls, v.dead = kept, 0
	heap.Init(&v.calls)
}

// Step moves the clock to the next call and makes it. It returns false where none is to come.
func (v *Virtual) Step() bool {
	for len(v.calls) > 0 {
		c := heap.Pop(&v.calls).(*call)
		if c.off {
			v.dead--
			continue
		}
		v.now = c.at
		c.f()
		return true
	}
	return false
}

// Next is when the next call is to come; false: none is.
func (v *Virtual) Next() (time.Time, bool) {
	for len(v.calls) > 0 && v.calls[0].off {
		heap.Pop(&v.calls)
		v.dead--
	}
	if len(v.calls) == 0 {
		return time.Time{}, false
	}
	return v.begun.Add(time.Duration(v.calls[0].at)), true
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
	v.now = max(v.now, int64(until.Sub(v.begun)))
}

// Pending is the number of calls that are to come.
func (v *Virtual) Pending() int { return len(v.calls) - v.dead }

// queue is a heap of calls by time, then by the order in which they were asked for.
type queue []*call

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at == q[j].at {
		return q[i].order < q[j].order
	}
	return q[i].at < q[j].at
}
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *queue) Push(x any) {
	c := x.(*call)
	c.index = len(*q)
	*q = append(*q, c)
}
func (q *queue) Pop() any {
	old := *q
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	c.index = -1
	return c
}
