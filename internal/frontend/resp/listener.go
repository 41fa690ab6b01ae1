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

// Listener provides Front.Serve with connections that are within the limits and whose framing is checked. Accept does
// not fail on a temporary shortage of descriptors.
type Listener struct {
	net.Listener
	front             *Front
	shared            bool
	closing           atomic.Bool
	quietPeriodPassed bool // no connection arrived in a whole quiet period; used by Accept only
}

// Listen returns a listener for Serve that accepts connections from ln. shared must be set if another process
// of this node accepts connections from ln too.
func (f *Front) Listen(ln net.Listener, shared bool) *Listener {
	return &Listener{Listener: ln, front: f, shared: shared}
}

// acceptBackoff is the pause before the next attempt after a shortage of the resources that a connection needs.
const acceptBackoff = 5 * time.Millisecond

// The closing rule of listeners. Closing a listener resets the connections in its accept queue, including their
// requests. A listener is therefore closed only when its accept queue is empty and no connection has arrived
// for one quiet period. The end of a quiet period alone does not prove that the queue is empty, since the
// process may have been stopped meanwhile, so the queue is checked again then. The queue of a shared listener
// is left to the other process.

// quietPeriod is how long no connection must have arrived before a listener is closed.
const quietPeriod = 10 * time.Millisecond

type deadlineSetter interface{ SetDeadline(time.Time) error }

// Close stops accepting connections. It does not block: the listener closes when its accept queue is empty, a
// shared listener at once.
func (l *Listener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		l.front.closingListeners.Add(1)
	}
	if d, ok := l.Listener.(deadlineSetter); ok && !l.shared {
		return d.SetDeadline(time.Now().Add(quietPeriod))
	}
	return l.Listener.Close()
}

// closeIfQueueEmpty applies the closing rule of listeners at the end of a quiet period.
func (l *Listener) closeIfQueueEmpty() {
	d := l.Listener.(deadlineSetter)
	switch {
	case gracefulclose.HasPendingConnections(l.Listener, l.quietPeriodPassed):
		l.quietPeriodPassed = false
		_ = d.SetDeadline(time.Time{}) // the next Accept takes a queued connection, however late it runs
	case !l.quietPeriodPassed && d.SetDeadline(time.Now().Add(quietPeriod)) == nil:
		l.quietPeriodPassed = true
	default:
		_ = l.Listener.Close()
	}
}

// extendDeadline starts a new quiet period on a closing listener, because a connection has arrived.
func (l *Listener) extendDeadline() {
	l.quietPeriodPassed = false
	if d, ok := l.Listener.(deadlineSetter); ok && l.closing.Load() && !l.shared {
		_ = d.SetDeadline(time.Now().Add(quietPeriod)) // fails only on a closed listener
	}
}

// Accept waits for the next connection. Once the listener is closed, it blocks until the front end is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.extendDeadline()
			return l.admit(socket), nil
		case errors.Is(err, os.ErrDeadlineExceeded) && l.closing.Load():
			l.closeIfQueueEmpty()
		case errors.Is(err, net.ErrClosed):
			if l.closing.Load() {
				l.front.closingListeners.Add(-1)
			}
			// When Accept fails, Serve closes all connections, even those with open requests. Wait for Close.
			<-l.front.closed
			return nil, err
		default:
			l.front.log.Warn("failed to accept a connection; trying again", err)
			l.extendDeadline()
			if sockerr.IsResourceShortage(err) { // any other error concerns one connection: accept the next at once
				time.Sleep(acceptBackoff)
			}
		}
	}
}

// admit acquires a slot for a connection, or accepts it without a slot. It blocks until either is possible.
func (l *Listener) admit(socket net.Conn) *framedConn {
	f := l.front
	c := newFramedConn(socket, &f.opts.Limits)
	if c.slot = f.slots.NewSlot(func() { f.evict(c) }); !c.slot.AcquireWithinGrace() {
		f.acceptUnadmitted(c)
	}
	// The connection counts as open until Serve has added it to conns. Otherwise a process that checked in
	// between would exit and close a connection that a client may have written to. Connections accepted while
	// draining are served and asked to close like all others: if the listener is shared with the next process,
	// a client can't choose which of the two accepts its connection.
	f.pending.Add(1)
	return c
}
