package emulator

import (
	"math/rand/v2"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Dependency is what runs call half way through: one service that all nodes share, with so many slots.
type Dependency struct {
	Slots   int
	Service Sizes // in seconds, of one call in a slot
	Waiting int   // calls that wait for a slot; more are turned away unexamined
}

// below is a dependency while a world runs. Calls are served first come, first served.
type below struct {
	Dependency
	clock  *clock.Virtual
	random *rand.Rand
	speed  float64 // of its service; lower: it is slow
	busy   int
	queue  []*dependent
}

// dependent is one call.
type dependent struct {
	began  time.Time
	done   func(o logic.Outcome, took time.Duration)
	queued bool
	gone   bool // its caller gave up: in a slot it goes on, as nobody tells the service
}

// call makes a call; done is told how it ended, unless quit came first.
func (b *below) call(done func(o logic.Outcome, took time.Duration)) *dependent {
	d := &dependent{began: b.clock.Now(), done: done}
	switch {
	case b.busy < b.Slots:
		b.serve(d)
	case len(b.queue) < b.Waiting:
		d.queued = true
		b.queue = append(b.queue, d)
	default:
		b.clock.AfterFunc(0, func() { b.end(d, logic.OutcomeRejected) })
	}
	return d
}

func (b *below) serve(d *dependent) {
	b.busy++
	d.queued = false
	span := b.Service.Draw(b.random) / b.speed
	b.clock.AfterFunc(time.Duration(span*1e9), func() {
		b.busy--
		b.end(d, logic.OutcomeOK)
		for b.busy < b.Slots && len(b.queue) > 0 {
			next := b.queue[0]
			if b.queue = b.queue[1:]; !next.gone {
				b.serve(next)
			}
		}
	})
}

func (b *below) end(d *dependent, o logic.Outcome) {
	if !d.gone {
		d.gone = true
		d.done(o, b.clock.Now().Sub(d.began))
	}
}

// quit gives a call up.
func (b *below) quit(d *dependent) { d.gone = true }
