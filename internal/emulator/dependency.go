package emulator

import (
	"math/rand/v2"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Dependency is a service that all nodes share and that requests call after half of their work.
type Dependency struct {
	Slots       int          // calls in service at once
	ServiceTime Distribution // in seconds
	MaxQueued   int          // calls that may wait for a slot; further ones are rejected
}

// sharedDependency is the state of the dependency in a running world. It serves calls in order of arrival.
type sharedDependency struct {
	Dependency
	clock     *clock.Virtual
	random    *rand.Rand
	speed     float64 // 1, or the factor of a fault while it lasts
	busySlots int
	queue     []*dependencyCall
}

// dependencyCall is one call to the dependency.
type dependencyCall struct {
	startedAt time.Time
	done      func(outcome logic.Outcome, took time.Duration)
	finished  bool // or canceled; a canceled call in service keeps its slot, because the service isn't notified
}

// call makes a call and passes its outcome to done, unless the call is canceled first. done is not called before call
// returns.
func (d *sharedDependency) call(done func(outcome logic.Outcome, took time.Duration)) *dependencyCall {
	c := &dependencyCall{startedAt: d.clock.Now(), done: done}
	switch {
	case d.busySlots < d.Slots:
		d.startService(c)
	case len(d.queue) < d.MaxQueued:
		d.queue = append(d.queue, c)
	default:
		d.clock.AfterFunc(0, func() { d.finish(c, logic.OutcomeRejected) })
	}
	return c
}

func (d *sharedDependency) startService(c *dependencyCall) {
	d.busySlots++
	seconds := d.ServiceTime.Sample(d.random) / d.speed
	d.clock.AfterFunc(time.Duration(seconds*1e9), func() {
		d.busySlots--
		d.finish(c, logic.OutcomeOK)
		d.startNext()
	})
}

// startNext starts queued calls while slots are free.
func (d *sharedDependency) startNext() {
	for d.busySlots < d.Slots && len(d.queue) > 0 {
		next := d.queue[0]
		d.queue = d.queue[1:]
		if !next.finished {
			d.startService(next)
		}
	}
}

func (d *sharedDependency) finish(c *dependencyCall, outcome logic.Outcome) {
	if !c.finished {
		c.finished = true
		c.done(outcome, d.clock.Now().Sub(c.startedAt))
	}
}

// cancel abandons a call, whose done is then not called.
func (d *sharedDependency) cancel(c *dependencyCall) { c.finished = true }
