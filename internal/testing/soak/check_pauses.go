package soak

import (
	"slices"
	"time"
)

// paused is how long the process stood still between two times.
func (p *play) paused(from, to time.Duration) (sum time.Duration) {
	for _, x := range slices.Concat(p.pauses, p.lags) {
		if x.to >= from && x.from <= to+sum+time.Second {
			sum += x.to - x.from
		}
	}
	return sum
}

// turnLeast is how long a process must go on between two pauses to have had a turn on a busy machine.
const turnLeast = 5 * time.Millisecond

// noticed is when a process could first notice that it is to leave: a signal that comes while it stands still waits, also for a pause that
// follows before the process can have had a turn.
func (p *play) noticed(l *life) time.Duration {
	at, waits := l.told, false
	for _, x := range p.pauses {
		within := x.from <= at && at < x.to
		if within || waits && x.from >= at && x.from-at < turnLeast {
			at, waits = x.to, true
		}
	}
	return at
}
