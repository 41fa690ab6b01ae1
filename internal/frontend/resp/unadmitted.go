package resp

import "time"

// The rule for new connections without a slot. If such a connection were closed at once, a request that has
// arrived on it would be lost; if it were read only once it has a slot, the request would be late. So up to
// limits.UnadmittedConnections connections without a slot are read at once; others wait to be accepted.
//
//   - The first message must arrive within limits.NewConnectionGrace.
//   - After its first message, the connection waits for a slot for limits.IdleConnectionGrace, by when a
//     connection that was just used can be evicted. If the caller gives a timeout, it waits for at most an
//     eighth of that.
//   - If the connection has no slot by then, the request and all messages that have arrived after it are rejected, and the
//     connection is closed.

// slotWaitDivisor sets the share of the caller's timeout for which a request may wait for a slot:
// 1/slotWaitDivisor.
const slotWaitDivisor = 8

// acceptUnadmitted accepts a connection without a slot for reading. It blocks while there are too many.
func (f *Front) acceptUnadmitted(c *framedConn) {
	f.opts.Log.Debug("accepting a connection without a free slot", "peer", c.RemoteAddr())
	f.unadmitted <- struct{}{}
	c.unadmitted = true
	c.messageTimeout, c.timeoutFrom = f.opts.Limits.NewConnectionGrace, time.Now()
}

// waitForSlot blocks until the connection has acquired a slot, and returns false if it gets none in time.
// requestTimeout is how long the caller waits for its answer; 0: not given.
func (c *conn) waitForSlot(requestTimeout time.Duration) bool {
	lim := &c.front.opts.Limits
	wait := lim.IdleConnectionGrace
	if requestTimeout > 0 {
		wait = min(wait, requestTimeout/slotWaitDivisor)
	}
	if !c.slot.AcquireWithin(wait) {
		return false
	}
	c.mu.Lock()
	c.socket.unadmitted = false
	c.slot.SetState(c.slotState())
	c.mu.Unlock()
	c.socket.messageTimeout = lim.MessageTimeout
	<-c.front.unadmitted
	return true
}
