package resp

import (
	"errors"
	"time"

	"sloehitch/internal/frontend/gracefulclose"
)

// The closing rule defines when a connection may be closed from this side. Every request that was read must be
// answered, and no answer may be lost to a reset.
//
//  1. The peer is asked first to close the connection: when it has no open requests and was not used for the
//     node's idle timeout, or while the node drains. The peer then sends no new requests, and closes the
//     connection once all are answered.
//  2. If the peer does not close a connection without open requests within limits.PeerCloseTimeout, the
//     connection is no longer read (framedConn.stopReading); data that has arrived by then is still answered.
//     The same applies to evicted connections, and to all connections at shutdown.
//  3. A connection that is no longer read is closed once every request on it is answered and the answers are
//     written. It is closed at once if its peer is gone or has left too many answers unread (output.go), as
//     the answers could not be delivered.
//  4. Closing shuts down the sending side first; the peer has limits.CloseTimeout to shut down its side, and a
//     tenth of that if the connection has no slot.

// unadmittedCloseDivisor sets the share of limits.CloseTimeout that a connection without a slot gets:
// 1/unadmittedCloseDivisor.
const unadmittedCloseDivisor = 10

// endCause is the reason why reading from a connection ended.
type endCause int

const (
	endedByPeer     endCause = iota // the peer closed the connection, or it broke: no caller waits for open requests
	endedLocally                    // this side is closing the connection: requests read so far are still answered
	endedByBadInput                 // malformed data was received, or a message was not complete in time
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

// endReading handles the end of reading. If the peer closed the connection, its open requests are canceled. If
// it sent malformed data, they are answered at once, without waiting for their runs, and the connection is
// closed.
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
	c.front.opts.Log.Debug("reading from a connection ended", "peer", c.socket.RemoteAddr(), "error", err, "open", ids)
	if why == endedByBadInput {
		c.front.log.Warn("closing a connection because of malformed input", err)
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

// answersDue reports whether an answer is due on the connection or not yet written. If none is, the connection
// is about to be closed, and the peer is not asked to close it any more.
func (c *conn) answersDue() bool {
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

// closeIfIdle asks the peer to close a connection that has been idle for longer than the timeout (0: no limit),
// or any connection while draining. It stops reading if the peer was asked before and did not close in time.
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

// requestClose asks the peer to close the connection; the caller holds mu.
func (c *conn) requestClose(now time.Time) {
	c.closeRequestedAt = now
	c.front.opts.Log.Debug("asking the peer to close its connection", "peer", c.socket.RemoteAddr())
	c.enqueue(closeTag, wordClose, nil, nil)
}

// closeIfDone closes the connection if reading has ended and all answers are written; the caller holds mu.
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

// closeGracefully shuts down the sending side, waits for the peer to do the same, and closes the socket.
func (c *conn) closeGracefully() {
	c.socket.flushed.Store(true)
	c.front.evictions.closeExcess()
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
