package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of one process's clock, in nanoseconds. Instants of different machines are unrelated and must not be
// compared.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Clock returns the current instant of one process's clock. The clock must advance while the machine is suspended.
type Clock func() Instant

// Now returns the time since the machine booted. It includes suspension and can't be set (clock_gettime(2),
// CLOCK_BOOTTIME). Now panics if the kernel does not have this clock (before Linux 2.6.39).
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("lease: cannot read the boot-time clock: " + err.Error())
	}
	return Instant(t.Nano())
}
