// Package gracefulclose closes connections without a reset. A close over unread bytes resets a connection, and what is on its way
// to the peer goes with it.
package gracefulclose

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sloehitch/internal/platform/sockerr"
)

// CloseWrite ends a connection from this side: what was written is delivered, then the peer sees its end. It does not
// block, and does nothing where the connection knows no such end.
func CloseWrite(c net.Conn) {
	if c, ok := c.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite() // one that is closed already needs no more
	}
}

// CloseWriteAndDiscard ends a connection from this side and drops what the peer still sends, until it ends too, span is over or most
// bytes have come; it blocks for that long. The connection is still to be closed then.
func CloseWriteAndDiscard(c net.Conn, span time.Duration, most int) {
	CloseWrite(c)
	if c.SetReadDeadline(time.Now().Add(span)) != nil {
		return
	}
	for b := make([]byte, 4<<10); most > 0; {
		n, err := c.Read(b)
		if most -= n; err != nil {
			return
		}
	}
}

// pollInterval is how often End looks whether the peer has ended.
const pollInterval = 5 * time.Millisecond

// CloseWriteAndWait ends a connection from this side and waits until the peer has ended it too, or span is over; it blocks for that long. What the
// peer still sends is left unread: a request that is read is owed an answer, and none can follow. The connection is still to be closed then.
func CloseWriteAndWait(c net.Conn, span time.Duration) {
	CloseWrite(c)
	for end := time.Now().Add(span); time.Now().Before(end) && !peerClosed(c); {
		time.Sleep(pollInterval)
	}
}

// peerClosed says whether the peer has ended its side, which can be seen without reading what it sent before.
func peerClosed(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	ended := false
	err = control.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		ended = err == nil && n > 0 && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || err != nil
}

// ErrNoData says that nothing has arrived on a connection.
var ErrNoData = errors.New("nothing has arrived")

// Errors that pass by themselves are tried again so often, with a rest between.
const (
	maxTransientRetries = 500
	transientRetryDelay = 2 * time.Millisecond
)

// ReadAvailable reads what has arrived on a connection, without waiting; with a deadline in the past the connection's own Read would leave it.
// Where nothing has it returns ErrNothing, and if end is set it shuts the sending side down by the very next system call: a request that arrives
// in between would get no answer. On a connection without a descriptor of its own, such as one of TLS, nothing has arrived.
func ReadAvailable(c net.Conn, b []byte, end bool) (n int, err error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0, ErrNoData
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, err = readAvailable(control, b, end)
	for tries := 0; sockerr.IsTransient(err) && tries < maxTransientRetries; tries++ {
		time.Sleep(transientRetryDelay) // nothing is wrong with the connection, and what has arrived may be owed an answer
		n, err = readAvailable(control, b, end)
	}
	return n, err
}

// readDescriptor is read(2); tests have it fail.
var readDescriptor = unix.Read

// readAvailable is one try of ReadArrived.
func readAvailable(control syscall.RawConn, b []byte, end bool) (n int, err error) {
	var readErr error
	err = control.Control(func(fd uintptr) {
		n, readErr = readDescriptor(int(fd), b)
		if readErr == unix.EAGAIN && end {
			_ = unix.Shutdown(int(fd), unix.SHUT_WR) // it fails only where the connection has ended already
		}
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == unix.EAGAIN:
		return 0, ErrNoData
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// HasPendingConnections says whether connections wait in a listener's queue to be accepted. Where none does and end is set, the queue is shut by the very next
// system call: a connection that comes in between would be reset. It is false for a listener that is closed or has no descriptor of its own.
func HasPendingConnections(ln net.Listener, end bool) (waiting bool) {
	raw, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	err = control.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(state, 0)
		for tries := 0; sockerr.IsTransient(err) && tries < maxTransientRetries; tries++ {
			n, err = unix.Poll(state, 0)
		}
		waiting = err == nil && n > 0 && state[0].Revents&unix.POLLIN != 0
		if err == nil && !waiting && end {
			_ = unix.Shutdown(int(fd), unix.SHUT_RDWR) // it fails only where the listener is closed
		}
	})
	return waiting && err == nil
}
