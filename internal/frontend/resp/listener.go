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

// Listener hands redcon connections that are within the limits and well framed. Accept never fails for a
// shortage of descriptors that may pass: redcon would spin on it.
type Listener struct {
	net.Listener
	front             *Front
	shared            bool
	closing           atomic.Bool
	quietPeriodPassed bool // nothing came in a quiet period since the last connection; of Accept
}

// Listen returns what Serve is to serve: ln, which is shared if another process of this node accepts
// connections from it too.
func (f *Front) Listen(ln net.Listener, shared bool) *Listener {
	return &Listener{Listener: ln, front: f, shared: shared}
}

// acceptBackoff is the pause before the next attempt after a shortage of what a connection takes.
const acceptBackoff = 5 * time.Millisecond

// The closing rule of listeners. A listener that closes resets the connections in its accept queue, requests
// included. So it is closed once nothing waits there and nothing came for one quiet period. That a period is
// over does not say that there was a look at the queue, as the process may have been stopped, so the queue is
// looked at then. The queue of a shared listener is left to the other process.

// quietPeriod is for how long nothing must come before a listener is closed.
const quietPeriod = 10 * time.Millisecond

type deadlineSetter interface{ SetDeadline(time.Time) error }

// Close ends the taking of connections. It does not block: the listener closes when its accept queue is
// empty, a shared one at once.
func (l *Listener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		l.front.closingListeners.Add(1)
	}
	if d, ok := l.Listener.(deadlineSetter); ok && !l.shared {
		return d.SetDeadline(time.Now().Add(quietPeriod))
	}
	return l.Listener.Close()
}

// closeOnceEmpty applies the closing rule at the end of a quiet period.
func (l *Listener) closeOnceEmpty() {
	d := l.Listener.(deadlineSetter)
	switch {
	case gracefulclose.HasPendingConnections(l.Listener, l.quietPeriodPassed):
		l.quietPeriodPassed = false
		_ = d.SetDeadline(time.Time{}) // the next Accept takes what waits, however late it runs
	case !l.quietPeriodPassed && d.SetDeadline(time.Now().Add(quietPeriod)) == nil:
		l.quietPeriodPassed = true
	default:
		_ = l.Listener.Close()
	}
}

// extendDeadline notes that something came: a listener that is to close waits for another quiet period.
func (l *Listener) extendDeadline() {
	l.quietPeriodPassed = false
	if d, ok := l.Listener.(deadlineSetter); ok && l.closing.Load() && !l.shared {
		_ = d.SetDeadline(time.Now().Add(quietPeriod)) // it fails only on a closed listener
	}
}

// Accept waits for the next connection. Once the listener is closed it blocks until the front is.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.extendDeadline()
			return l.admit(socket), nil
		case errors.Is(err, os.ErrDeadlineExceeded) && l.closing.Load():
			l.closeOnceEmpty()
		case errors.Is(err, net.ErrClosed):
			if l.closing.Load() {
				l.front.closingListeners.Add(-1)
			}
			// Once this fails redcon closes every connection, open requests or not: not before Close.
			<-l.front.closed
			return nil, err
		default:
			l.front.log.Warn("accepting a connection failed; trying again", err)
			l.extendDeadline()
			if sockerr.IsResourceShortage(err) { // else it was that one connection's fault, and others wait
				time.Sleep(acceptBackoff)
			}
		}
	}
}

// admit acquires a slot for a connection, or has it read without one. It blocks until either can be had.
func (l *Listener) admit(socket net.Conn) *framedConn {
	f := l.front
	c := newFramedConn(socket, &f.opts.Limits)
	if c.slot = f.slots.NewSlot(func() { f.evict(c) }); !c.slot.AcquireWithinGrace() {
		f.acceptUnadmitted(c)
	}
	// Counted as open until Serve has it among its connections: a process that looked in between would think
	// itself free to end, and close a connection that a client may have written to. Even while draining it is
	// served and asked to close like the others: if the listener is shared with the process that comes next,
	// the client never learns that it reached this one.
	f.pending.Add(1)
	return c
}
