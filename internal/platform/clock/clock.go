// Package clock gives the program's parts the time and their timers. System is the machine's clock; Virtual is one that a test or the emulator advances, with
// a fixed order of events.
//
// Inside the program time is steady: an instant is read off a clock that never steps, so that the difference of two instants is a duration of real
// time. The wall clock, which may be stepped at any moment, is read where time stamps arrive (Timestamps) and nowhere else.
// docs/design/time.md lists which part reads which clock.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock tells the time and starts timers. Its methods do not block.
type Clock interface {
	// Now returns the present instant of steady time, without a monotonic reading. It is near the Unix time as long as the wall clock was not stepped.
	Now() time.Time
	// AfterFunc calls f once d has passed, at once where d is not above 0: System in a goroutine of its own, Virtual in the one that advances the clock.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call of AfterFunc. *time.Timer is one.
type Timer interface {
	// Stop prevents the call. It returns false where the call was made or stopped before.
	Stop() bool
	// Reset has the call made once d has passed from now, whether or not it was made before. It returns what Stop would.
	Reset(d time.Duration) bool
}

// System is the machine's clock: the Unix time at which the process started, advanced by its monotonic clock.
type System struct{}

// reference relates a monotonic reading to an instant of steady time.
type reference struct {
	read   time.Time // with its monotonic reading
	steady time.Time
}

var processReference atomic.Pointer[reference]

func init() { setReference(time.Now(), 0) }

// setReference sets steady time at the reading to its wall time plus ahead.
func setReference(read time.Time, ahead time.Duration) {
	processReference.Store(&reference{read: read, steady: read.Round(0).Add(ahead)})
}

// steadyAt returns the steady instant of a reading of the system's clocks.
func steadyAt(read time.Time) time.Time {
	r := processReference.Load()
	return r.steady.Add(read.Sub(r.read)) // both have a monotonic reading, which Sub uses
}

// Now implements Clock.
func (System) Now() time.Time { return steadyAt(time.Now()) }

// AfterFunc implements Clock by time.AfterFunc.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// Until returns the duration from now to an instant of steady time. time.Until would use the wall clock.
func (s System) Until(instant time.Time) time.Duration { return instant.Sub(s.Now()) }
