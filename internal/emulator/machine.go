package emulator

import (
	"math"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/heap"
)

// Machine simulates the cores of one server. They share their time evenly among the pieces of work, each of which uses
// one core at most: processor sharing (Kleinrock, Queueing Systems II, section 4.4). Above a concurrency of
// thrashThreshold for each core all work is slowed down by a factor of 1 + thrash*log2(concurrency/threshold).
type Machine struct {
	clock           *clock.Virtual
	cores           float64
	speed           float64 // work that one core does in a second; 0 while the cores are stalled
	thrash          float64
	thrashThreshold float64 // pieces of work for each core

	attained  float64 // work done so far on a piece that was added at the start
	updatedAt time.Time
	pieces    heap.Heap[float64, *Work] // by the attained work at which each is done
	timer     clock.Timer

	busyCoreSeconds float64
	startedAt       time.Time
}

// Work is one piece of work on a machine.
type Work struct {
	finish float64 // the machine's attained work at which this piece is done
	index  int     // in its machine's heap, or heap.NotInHeap
	done   func()
}

// NewMachine returns an idle machine.
func NewMachine(c *clock.Virtual, cores int, speed, thrash, thrashThreshold float64) *Machine {
	return &Machine{clock: c, cores: float64(cores), speed: speed, thrash: thrash, thrashThreshold: max(1, thrashThreshold), updatedAt: c.Now(), startedAt: c.Now()}
}

// rate returns the work done on each piece in a second.
func (m *Machine) rate() float64 {
	n := float64(m.pieces.Len())
	if n == 0 {
		return 0
	}
	r := m.speed * min(1, m.cores/n)
	if overload := n / (m.cores * m.thrashThreshold); overload > 1 && m.thrash > 0 {
		r /= 1 + m.thrash*math.Log2(overload)
	}
	return r
}

// advance accounts for the time since the last call. It is called before each change of the pieces or the speed.
func (m *Machine) advance() {
	now := m.clock.Now()
	span := now.Sub(m.updatedAt).Seconds()
	m.updatedAt = now
	n := float64(m.pieces.Len())
	m.attained += m.rate() * span
	m.busyCoreSeconds += min(n, m.cores) * span
}

// Add starts a piece of work, given in seconds of a core of speed 1, and calls done when it is finished.
func (m *Machine) Add(work float64, done func()) *Work {
	m.advance()
	w := &Work{finish: m.attained + work, done: done}
	m.pieces.Push(w.finish, w)
	m.scheduleCompletion()
	return w
}

// Remove stops a piece of work and returns the work left to do. The done function of the piece is not called.
func (m *Machine) Remove(w *Work) float64 {
	if w.index == heap.NotInHeap {
		return 0
	}
	m.advance()
	m.pieces.Remove(w.index)
	m.scheduleCompletion()
	return max(0, w.finish-m.attained)
}

// SetSpeed changes the speed of the cores; 0 stalls them.
func (m *Machine) SetSpeed(speed float64) {
	m.advance()
	m.speed = speed
	m.scheduleCompletion()
}

// Running returns the number of pieces of work.
func (m *Machine) Running() int { return m.pieces.Len() }

// Utilization returns the share of all core time that was used since the start, 0 to 1.
func (m *Machine) Utilization() float64 {
	m.advance()
	return m.busyCoreSeconds / (m.cores * max(1e-9, m.clock.Now().Sub(m.startedAt).Seconds()))
}

// workTolerance is the remaining work up to which a piece counts as done: the error of rounding to a nanosecond.
const workTolerance = 1e-9

// scheduleCompletion sets the timer for the piece that finishes next.
func (m *Machine) scheduleCompletion() {
	if m.timer != nil {
		m.timer.Stop()
	}
	rate := m.rate()
	if rate == 0 {
		return
	}
	finish, _ := m.pieces.First()
	remaining := max(0, finish-m.attained) / rate
	m.timer = m.clock.AfterFunc(time.Duration(math.Ceil(remaining*1e9)), m.completeFinished)
}

// completeFinished removes all finished pieces and calls their done functions.
func (m *Machine) completeFinished() {
	m.advance()
	var finished []*Work
	for m.pieces.Len() > 0 {
		finish, w := m.pieces.First()
		if finish > m.attained+workTolerance {
			break
		}
		m.pieces.Pop()
		finished = append(finished, w)
	}
	m.scheduleCompletion()
	for _, w := range finished {
		w.done()
	}
}

// SetIndex implements heap.Element.
func (w *Work) SetIndex(at int) { w.index = at }
