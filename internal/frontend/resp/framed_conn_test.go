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

// TestArrivedDataIsRead: what has arrived as a connection is closed is read, and what comes later is not.
func TestArrivedDataIsRead(t *testing.T) {
	ln := standin.Listen(t)
	b := standin.Dial(t, ln.Addr().String())
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	lim := limits.For(64, 256)
	g := &framedConn{Conn: c, validator: newFrameValidator(&lim), messageTimeout: time.Hour, timeoutFrom: time.Now(), finalBytes: lim.FrameBytes}
	b.Do(7, "book", testRequestID, time.Now(), "body", "")
	control, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request has arrived", func() (there bool) {
		err := control.Control(func(fd uintptr) {
			state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, err := unix.Poll(state, 0)
			there = err == nil && n == 1
		})
		return err == nil && there
	})
	buf := make([]byte, 4096)
	g.timeoutFrom = time.Now().Add(-2 * g.messageTimeout) // as if the process had been stopped since before the request came
	if n, err := g.Read(buf[:10]); err != nil || !strings.HasPrefix(string(buf[:n]), "*5") {
		t.Errorf("%q, %v past the deadline, want what has arrived", buf[:n], err)
	}
	g.stopReading()
	g.stopReading()
	if n, err := g.Read(buf); err != nil || !strings.Contains(string(buf[:n]), "body") {
		t.Errorf("%q, %v, want the rest of the request", buf[:n], err)
	}
	if n, err := g.Read(buf); n != 0 || !errors.Is(err, errReadingStopped) {
		t.Errorf("%d bytes, %v, want the end of reading", n, err)
	}
	late := &framedConn{Conn: c, validator: newFrameValidator(&lim), messageTimeout: time.Hour, timeoutFrom: time.Now().Add(-2 * time.Hour), finalBytes: lim.FrameBytes}
	if n, err := late.Read(buf); n != 0 || !errors.Is(err, errMessageTimeout) {
		t.Errorf("%d bytes, %v where nothing has come by the deadline", n, err)
	}
	_ = b.Close()
	g.finalBytes = 1
	waitFor(t, "the end of the stream is read", func() bool { _, err := g.Read(buf); return errors.Is(err, io.EOF) })
}

// flakyConn is a connection whose reads and writes fail with transient errors now and then, or do a single
// byte.
type flakyConn struct {
	net.Conn
	in, out []byte
	calls   int
}

func (s *flakyConn) SetReadDeadline(time.Time) error { return nil }

func (s *flakyConn) SetWriteDeadline(time.Time) error { return nil }

// nextError returns an error for every call but each third.
func (s *flakyConn) nextError() error {
	if s.calls++; s.calls%3 == 0 {
		return nil
	}
	return &net.OpError{Op: "read", Err: os.NewSyscallError("read", []syscall.Errno{syscall.ENOBUFS, syscall.EINTR, syscall.ENOMEM}[s.calls%2])}
}

func (s *flakyConn) Read(b []byte) (int, error) {
	if err := s.nextError(); err != nil {
		return 0, err
	}
	if len(s.in) == 0 {
		return 0, io.EOF
	}
	n := copy(b, s.in[:1])
	s.in = s.in[n:]
	return n, nil
}

func (s *flakyConn) Write(b []byte) (int, error) {
	if err := s.nextError(); err != nil {
		return 0, err
	}
	s.out = append(s.out, b[0])
	return 1, nil
}

// TestTransientErrors: transient errors end no connection: all is read, and all is written.
func TestTransientErrors(t *testing.T) {
	lim := limits.For(64, 256)
	text := standin.Array("PING", "1")
	s := &flakyConn{in: []byte(text)}
	g := &framedConn{Conn: s, validator: newFrameValidator(&lim), messageTimeout: time.Hour, timeoutFrom: time.Now()}
	if got, err := io.ReadAll(g); err != nil || string(got) != text {
		t.Errorf("read %q, %v", got, err)
	}
	k := &conn{front: New(Options{Limits: lim, Log: standin.DiscardLogger}), socket: g}
	if err := k.writeAll([]byte("an answer")); err != nil || string(s.out) != "an answer" {
		t.Errorf("wrote %q, %v", s.out, err)
	}
}
