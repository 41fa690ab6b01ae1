package gracefulclose

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"sloehitch/internal/platform/sockerr"
)

// ErrNoData is returned when nothing has arrived on a connection.
var ErrNoData = errors.New("no data has arrived")

// ReadAvailable reads what has arrived on a connection, without waiting for more; net.Conn's Read would not
// return it after the read deadline. It returns ErrNoData if nothing has arrived, io.EOF at the end of the
// stream. If closeWrite is set, the system call after a read that found nothing ends the sending side, so
// that no request can arrive in between and get no answer. On a connection without a descriptor of its own,
// such as one of TLS, nothing has arrived. Transient errors are retried (package sockerr); it blocks for that
// long at most.
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

// readDescriptor is read(2); tests replace it.
var readDescriptor = unix.Read

// readAvailable is one attempt of ReadAvailable.
func readAvailable(control syscall.RawConn, b []byte, closeWrite bool) (n int, err error) {
	var readErr error
	err = control.Control(func(fd uintptr) {
		n, readErr = readDescriptor(int(fd), b)
		if errors.Is(readErr, unix.EAGAIN) && closeWrite {
			_ = unix.Shutdown(int(fd), unix.SHUT_WR) // it fails only on a connection that has ended
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
