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

	served float64 // what each piece of work that has always been here has had, in work
	last   time.Time
	works  heap.Heap[float64, *Work] // by the served at which they are done
	timer  clock.Timer

	busy  float64 // core-seconds used
	area  float64 // pieces of work times seconds
	begun time.Time
}

// Work is one piece on a machine.
type Work struct {
	finish float64 // at which served it is done
	index  int     // on its machine, or heap.Out
	done   func()
}

// NewMachine returns an idle machine.
func NewMachine(c *clock.Virtual, cores int, speed, thrash, thrashAt float64) *Machine {
	return &Machine{clock: c, cores: float64(cores), speed: speed, thrash: thrash, thrashAt: max(1, thrashAt), last: c.Now(), begun: c.Now()}
}

// rate is the work that each piece is done a second.
func (m *Machine) rate() float64 {
	n := float64(m.works.Len())
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
	n := float64(m.works.Len())
	m.served += m.rate() * span
	m.busy += min(n, m.cores) * span
	m.area += n * span
}

// Add puts work on the cores; done is called when it has been done.
func (m *Machine) Add(work float64, done func()) *Work {
	m.advance()
	w := &Work{finish: m.served + work, done: done}
	m.works.Push(w.finish, w)
	m.arm()
	return w
}

// Remove takes work off the cores and returns what is left of it; done is not called.
func (m *Machine) Remove(w *Work) float64 {
	if w.index == heap.Out {
		return 0
	}
	m.advance()
	m.works.Remove(w.index)
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
func (m *Machine) Running() int { return m.works.Len() }

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
	finish, _ := m.works.First()
	left := max(0, finish-m.served) / rate
	m.timer = m.clock.AfterFunc(time.Duration(math.Ceil(left*1e9)), m.due)
}

// due ends all that has been done.
func (m *Machine) due() {
	m.advance()
	var over []*Work
	for m.works.Len() > 0 {
		finish, w := m.works.First()
		if finish > m.served+tiny {
			break
		}
		m.works.Pop()
		over = append(over, w)
	}
	m.arm()
	for _, w := range over {
		w.done()
	}
}

// Placed is told where in its machine's heap the work is.
func (w *Work) Placed(at int) { w.index = at }
