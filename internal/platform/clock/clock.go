// Package clock is where the program's parts take the time and their timers from. System is the machine's; Virtual is
// one that a test or the emulator moves, with a fixed order of what happens.
//
// Inside the program time is steady: an instant is read off a clock that only runs on, so that a span between two instants is a span of
// real time. The wall clock, which may be stepped at any moment, is read where time stamps come in (Stamps) and nowhere else.
// docs/design/time.md lists who reads which clock.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock tells the time and calls back later. Its methods do not block.
type Clock interface {
	// Now is an instant of steady time, without a monotonic reading: its spans are real ones, however it is compared, and it is near the
	// Unix clock's time as long as that was not stepped.
	Now() time.Time
	// AfterFunc calls f once d has passed, at once where d is not above 0: System from a goroutine of its own, Virtual from
	// the one that moves the clock.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a call that is to come. *time.Timer is one.
type Timer interface {
	// Stop takes the call back. It returns false where it came, or was taken back before.
	Stop() bool
	// Reset has the call come once d has passed from now, whether or not it came before. It returns what Stop would.
	Reset(d time.Duration) bool
}

// System is the machine's clock: the Unix time at which the process started, and real time since then.
type System struct{}

// reference is one reading of both clocks: the steady instant that a monotonic reading stands for.
type reference struct {
	read   time.Time // with its monotonic reading
	steady time.Time
}

var processReference atomic.Pointer[reference]

func init() { setReference(time.Now(), 0) }

// setReference has steady time be the wall time of the reading, plus ahead.
func setReference(read time.Time, ahead time.Duration) {
	processReference.Store(&reference{read: read, steady: read.Round(0).Add(ahead)})
}

// steadyAt is the steady instant of a reading of the system's clocks.
func steadyAt(read time.Time) time.Time {
	r := processReference.Load()
	return r.steady.Add(read.Sub(r.read)) // both have a monotonic reading, which Sub goes by
}

// Now is the present instant of steady time.
func (System) Now() time.Time { return steadyAt(time.Now()) }

// AfterFunc is time.AfterFunc.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// Until is how long it is from now to an instant of steady time. time.Until would go by the wall clock.
func (s System) Until(instant time.Time) time.Duration { return instant.Sub(s.Now()) }
