// Package gracefulclose closes TCP connections and listeners without a reset. A socket that is closed over
// unread bytes, or a listener that is closed over connections in its accept queue, resets the connection, and
// answers that are on their way to the peer are lost with it.
package gracefulclose

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseWrite ends a connection's sending side: what was written is delivered, then the peer reads the end of
// the stream. It does not block, and has no effect on a connection without a half-close.
func CloseWrite(c net.Conn) {
	if c, ok := c.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite() // one that is closed already needs no more
	}
}

// CloseWriteAndDiscard ends the sending side and discards what the peer still sends. It blocks until the peer
// has ended its side too, the timeout is over or maxBytes have come. The caller still has to close the
// connection.
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

// pollInterval is how often CloseWriteAndWait looks whether the peer has ended its side.
const pollInterval = 5 * time.Millisecond

// CloseWriteAndWait ends the sending side and blocks until the peer has ended its side too, or the timeout is
// over. What the peer still sends is left unread: a request that is read is owed an answer, and none can
// follow. The caller still has to close the connection.
func CloseWriteAndWait(c net.Conn, timeout time.Duration) {
	CloseWrite(c)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && !peerClosed(c); {
		time.Sleep(pollInterval)
	}
}

// peerClosed reports whether the peer has ended its side, which can be seen without reading what it sent
// before.
func peerClosed(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		closed = err == nil && n > 0 && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}
