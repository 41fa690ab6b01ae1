package resp

import (
	"io"
	"net"
	"testing"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// gatedListener accepts nothing until the gate is closed as a channel.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (g *gatedListener) Accept() (net.Conn, error) {
	<-g.gate
	return g.TCPListener.Accept()
}

// TestListenerServesItsQueueBeforeItCloses: connections in the accept queue as the listener is closed
// are served, with whole requests and halves; then it closes. The front does not count as free before that.
func TestListenerServesItsQueueBeforeItCloses(t *testing.T) {
	d := newFakeCore()
	f := New(Options{Core: d, Status: fakeStatus{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
	gate := make(chan struct{})
	under := standin.Listen(t).(*net.TCPListener)
	ln := f.Listen(&gatedListener{under, gate}, false)
	go func() { _ = f.Serve(ln) }()
	t.Cleanup(f.Close)
	const peers = 20
	var waiting []*standin.Balancer
	for range peers {
		b := standin.Dial(t, ln.Addr().String())
		b.Send(standin.Array("PING", "1"))
		waiting = append(waiting, b)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if f.OpenConnections() == 0 {
		t.Error("free, with an accept queue that was not looked at")
	}
	close(gate)
	for _, b := range waiting {
		if got := b.Read(); len(got) < 2 || got[1] != "GREEN" {
			t.Fatalf("answer %q", got)
		}
		_ = b.Close()
	}
	waitFor(t, "free", func() bool { return f.OpenConnections() == 0 })
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener is open")
	}
}

// TestSharedListenerClosesAtOnce: the connections in a shared listener's accept queue are left to the other
// process.
func TestSharedListenerClosesAtOnce(t *testing.T) {
	f := New(Options{Core: newFakeCore(), Status: fakeStatus{}, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
	gate := make(chan struct{})
	under := standin.Listen(t).(*net.TCPListener)
	own, err := under.File()
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.FileListener(own) // as another process has it
	_ = own.Close()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	ln := f.Listen(&gatedListener{under, gate}, true)
	go func() { _ = f.Serve(ln) }()
	t.Cleanup(f.Close)
	b := standin.Dial(t, ln.Addr().String())
	b.Send("x")
	_ = ln.Close()
	close(gate)
	waitFor(t, "free", func() bool { return f.OpenConnections() == 0 })
	c, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if n, err := io.ReadFull(c, make([]byte, 1)); n != 1 {
		t.Error(err)
	}
}

// pausedListener pauses for longer than quietPeriod before each look at its queue.
type pausedListener struct{ *net.TCPListener }

func (s pausedListener) Accept() (net.Conn, error) {
	time.Sleep(2 * quietPeriod)
	return s.TCPListener.Accept()
}

// TestListenerClosesOnlyWithEmptyQueue: the process stands still twice while its listener is about to close,
// and connections with requests wait in the accept queue. The listener must not close because a quiet period
// is over by the clock, without a look at the queue: that would reset them.
func TestListenerClosesOnlyWithEmptyQueue(t *testing.T) {
	d := newFakeCore()
	f := New(Options{Core: d, Status: fakeStatus{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
	ln := f.Listen(pausedListener{standin.Listen(t).(*net.TCPListener)}, false)
	go func() { _ = f.Serve(ln) }()
	t.Cleanup(f.Close)
	var waiting []*standin.Balancer
	for range 5 {
		b := standin.Dial(t, ln.Addr().String())
		b.Send(standin.Array("PING", "1"))
		waiting = append(waiting, b)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	for i, b := range waiting {
		if got := b.Read(); len(got) < 2 || got[1] != "GREEN" {
			t.Fatalf("connection %d: %q, want an answer", i, got)
		}
		_ = b.Close()
	}
	waitFor(t, "free", func() bool { return f.OpenConnections() == 0 })
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener is open")
	}
}
