// Package loadrig plays an emulated world's callers, load and machines against real daemons on loopback: the daemon is a
// process, its sockets and clock are real, and what it talks to (balancers, runtime) is the emulator's, moved in step with
// the machine's clock. The same experiment file so drives both, and shows where the model is off.
package loadrig

import (
	"time"

	"sloehitch/internal/platform/clock"
)

// inbox is what comes from sockets, to be done on the goroutine that moves the clock.
type inbox chan func()

// pace moves a clock in step with the machine's until the given time. A call is made at its time or a little later, but finds
// the clock at its own time: load keeps its pace whatever the daemon does (no coordinated omission).
func (in inbox) pace(v *clock.Virtual, until time.Time) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		if !now.Before(until) {
			v.Run(until)
			return
		}
		v.Run(now)
		wake := until
		if next, ok := v.Next(); ok && next.Before(until) {
			wake = next
		}
		timer.Reset(time.Until(wake))
		select {
		case f := <-in:
			v.Run(time.Now())
			f()
		case <-timer.C:
		}
	}
}
