package resp

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestDataThatArrivedBeforeStopIsRead checks that data that has arrived by the deadline or by stopReading is read, and that
// nothing is read afterwards.
func TestDataThatArrivedBeforeStopIsRead(t *testing.T) {
	ln := standin.Listen(t)
	b := standin.Dial(t, ln.Addr().String())
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	lim := limits.For(64, 256)
	fc := &framedConn{Conn: c, validator: newFrameValidator(&lim), messageTimeout: time.Hour, timeoutFrom: time.Now(), finalBytes: lim.FrameBytes}
	b.Do(7, "book", testRequestID, time.Now(), "body", "")
	control, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request has arrived", func() (arrived bool) {
		err := control.Control(func(fd uintptr) {
			state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, err := unix.Poll(state, 0)
			arrived = err == nil && n == 1
		})
		return err == nil && arrived
	})
	buf := make([]byte, 4096)
	fc.timeoutFrom = time.Now().Add(-2 * fc.messageTimeout) // as if the process had been stopped since before the request arrived
	if n, err := fc.Read(buf[:10]); err != nil || !strings.HasPrefix(string(buf[:n]), "*5") {
		t.Errorf("read %q, %v past the deadline, want the data that has arrived", buf[:n], err)
	}
	fc.stopReading()
	fc.stopReading()
	if n, err := fc.Read(buf); err != nil || !strings.Contains(string(buf[:n]), "body") {
		t.Errorf("read %q, %v after stopReading, want the rest of the request", buf[:n], err)
	}
	if n, err := fc.Read(buf); n != 0 || !errors.Is(err, errReadingStopped) {
		t.Errorf("read %d bytes, %v, want errReadingStopped", n, err)
	}
	late := &framedConn{Conn: c, validator: newFrameValidator(&lim), messageTimeout: time.Hour, timeoutFrom: time.Now().Add(-2 * time.Hour), finalBytes: lim.FrameBytes}
	if n, err := late.Read(buf); n != 0 || !errors.Is(err, errMessageTimeout) {
		t.Errorf("read %d bytes, %v when nothing has arrived by the deadline, want errMessageTimeout", n, err)
	}
	_ = b.Close()
	fc.finalBytes = 1
	waitFor(t, "the end of the stream is read", func() bool { _, err := fc.Read(buf); return errors.Is(err, io.EOF) })
}

// flakyConn is a connection whose reads and writes transfer one byte in every third call and fail with a
// transient error in the others.
type flakyConn struct {
	net.Conn
	in, out []byte
	calls   int
}

func (c *flakyConn) SetReadDeadline(time.Time) error { return nil }

func (c *flakyConn) SetWriteDeadline(time.Time) error { return nil }

// nextError returns nil for every third call and a transient error for the others.
func (c *flakyConn) nextError() error {
	if c.calls++; c.calls%3 == 0 {
		return nil
	}
	return &net.OpError{Op: "read", Err: os.NewSyscallError("read", []syscall.Errno{syscall.ENOBUFS, syscall.EINTR, syscall.ENOMEM}[c.calls%2])}
}

func (c *flakyConn) Read(b []byte) (int, error) {
	if err := c.nextError(); err != nil {
		return 0, err
	}
	if len(c.in) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.in[:1])
	c.in = c.in[n:]
	return n, nil
}

func (c *flakyConn) Write(b []byte) (int, error) {
	if err := c.nextError(); err != nil {
		return 0, err
	}
	c.out = append(c.out, b[0])
	return 1, nil
}

// TestTransientErrorsDoNotEndConnection checks that transient errors do not end a connection: everything is read and written.
func TestTransientErrorsDoNotEndConnection(t *testing.T) {
	lim := limits.For(64, 256)
	text := standin.Array("PING", "1")
	s := &flakyConn{in: []byte(text)}
	fc := &framedConn{Conn: s, validator: newFrameValidator(&lim), messageTimeout: time.Hour, timeoutFrom: time.Now()}
	if got, err := io.ReadAll(fc); err != nil || string(got) != text {
		t.Errorf("read %q, %v, want the whole health check", got, err)
	}
	k := &conn{front: New(Options{Limits: lim, Log: standin.DiscardLogger}), socket: fc}
	if err := k.writeAll([]byte("an answer")); err != nil || string(s.out) != "an answer" {
		t.Errorf("wrote %q, %v", s.out, err)
	}
}
