package emulator

import (
	"container/heap"
	"math"
	"time"

	"sloehitch/internal/clock"
)

// Machine is the cores of one server, which share their time evenly among the work on them: processor sharing
// (Kleinrock, Queueing Systems II, 4.4). No work has more than one core.
type Machine struct {
	clock    *clock.Virtual
	cores    float64
	speed    float64 // work done by one core in a second; 0 while it stands still
	thrash   float64 // how much slower each doubling of the crowd beyond thrashAt makes all of it
	thrashAt float64 // works for each core from which they hinder each other

	served float64 // what each piece of work that has always been here has had, in work
	last   time.Time
	works  works
	added  uint64
	timer  clock.Timer

	busy  float64 // core-seconds used
	area  float64 // pieces of work times seconds
	begun time.Time
}

// Work is one piece on a machine.
type Work struct {
	finish float64 // at which served it is done
	order  uint64
	index  int // -1: not there
	done   func()
}

// NewMachine returns an idle machine.
func NewMachine(c *clock.Virtual, cores int, speed, thrash, thrashAt float64) *Machine {
	return &Machine{clock: c, cores: float64(cores), speed: speed, thrash: thrash, thrashAt: max(1, thrashAt), last: c.Now(), begun: c.Now()}
}

// rate is the work that each piece is done a second.
func (m *Machine) rate() float64 {
	n := float64(len(m.works))
	if n == 0 {
		return 0
	}
	r := m.speed * min(1, m.cores/n)
	if crowd := n / (m.cores * m.thrashAt); crowd > 1 && m.thrash > 0 {
		r /= 1 + m.thrash*math.Log2(crowd)
	}
	return r
}

// advance accounts for the time since the last change.
func (m *Machine) advance() {
	now := m.clock.Now()
	span := now.Sub(m.last).Seconds()
	m.last = now
	n := float64(len(m.works))
	m.served += m.rate() * span
	m.busy += min(n, m.cores) * span
	m.area += n * span
}

// Add puts work on the cores; done is called when it has been done.
func (m *Machine) Add(work float64, done func()) *Work {
	m.advance()
	m.added++
	w := &Work{finish: m.served + work, order: m.added, done: done}
	heap.Push(&m.works, w)
	m.arm()
	return w
}

// Remove takes work off the cores and returns what is left of it; done is not called.
func (m *Machine) Remove(w *Work) float64 {
	if w.index < 0 {
		return 0
	}
	m.advance()
	heap.Remove(&m.works, w.index)
	m.arm()
	return max(0, w.finish-m.served)
}

// Speed changes how fast the cores are; 0: they stand still.
func (m *Machine) Speed(speed float64) {
	m.advance()
	m.speed = speed
	m.arm()
}

// Running is how many pieces are on the cores.
func (m *Machine) Running() int { return len(m.works) }

// Utilization is the share of the cores used since the beginning.
func (m *Machine) Utilization() float64 {
	m.advance()
	return m.busy / (m.cores * max(1e-9, m.clock.Now().Sub(m.begun).Seconds()))
}

// tiny is work that counts as none: what a nanosecond of rounding comes to.
const tiny = 1e-9

func (m *Machine) arm() {
	if m.timer != nil {
		m.timer.Stop()
	}
	rate := m.rate()
	if rate == 0 {
		return
	}
	left := max(0, m.works[0].finish-m.served) / rate
	m.timer = m.clock.AfterFunc(time.Duration(math.Ceil(left*1e9)), m.due)
}

// due ends all that has been done.
func (m *Machine) due() {
	m.advance()
	var over []*Work
	for len(m.works) > 0 && m.works[0].finish <= m.served+tiny {
		over = append(over, heap.Pop(&m.works).(*Work))
	}
	m.arm()
	for _, w := range over {
		w.done()
	}
}

// works is a heap by what is left to do, then by arrival.
type works []*Work

func (q works) Len() int { return len(q) }
func (q works) Less(i, j int) bool {
	if q[i].finish == q[j].finish {
		return q[i].order < q[j].order
	}
	return q[i].finish < q[j].finish
}
func (q works) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *works) Push(x any) {
	w := x.(*Work)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *works) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
