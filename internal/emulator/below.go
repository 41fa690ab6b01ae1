package emulator

import (
	"math/rand/v2"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Dependency is what runs call half way through: one service that all nodes share, with so many slots.
type Dependency struct {
	Slots       int
	ServiceTime Distribution // in seconds, of one call in a slot
	MaxQueued   int          // calls that wait for a slot; more are turned away unexamined
}

// sharedDependency is a dependency while a world runs. Calls are served first come, first served.
type sharedDependency struct {
	Dependency
	clock     *clock.Virtual
	random    *rand.Rand
	speed     float64 // of its service; lower: it is slow
	busySlots int
	queue     []*dependencyCall
}

// dependencyCall is one call.
type dependencyCall struct {
	startedAt time.Time
	done      func(o logic.Outcome, took time.Duration)
	queued    bool
	finished  bool // its caller gave up: in a slot it goes on, as nobody tells the service
}

// call makes a call; done is told how it ended, unless quit came first.
func (b *sharedDependency) call(done func(o logic.Outcome, took time.Duration)) *dependencyCall {
	d := &dependencyCall{startedAt: b.clock.Now(), done: done}
	switch {
	case b.busySlots < b.Slots:
		b.startService(d)
	case len(b.queue) < b.MaxQueued:
		d.queued = true
		b.queue = append(b.queue, d)
	default:
		b.clock.AfterFunc(0, func() { b.finish(d, logic.OutcomeRejected) })
	}
	return d
}

func (b *sharedDependency) startService(d *dependencyCall) {
	b.busySlots++
	d.queued = false
	span := b.ServiceTime.Sample(b.random) / b.speed
	b.clock.AfterFunc(time.Duration(span*1e9), func() {
		b.busySlots--
		b.finish(d, logic.OutcomeOK)
		for b.busySlots < b.Slots && len(b.queue) > 0 {
			next := b.queue[0]
			if b.queue = b.queue[1:]; !next.finished {
				b.startService(next)
			}
		}
	})
}

func (b *sharedDependency) finish(d *dependencyCall, o logic.Outcome) {
	if !d.finished {
		d.finished = true
		d.done(o, b.clock.Now().Sub(d.startedAt))
	}
}

// cancel gives a call up.
func (b *sharedDependency) cancel(d *dependencyCall) { d.finished = true }
