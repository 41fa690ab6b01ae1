package gracefulclose

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sloehitch/internal/testing/standin"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (ours, peer net.Conn) {
	t.Helper()
	ln := standin.Listen(t)
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	if ours, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ours.Close() })
	return ours, peer
}

// TestReadAvailableRetriesTransientErrors: the system runs out of buffers during the last read of a connection
// that is being closed. If the error were taken for the end of the connection, a request would stay unread.
func TestReadAvailableRetriesTransientErrors(t *testing.T) {
	ours, peer := connect(t)
	if _, err := io.WriteString(peer, "request"); err != nil {
		t.Fatal(err)
	}
	failures := []error{unix.ENOBUFS, unix.ENOMEM, unix.EINTR, unix.EINTR}
	readDescriptor = func(fd int, b []byte) (int, error) {
		if len(failures) > 0 {
			err := failures[0]
			failures = failures[1:]
			return -1, err
		}
		return unix.Read(fd, b)
	}
	defer func() { readDescriptor = unix.Read }()
	b := make([]byte, 64)
	n, err := ReadAvailable(ours, b, false)
	for end := time.Now().Add(standin.WaitTimeout); errors.Is(err, ErrNoData) && time.Now().Before(end); {
		n, err = ReadAvailable(ours, b, false)
	}
	if err != nil || string(b[:n]) != "request" {
		t.Errorf("read %q, %v, want the request", b[:max(0, n)], err)
	}
}

// TestReadAvailableClosesWrite checks that the sending side is shut down if nothing has arrived and closeWrite
// is set, and only then, and that the end of the stream is reported.
func TestReadAvailableClosesWrite(t *testing.T) {
	ours, peer := connect(t)
	b := make([]byte, 64)
	if n, err := ReadAvailable(ours, b, false); n != 0 || !errors.Is(err, ErrNoData) {
		t.Errorf("read %d bytes, %v, before anything was sent; want 0 and ErrNoData", n, err)
	}
	if _, err := io.WriteString(ours, "answer"); err != nil {
		t.Errorf("write failed though closeWrite was not set: %v", err)
	}
	if _, err := ReadAvailable(ours, b, true); !errors.Is(err, ErrNoData) {
		t.Error(err)
	}
	if got, err := io.ReadAll(peer); err != nil || string(got) != "answer" {
		t.Errorf("the peer read %q, %v, want the answer and the end of the stream", got, err)
	}
	_ = peer.Close()
	_, err := ReadAvailable(ours, b, true)
	for end := time.Now().Add(standin.WaitTimeout); errors.Is(err, ErrNoData) && time.Now().Before(end); {
		_, err = ReadAvailable(ours, b, true)
	}
	if !errors.Is(err, io.EOF) {
		t.Errorf("after the peer closed: %v, want io.EOF", err)
	}
	one, other := net.Pipe()
	defer func() { _ = one.Close() }()
	defer func() { _ = other.Close() }()
	if _, err := ReadAvailable(one, b, true); !errors.Is(err, ErrNoData) {
		t.Errorf("on a connection without a file descriptor: %v, want ErrNoData", err)
	}
}
