package resp

import "time"

// The rule for new connections without a slot. Closed at once, a connection would take a request along that
// has arrived; read only once it has a slot, the request would be late. So up to limits.UnadmittedConnections
// connections without a slot are read at once; further ones wait for their turn to be accepted.
//
//   - The first message must come within limits.NewConnectionGrace.
//   - A connection whose message has come waits for a slot for limits.IdleConnectionGrace, after which one of
//     those that were just used may be evicted; if its caller says how long it waits, for an eighth of that
//     at most.
//   - Without a slot by then the request is rejected, all that has arrived behind it too, and the connection
//     ends.

// slotWaitDivisor is the part of its caller's timeout that a request may wait for a slot: one in so many.
const slotWaitDivisor = 8

// acceptUnadmitted has a connection without a slot read. It blocks while too many are there.
func (f *Front) acceptUnadmitted(c *framedConn) {
	f.opts.Log.Debug("no free slot for a new connection", "peer", c.RemoteAddr())
	f.unadmitted <- struct{}{}
	c.unadmitted = true
	c.messageTimeout, c.timeoutFrom = f.opts.Limits.NewConnectionGrace, time.Now()
}

// waitForSlot blocks until a connection without a slot has one, and returns false if it gets none in time.
// requestTimeout is for how long the caller of its message waits; 0: not given.
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
