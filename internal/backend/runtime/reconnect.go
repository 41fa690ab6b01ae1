package runtime

import "time"

// The reconnection rule: how long the next attempt to connect waits after a connection ended or could not be
// made.
//
//   - limits.MinBackoff after the first, then twice as long after each, up to limits.MaxBackoff: the runtime
//     may start long after the node, and is needed at once when it is up;
//   - limits.MinBackoff again after an attempt that lasted longer than limits.MaxBackoff, as the link was up;
//   - not at all after a change of the address, which also ends a wait.

// backoff is the state of the reconnection rule.
type backoff struct {
	initial, max time.Duration
	next         time.Duration
}

// delay returns how long to wait after an attempt that lasted so long. After a change of the address it
// returns the initial delay, and nothing is to be waited for.
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
