package runtime

import "time"

// The keepalive rule: when a connection that is not closed counts as broken.
//
//   - Before the runtime is ready: after limits.RuntimeReadyTimeout without a byte. A runtime may take its
//     time to start, but the connection may also lead to a process that is gone, so it is made anew.
//   - Once it is ready: after limits.RuntimeSilence without a byte the runtime is asked for the gauges, and
//     after as much again the connection is closed.

// keepalive is the state of the keepalive rule on one connection.
type keepalive struct {
	readyTimeout   time.Duration // limits.RuntimeReadyTimeout
	silenceTimeout time.Duration // limits.RuntimeSilence
	probed         bool          // the runtime was asked, and nothing has come since
}

// readTimeout returns how long to wait for bytes.
func (k *keepalive) readTimeout(ready bool) time.Duration {
	if ready {
		return k.silenceTimeout
	}
	return k.readyTimeout
}

// received notes that bytes have come.
func (k *keepalive) received() { k.probed = false }

// timedOut reports whether to ask the runtime after a read that timed out; otherwise the connection is
// broken. received says that bytes came before the timeout.
func (k *keepalive) timedOut(ready, received bool) (probe bool) {
	if !ready || k.probed {
		return false
	}
	k.probed = !received
	return true
}
