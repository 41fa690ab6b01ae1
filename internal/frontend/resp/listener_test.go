package resp

import (
	"io"
	"net"
	"testing"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// gatedListener accepts no connection until the gate channel is closed.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// TestListenerServesAcceptQueueBeforeClosing checks that connections in the accept queue are served before a
// listener closes, and that the front end reports open connections until then.
func TestListenerServesAcceptQueueBeforeClosing(t *testing.T) {
	core := newFakeCore()
	f := New(Options{Core: core, Status: fakeStatus{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
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
		t.Error("no open connections were reported before the accept queue was checked")
	}
	close(gate)
	for _, b := range waiting {
		if got := b.Read(); len(got) < 2 || got[1] != "GREEN" {
			t.Fatalf("answer %q, want GREEN", got)
		}
		_ = b.Close()
	}
	waitFor(t, "no connection is open", func() bool { return f.OpenConnections() == 0 })
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener still accepts connections")
	}
}

// TestSharedListenerClosesAtOnce checks that connections in a shared listener's accept queue are left to the
// other process.
func TestSharedListenerClosesAtOnce(t *testing.T) {
	f := New(Options{Core: newFakeCore(), Status: fakeStatus{}, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
	gate := make(chan struct{})
	under := standin.Listen(t).(*net.TCPListener)
	own, err := under.File()
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.FileListener(own) // acts as the listener of another process
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
	waitFor(t, "no connection is open", func() bool { return f.OpenConnections() == 0 })
	c, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if n, err := io.ReadFull(c, make([]byte, 1)); n != 1 {
		t.Error(err)
	}
}

// pausedListener pauses for longer than quietPeriod before each accept.
type pausedListener struct{ *net.TCPListener }

func (l pausedListener) Accept() (net.Conn, error) {
	time.Sleep(2 * quietPeriod)
	return l.TCPListener.Accept()
}

// TestListenerClosesOnlyWithEmptyQueue: the process is paused before each accept while its listener is closing
// and connections with requests wait in the accept queue. If the listener closed only because the quiet period
// is over, without checking the queue, those connections would be reset.
func TestListenerClosesOnlyWithEmptyQueue(t *testing.T) {
	core := newFakeCore()
	f := New(Options{Core: core, Status: fakeStatus{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
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
			t.Fatalf("connection %d: answer %q, want GREEN", i, got)
		}
		_ = b.Close()
	}
	waitFor(t, "no connection is open", func() bool { return f.OpenConnections() == 0 })
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener still accepts connections")
	}
}
