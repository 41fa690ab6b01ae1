package soak

import (
	"slices"
	"time"
)

// pausedBetween returns how long the node's process was stopped, or the machine did not schedule the rig, between two times.
func (run *testRun) pausedBetween(from, to time.Duration) (sum time.Duration) {
	for _, x := range slices.Concat(run.pauses, run.schedulingDelays) {
		if x.to >= from && x.from <= to+sum+time.Second {
			sum += x.to - x.from
		}
	}
	return sum
}

// unscheduledBetween returns how long the machine did not schedule the rig between two times.
func (run *testRun) unscheduledBetween(from, to time.Duration) (sum time.Duration) {
	for _, x := range run.schedulingDelays {
		sum += max(0, min(x.to, to)-max(x.from, from))
	}
	return sum
}

// minSchedulingTurn is the shortest time between two pauses in which a process is sure to have run, even on a busy machine.
const minSchedulingTurn = 5 * time.Millisecond

// signalSeenAt returns when a process could first handle its SIGTERM: a signal that arrives during a pause is handled after the pause, or
// after a further pause that begins before the process has run.
func (run *testRun) signalSeenAt(proc *process) time.Duration {
	at, waits := proc.terminatedAt, false
	for _, x := range run.pauses {
		within := x.from <= at && at < x.to
		if within || waits && x.from >= at && x.from-at < minSchedulingTurn {
			at, waits = x.to, true
		}
	}
	return at
}
