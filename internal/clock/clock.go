// Package clock is where the program's parts take the time and their timers from. System is the machine's; Virtual is
// one that a test or the emulator moves, with a fixed order of what happens.
package clock

import "time"

// Clock tells the time and calls back later. Its methods do not block.
type Clock interface {
	// Now is the Unix clock's time, without a monotonic reading: spans between two of them follow that clock too.
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

// System is the machine's clock.
type System struct{}

// Now is the system's Unix clock.
func (System) Now() time.Time { return time.Now().Round(0) }

// AfterFunc is time.AfterFunc.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
