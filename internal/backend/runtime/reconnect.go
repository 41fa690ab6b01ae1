package runtime

import "time"

// The reconnection rule defines the delay before the next attempt to connect, after a connection has ended or
// could not be established.
//
//   - The delay is limits.MinBackoff after the first attempt and doubles with each further one, up to
//     limits.MaxBackoff: the runtime may start long after the node, and is needed as soon as it is up.
//   - It is limits.MinBackoff again after an attempt that lasted longer than limits.MaxBackoff, since the link
//     was up then.
//   - There is none after a change of the address, which also ends a delay that is in progress.

// backoff is the state of the reconnection rule.
type backoff struct {
	initial, max time.Duration
	next         time.Duration
}

// delay returns how long to wait after an attempt of the given duration. After a change of the address it returns
// the initial delay, for which the caller must not wait.
func (b *backoff) delay(lasted time.Duration, addressChanged bool) time.Duration {
	if lasted > b.max || addressChanged {
		b.next = b.initial
	}
	wait := b.next
	if !addressChanged {
		b.next = min(2*b.next, b.max)
	}
	return wait
}
