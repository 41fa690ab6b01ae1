package runtime

import "time"

// The keepalive rule defines when an open connection counts as broken.
//
//   - Before the runtime is ready: after limits.RuntimeReadyTimeout without a byte. The runtime may be slow to
//     start, but its process may also be gone, so the link reconnects.
//   - Once it is ready: after limits.RuntimeSilence without a byte, the gauges are requested as a probe; after
//     the same time again without a byte, the connection is closed.

// keepalive is the state of the keepalive rule on one connection.
type keepalive struct {
	readyTimeout   time.Duration // limits.RuntimeReadyTimeout
	silenceTimeout time.Duration // limits.RuntimeSilence
	probed         bool          // a probe was sent, and nothing was received since
}

// readTimeout returns how long to wait for the next bytes.
func (k *keepalive) readTimeout(ready bool) time.Duration {
	if ready {
		return k.silenceTimeout
	}
	return k.readyTimeout
}

// received records that bytes were received.
func (k *keepalive) received() { k.probed = false }

// timedOut reports whether to send a probe after a read that timed out; otherwise the connection is broken.
// received reports whether bytes were received before the timeout.
func (k *keepalive) timedOut(ready, received bool) (probe bool) {
	if !ready || k.probed {
		return false
	}
	k.probed = !received
	return true
}
