// Package gracefulclose closes TCP connections and listeners without a reset. Closing a socket with unread
// bytes, or a listener with connections in its accept queue, resets those connections, and answers that are
// still in transit to the peer are lost.
package gracefulclose

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseWrite shuts down the sending side of a connection: what was written is delivered, then the peer reads
// the end of the stream. It does not block, and has no effect on a connection that can't be half-closed.
func CloseWrite(c net.Conn) {
	if c, ok := c.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite() // an error means that the connection is closed already
	}
}

// CloseWriteAndDiscard shuts down the sending side and discards what the peer still sends. It blocks until the
// peer has shut down its side too, the timeout has expired or maxBytes have been read. The caller still has to
// close the connection.
func CloseWriteAndDiscard(c net.Conn, timeout time.Duration, maxBytes int) {
	CloseWrite(c)
	if c.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	for buf := make([]byte, 4<<10); maxBytes > 0; {
		n, err := c.Read(buf)
		if maxBytes -= n; err != nil {
			return
		}
	}
}

// pollInterval is how often CloseWriteAndWait checks whether the peer has shut down its side.
const pollInterval = 5 * time.Millisecond

// CloseWriteAndWait shuts down the sending side and blocks until the peer has shut down its side too, or the
// timeout has expired. What the peer still sends is left unread: every request that is read must be answered,
// and no answer can be sent any more. The caller still has to close the connection.
func CloseWriteAndWait(c net.Conn, timeout time.Duration) {
	CloseWrite(c)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && !peerClosed(c); {
		time.Sleep(pollInterval)
	}
}

// peerClosed reports whether the peer has shut down its side. It does not read what the peer sent before.
func peerClosed(c net.Conn) bool { return PeerGone(c, true) }

// PeerGone reports whether the peer has reset the connection or, if halfClosed is set, has shut down its side. It neither
// blocks nor reads what the peer sent before. It returns false for a connection whose socket is not accessible.
func PeerGone(c net.Conn, halfClosed bool) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true // the connection is closed
	}
	gone := int16(unix.POLLHUP | unix.POLLERR)
	if halfClosed {
		gone |= unix.POLLRDHUP
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		closed = err == nil && n > 0 && state[0].Revents&gone != 0
	})
	return closed || err != nil
}
