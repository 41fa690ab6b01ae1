package sockerr

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestIsTransient(t *testing.T) {
	wrapped := func(errno syscall.Errno) error {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	}
	for _, c := range []struct {
		err                        error
		transient, transientListen bool
	}{
		{wrapped(syscall.EINTR), true, true},
		{wrapped(syscall.ENOBUFS), true, true},
		{wrapped(syscall.ENFILE), true, true},
		{wrapped(syscall.EADDRINUSE), false, true},
		{wrapped(syscall.EADDRNOTAVAIL), false, true},
		{wrapped(syscall.ECONNRESET), false, false},
		{wrapped(syscall.ETIMEDOUT), false, false},
		{wrapped(syscall.EHOSTUNREACH), false, false},
		{wrapped(syscall.EACCES), false, false},
		{os.ErrDeadlineExceeded, false, false},
		{io.EOF, false, false},
		{errors.New("another"), false, false},
		{nil, false, false},
	} {
		if shortage := errors.Is(c.err, syscall.ENOBUFS) || errors.Is(c.err, syscall.ENFILE); IsResourceShortage(c.err) != shortage {
			t.Errorf("%v: resource shortage %v, want %v", c.err, !shortage, shortage)
		}
		if IsTransient(c.err) != c.transient || IsTransientListen(c.err) != c.transientListen {
			t.Errorf("%v: %v, %v; want %v, %v", c.err, IsTransient(c.err), IsTransientListen(c.err), c.transient, c.transientListen)
		}
	}
}
