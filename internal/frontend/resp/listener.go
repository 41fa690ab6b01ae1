package resp

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"sloehitch/internal/frontend/gracefulclose"
	"sloehitch/internal/platform/sockerr"
)

// Listener hands redcon connections that are within the limits and well framed. Accept never fails for a moment's
// lack of descriptors: redcon would spin on it.
type Listener struct {
	net.Listener
	front             *Front
	shared            bool
	closing           atomic.Bool
	quietPeriodPassed bool // nothing came in the time granted since the last connection; of Accept
}

// Listen returns what Serve is to serve: ln, which is shared if another process of this node takes connections from it too.
func (f *Front) Listen(ln net.Listener, shared bool) *Listener {
	return &Listener{Listener: ln, front: f, shared: shared}
}

// acceptBackoff is how long the listener rests when the system is short of what a connection takes.
const acceptBackoff = 5 * time.Millisecond

// quietPeriod is for how long nothing must come before a listener that is to close is closed.
const quietPeriod = 10 * time.Millisecond

// Close ends the taking of connections. A listener that closes resets what waits in its queue, requests included, so
// that is taken first: Close returns at once, and the listener closes when its queue is empty. The queue of a shared
// one is left to the other process.
func (l *Listener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		l.front.closingListeners.Add(1)
	}
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && !l.shared {
		return d.SetDeadline(time.Now().Add(quietPeriod))
	}
	return l.Listener.Close()
}

// closeOnceEmpty takes the end of the time for the last look at a listener that is to close. That the time is over does not say that there was a
// look: the process may have stood still. It closes the listener once nothing waits in its queue, and nothing came in the time before;
// otherwise it grants another look.
func (l *Listener) closeOnceEmpty() {
	d := l.Listener.(interface{ SetDeadline(time.Time) error })
	switch {
	case gracefulclose.HasPendingConnections(l.Listener, l.quietPeriodPassed):
		l.quietPeriodPassed = false
		_ = d.SetDeadline(time.Time{}) // the next Accept takes what waits, whenever it has its turn
	case !l.quietPeriodPassed && d.SetDeadline(time.Now().Add(quietPeriod)) == nil:
		l.quietPeriodPassed = true
	default:
		l.Listener.Close()
	}
}

// extendDeadline notes that something came. A listener that is to close is granted the time for another connection.
func (l *Listener) extendDeadline() {
	l.quietPeriodPassed = false
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && l.closing.Load() && !l.shared {
		_ = d.SetDeadline(time.Now().Add(quietPeriod)) // it fails only where the listener is closed
	}
}

// Accept waits for the next connection. Once the listener is closed it blocks until the front is.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && l.closing.Load():
			l.closeOnceEmpty()
		case errors.Is(err, net.ErrClosed):
			if l.closing.Load() {
				l.front.closingListeners.Add(-1)
			}
			// Once this fails redcon closes every connection, open requests or not: not before Close.
			<-l.front.closed
			return nil, err
		case err != nil:
			l.front.log.Warn("accept failed", err)
			l.extendDeadline()
			if sockerr.IsResourceShortage(err) { // else it was that one connection's trouble, and others wait
				time.Sleep(acceptBackoff)
			}
		default:
			l.extendDeadline()
			lim := l.front.opts.Limits
			g := &framedConn{Conn: c, frames: frameValidator{maxParts: lim.FrameParts, maxBulkBytes: lim.FrameBytes, maxFrameBytes: lim.FrameBytes},
				messageTimeout: lim.MessageTimeout, timeoutFrom: time.Now(), finalBytes: lim.RequestsPerConnection * lim.FrameBytes}
			if g.slot = l.front.slots.NewSlot(func() { l.front.evict(g) }); !g.slot.AcquireWithinGrace() {
				l.front.acceptUnadmitted(g)
			}
			// Counted as open until Serve has it among its connections: a process that looked in between would
			// think itself free to leave, and close a connection that a client may have written to. Even while
			// leaving it is served and asked to close like the others: where the listener is shared with the
			// process that comes next, the client never learns that it reached this one.
			l.front.pending.Add(1)
			return g, nil
		}
	}
}
