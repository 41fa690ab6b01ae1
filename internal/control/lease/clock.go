package lease

import (
	"golang.org/x/sys/unix"
)

// Clock tells the instant on one process's clock.
type Clock func() Instant

// Now is the machine's clock since its boot, which goes on while it sleeps and is never set (clock_gettime(2),
// CLOCK_BOOTTIME). Instants of two machines have nothing in common.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("no clock since boot: " + err.Error()) // Linux has had it since 2.6.39
	}
	return Instant(t.Nano())
}
