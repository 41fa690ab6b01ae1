package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on one process's clock, in nanoseconds. Instants of two machines have nothing in common and are never
// compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Clock returns the current instant of one process's clock. The clock must go on while the machine is suspended.
type Clock func() Instant

// Now returns the time since the machine's boot, which includes suspension and is never set (clock_gettime(2),
// CLOCK_BOOTTIME). It panics where the kernel lacks that clock (before Linux 2.6.39).
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("lease: no boot-time clock: " + err.Error())
	}
	return Instant(t.Nano())
}
