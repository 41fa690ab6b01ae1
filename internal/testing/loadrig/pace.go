// Package loadrig runs an emulated experiment's callers, load and machines against real daemons on loopback: each daemon is a process with
// real sockets and a real clock, and its peers (load balancers, runtime) are those of the emulator, paced by the machine's clock. The same
// experiment file drives the model and the real daemons, so that their results can be compared.
package loadrig

import (
	"time"

	"sloehitch/internal/platform/clock"
)

// inbox carries events from sockets to the goroutine that advances the clock.
type inbox chan func()

// pace advances a virtual clock along with the machine's clock until the given time. A timer fires at its time or a little later, but the
// virtual clock then shows exactly its time, so that the offered load does not depend on the daemon (no coordinated omission).
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
