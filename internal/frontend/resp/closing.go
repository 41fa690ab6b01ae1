package resp

import (
	"errors"
	"time"

	"sloehitch/internal/frontend/gracefulclose"
)

// The closing rule: when a connection may be closed from this side. A request that was read is owed an
// answer, and an answer must not be lost to a reset.
//
//  1. The peer is asked first: on a connection without open requests that was not used for the node's idle
//     timeout, on every one while the node drains. It sends no new requests then, and closes the connection
//     once all are answered.
//  2. One that is asked, has nothing open and is not closed within limits.PeerCloseTimeout is no longer read
//     (framedConn.stopReading): what has arrived by then is still answered. The same goes for one that was
//     evicted, and for all at shutdown.
//  3. A connection that is no longer read is closed once every request on it is answered and written; at once
//     if its peer is gone or too much output is unread (output.go), as nobody would get the answers.
//  4. It is closed by ending the sending side; the peer has limits.CloseTimeout to end its side, one without
//     a slot a tenth of that.

// unadmittedCloseDivisor is the part of limits.CloseTimeout that a connection without a slot has: one in so
// many.
const unadmittedCloseDivisor = 10

// endCause says why the reading of a connection ended.
type endCause int

const (
	endedByPeer     endCause = iota // it left, or the connection broke: nobody waits for what is open
	endedLocally                    // the connection is being closed from this side: what was read is still answered
	endedByBadInput                 // what can't be decoded came, or a message was not complete in time
)

func endCauseOf(err error) endCause {
	for _, bad := range []error{errFraming, errMessageTimeout, errNoTag, errDuplicateTag, errTooManyOpen, errTooManyBadMessages} {
		if errors.Is(err, bad) {
			return endedByBadInput
		}
	}
	if errors.Is(err, errReadingStopped) {
		return endedLocally
	}
	return endedByPeer
}

// endReading takes the end of reading. If the peer left, its open requests are canceled. If it sent what
// can't be decoded, they are answered at once, without waiting for their runs, and the connection closes.
func (c *conn) endReading(err error) {
	why := endCauseOf(err)
	c.mu.Lock()
	c.readEnded = true
	var ids []string
	for _, id := range c.openRequests {
		ids = append(ids, id)
	}
	if why == endedByPeer {
		c.peerGone, c.writeEnded = true, true
		clear(c.openRequests)
	}
	c.closeIfDone()
	c.mu.Unlock()
	if why == endedByBadInput {
		c.front.log.Warn("malformed input; closing the connection", err)
	} else {
		c.front.opts.Log.Debug("no longer reading from a connection", "peer", c.socket.RemoteAddr(), "error", err, "open", ids)
	}
	for _, id := range ids {
		switch why {
		case endedByPeer:
			c.front.opts.Core.Cancel(id)
		case endedByBadInput:
			c.front.opts.Core.Abort(id)
		}
	}
}

// answersOwed reports whether an answer is owed on the connection or still to be written. If none is, the
// connection is about to end, and its peer is no longer asked to close it.
func (c *conn) answersOwed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasWork() {
		return true
	}
	if c.closeRequestedAt.IsZero() {
		c.closeRequestedAt = time.Now()
	}
	return false
}

// closeIfIdle asks the peer to close a connection that has been idle for longer than the timeout (0: none),
// or any while draining, and ends one that was asked and is not closed in time.
func (c *conn) closeIfIdle(now time.Time, idleTimeout time.Duration, draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readEnded:
	case !c.closeRequestedAt.IsZero():
		if !c.hasWork() && now.Sub(c.closeRequestedAt) > c.front.opts.Limits.PeerCloseTimeout {
			c.socket.stopReading()
		}
	case draining, len(c.openRequests) == 0 && idleTimeout > 0 && now.Sub(c.lastUsed) > idleTimeout:
		c.requestClose(now)
	}
}

// requestClose asks the balancer to close the connection; the caller holds mu.
func (c *conn) requestClose(now time.Time) {
	c.closeRequestedAt = now
	c.front.opts.Log.Debug("asking the peer to close the connection", "peer", c.socket.RemoteAddr())
	c.enqueue(closeTag, wordClose, nil, nil)
}

// closeIfDone closes the connection once nothing more is read and all answers are written; the caller holds
// mu.
func (c *conn) closeIfDone() {
	if c.closing || !c.readEnded || !c.writeEnded && c.hasWork() {
		return
	}
	c.writeEnded, c.closing = true, true
	c.discardOutput()
	if c.peerGone {
		c.close()
		return
	}
	go c.closeGracefully()
}

// closeGracefully ends the sending side and gives the peer time to end its side before it closes the socket.
func (c *conn) closeGracefully() {
	c.socket.flushed.Store(true)
	c.front.evictions.trim()
	timeout := c.front.opts.Limits.CloseTimeout
	if c.socket.unadmitted {
		timeout /= unadmittedCloseDivisor
	}
	gracefulclose.CloseWriteAndWait(c.socket.Conn, timeout)
	c.close()
}

// close closes the socket and releases the connection's slot.
func (c *conn) close() {
	_ = c.socket.Close()
	c.slot.Release()
	c.front.evictions.remove(c.socket)
	c.front.mu.Lock()
	delete(c.front.conns, c)
	c.front.mu.Unlock()
	if c.socket.unadmitted {
		<-c.front.unadmitted
	}
}
