package emulator

import (
	"math"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/heap"
)

// Machine is the cores of one server, which share their time evenly among the work on them: processor sharing
// (Kleinrock, Queueing Systems II, 4.4). No work has more than one core.
type Machine struct {
	clock    *clock.Virtual
	cores    float64
	speed    float64 // work done by one core in a second; 0 while it stands still
	thrash   float64 // how much slower each doubling of the crowd beyond thrashAt makes all of it
	thrashAt float64 // works for each core from which they hinder each other

	attained  float64 // what each piece of work that has always been here has had, in work
	updatedAt time.Time
	pieces    heap.Heap[float64, *Work] // by the served at which they are done
	timer     clock.Timer

	busyCoreSeconds float64 // core-seconds used
	area            float64 // pieces of work times seconds
	startedAt       time.Time
}

// Work is one piece on a machine.
type Work struct {
	finish float64 // at which served it is done
	index  int     // on its machine, or heap.Out
	done   func()
}

// NewMachine returns an idle machine.
func NewMachine(c *clock.Virtual, cores int, speed, thrash, thrashAt float64) *Machine {
	return &Machine{clock: c, cores: float64(cores), speed: speed, thrash: thrash, thrashAt: max(1, thrashAt), updatedAt: c.Now(), startedAt: c.Now()}
}

// rate is the work that each piece is done a second.
func (m *Machine) rate() float64 {
	n := float64(m.pieces.Len())
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
	span := now.Sub(m.updatedAt).Seconds()
	m.updatedAt = now
	n := float64(m.pieces.Len())
	m.attained += m.rate() * span
	m.busyCoreSeconds += min(n, m.cores) * span
	m.area += n * span
}

// Add puts work on the cores; done is called when it has been done.
func (m *Machine) Add(work float64, done func()) *Work {
	m.advance()
	w := &Work{finish: m.attained + work, done: done}
	m.pieces.Push(w.finish, w)
	m.scheduleCompletion()
	return w
}

// Remove takes work off the cores and returns what is left of it; done is not called.
func (m *Machine) Remove(w *Work) float64 {
	if w.index == heap.Out {
		return 0
	}
	m.advance()
	m.pieces.Remove(w.index)
	m.scheduleCompletion()
	return max(0, w.finish-m.attained)
}

// SetSpeed changes how fast the cores are; 0: they stand still.
func (m *Machine) SetSpeed(speed float64) {
	m.advance()
	m.speed = speed
	m.scheduleCompletion()
}

// Running is how many pieces are on the cores.
func (m *Machine) Running() int { return m.pieces.Len() }

// Utilization is the share of the cores used since the beginning.
func (m *Machine) Utilization() float64 {
	m.advance()
	return m.busyCoreSeconds / (m.cores * max(1e-9, m.clock.Now().Sub(m.startedAt).Seconds()))
}

// workTolerance is work that counts as none: what a nanosecond of rounding comes to.
const workTolerance = 1e-9

func (m *Machine) scheduleCompletion() {
	if m.timer != nil {
		m.timer.Stop()
	}
	rate := m.rate()
	if rate == 0 {
		return
	}
	finish, _ := m.pieces.First()
	left := max(0, finish-m.attained) / rate
	m.timer = m.clock.AfterFunc(time.Duration(math.Ceil(left*1e9)), m.completeFinished)
}

// completeFinished ends all that has been done.
func (m *Machine) completeFinished() {
	m.advance()
	var over []*Work
	for m.pieces.Len() > 0 {
		finish, w := m.pieces.First()
		if finish > m.attained+workTolerance {
			break
		}
		m.pieces.Pop()
		over = append(over, w)
	}
	m.scheduleCompletion()
	for _, w := range over {
		w.done()
	}
}

// Placed is told where in its machine's heap the work is.
func (w *Work) Placed(at int) { w.index = at }
