// Package clock provides the current time and timers. System is the machine's clock; Virtual is advanced by a test or the emulator
// and runs timers in a deterministic order.
//
// The program uses steady time: instants are read from a clock that never steps, so that the difference between two instants is a
// duration of real time. The wall clock, which may be stepped at any moment, is read only to interpret received time stamps
// (Timestamps). docs/design/time.md lists which part reads which clock.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock returns the current time and starts timers. Its methods do not block.
type Clock interface {
	// Now returns the current instant of steady time, without a monotonic reading. It is close to Unix time unless the wall clock was stepped.
	Now() time.Time
	// AfterFunc calls f after d, or immediately if d is 0 or less. System calls f in its own goroutine, Virtual in the goroutine
	// that advances the clock.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call of AfterFunc. *time.Timer is one.
type Timer interface {
	// Stop cancels the call. It returns false if the call was already made or stopped.
	Stop() bool
	// Reset schedules the call for d from now, even if it was already made. It returns what Stop would have returned.
	Reset(d time.Duration) bool
}

// System is the machine's clock: the Unix time at the start of the process, advanced by the monotonic clock.
type System struct{}

// reference maps a monotonic reading to an instant of steady time.
type reference struct {
	read   time.Time // with its monotonic reading
	steady time.Time
}

var processReference atomic.Pointer[reference]

func init() { setReference(time.Now(), 0) }

// setReference sets steady time at the given reading to its wall time plus ahead.
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

// Until returns the duration from now to an instant of steady time. It replaces time.Until, which would use the wall clock.
func (s System) Until(instant time.Time) time.Duration { return instant.Sub(s.Now()) }
