package gracefulclose

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sloehitch/internal/testing/standin"
)

// pauseAfterFirst returns a system call that behaves like call, except that its first result is delayed: the process
// is paused as the call returns, and meanwhile arrive makes data arrive.
func pauseAfterFirst[Argument, Result any](call func(Argument) (Result, error), arrive func()) func(Argument) (Result, error) {
	first := true
	return func(a Argument) (Result, error) {
		result, err := call(a)
		if first {
			first = false
			arrive()
			time.Sleep(5 * maxCheckTime)
		}
		return result, err
	}
}

// TestRequestThatArrivesInPauseBeforeCloseIsRead guards against a lost request: the process was stopped between the last
// read of an evicted connection and its shutdown, and what arrived meanwhile stayed unread (soak seed 1030).
func TestRequestThatArrivesInPauseBeforeCloseIsRead(t *testing.T) {
	ours, peer := connect(t)
	send := func() {
		if _, err := io.WriteString(peer, "request"); err != nil {
			t.Error(err)
		}
	}
	b := make([]byte, 64)
	read := pauseAfterFirst(func(fd int) (int, error) { return unix.Read(fd, b) }, send)
	readDescriptor = func(fd int, _ []byte) (int, error) { return read(fd) }
	defer func() { readDescriptor = unix.Read }()
	if n, err := ReadAvailable(ours, b, true); err != nil || string(b[:n]) != "request" {
		t.Fatalf("read %q, %v, want the request", b[:max(0, n)], err)
	}
	if _, err := io.WriteString(ours, "answer"); err != nil {
		t.Errorf("the answer can't be sent: %v", err)
	}
}

// TestConnectionThatArrivesInPauseBeforeCloseIsAccepted guards against a reset connection: the process was stopped between
// the last look at the accept queue of a closing listener and its shutdown.
func TestConnectionThatArrivesInPauseBeforeCloseIsAccepted(t *testing.T) {
	ln := standin.Listen(t)
	connect := func() {
		peer, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = peer.Close() })
	}
	poll := pauseAfterFirst(func(state []unix.PollFd) (int, error) { return unix.Poll(state, 0) }, connect)
	pollDescriptors = func(state []unix.PollFd, _ int) (int, error) { return poll(state) }
	defer func() { pollDescriptors = unix.Poll }()
	if !HasPendingConnections(ln, true) {
		t.Fatal("the listener was shut down with a connection in its accept queue")
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
}

// TestChecksAreBounded checks that a machine that is too busy for a prompt check does not keep a connection open.
func TestChecksAreBounded(t *testing.T) {
	checks := 0
	promptly(func() (empty bool) {
		checks++
		time.Sleep(2 * maxCheckTime)
		return true
	})
	if checks != maxChecks {
		t.Errorf("%d checks, want %d", checks, maxChecks)
	}
}
