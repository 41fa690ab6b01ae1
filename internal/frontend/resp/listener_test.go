package resp

import (
	"net"
	"testing"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// slowListener has no turn for longer than lastLook before each look at its queue.
type slowListener struct{ *net.TCPListener }

func (s slowListener) Accept() (net.Conn, error) {
	time.Sleep(2 * quietPeriod)
	return s.TCPListener.Accept()
}

// TestTheListenerClosesOnlyWithAnEmptyQueue: the process stands still twice while its listener is about to close, and connections with requests
// wait in the queue. The listener closed once its last look was over by the clock, though it had not looked, and reset them: 75 requests of
// seed 1022 of the soak with nothing but pauses, whose connections ended 1.5 ms after the process went on, none of them in its log.
func TestTheListenerClosesOnlyWithAnEmptyQueue(t *testing.T) {
	d := newDesk()
	f := New(Options{Core: d, Status: mood{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: limits.For(64, 256), Log: standin.Quiet})
	ln := f.Listen(slowListener{standin.Listen(t).(*net.TCPListener)}, false)
	go f.Serve(ln)
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
		b.Close()
	}
	until(t, "free", func() bool { return f.OpenConnections() == 0 })
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open")
	}
}
