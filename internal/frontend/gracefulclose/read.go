package gracefulclose

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"sloehitch/internal/platform/sockerr"
)

// ErrNoData is returned when a connection has no unread data.
var ErrNoData = errors.New("no data has arrived")

// ReadAvailable reads data that has arrived on a connection, without waiting for more; net.Conn's Read does not
// return it after the read deadline. It returns ErrNoData if nothing has arrived, and io.EOF at the end of the
// stream. If closeWrite is set, the very next system call after a prompt read that found nothing (promptly)
// shuts down the sending side, so that no request can arrive in between and remain unanswered. On a connection
// that exposes no file descriptor, such as a TLS connection, it returns ErrNoData. Transient errors are retried
// (package sockerr), and it blocks only for those retries.
func ReadAvailable(c net.Conn, b []byte, closeWrite bool) (n int, err error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0, ErrNoData
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	return sockerr.RetryRead(func() (int, error) { return readAvailable(control, b, closeWrite) })
}

// readDescriptor calls read(2); tests replace it.
var readDescriptor = unix.Read

// readAvailable makes one attempt of ReadAvailable.
func readAvailable(control syscall.RawConn, b []byte, closeWrite bool) (n int, err error) {
	var readErr error
	err = control.Control(func(fd uintptr) {
		promptly(func() (empty bool) {
			n, readErr = readDescriptor(int(fd), b)
			return errors.Is(readErr, unix.EAGAIN)
		})
		if errors.Is(readErr, unix.EAGAIN) && closeWrite {
			_ = unix.Shutdown(int(fd), unix.SHUT_WR) // fails only on a connection that has ended
		}
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, unix.EAGAIN):
		return 0, ErrNoData
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
