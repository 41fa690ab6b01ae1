package resp

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestRequestsOnConnectionsWithoutSlotAreAnswered: all slots are held by active connections, and more new connections with a
// request arrive than may be open without a slot. Every request must be answered: rejected, or failed if an
// attempt with its key has run. A connection that sends nothing is closed, and those with slots are served.
func TestRequestsOnConnectionsWithoutSlotAreAnswered(t *testing.T) {
	f, core, ln := startFront(t, fakeStatus{}, func(l *limits.Limits) { l.MaxConnections, l.UnadmittedConnections = 2, 2 })
	var busy []*standin.Balancer
	for i := range 2 {
		b := standin.Dial(t, ln.Addr().String())
		b.Do(7, "book", fmt.Sprintf("%016x", i), time.Now(), "body", ",opkey=k")
		busy = append(busy, b)
		<-core.submitted
	}
	silent := standin.Dial(t, ln.Addr().String())
	var answers sync.WaitGroup
	for i := range 20 {
		b := standin.Dial(t, ln.Addr().String())
		key, want := "new", "NAK"
		if i%2 == 0 {
			key, want = "ran", "FAIL"
		}
		b.Do(7, "book", fmt.Sprintf("%016x", 100+i), time.Now(), "body", ",opkey="+key)
		answers.Add(1)
		go func() {
			defer answers.Done()
			if got := b.Read(); len(got) < 2 || got[0] != "7" || got[1] != want {
				t.Errorf("connection %d: answer %q, want %s", i, got, want)
			}
			if got := b.Read(); got != nil {
				t.Errorf("connection %d: %q after its answer, want the end of the connection", i, got)
			}
			_ = b.Close()
		}()
	}
	if got := silent.Read(); got != nil {
		t.Errorf("a connection that sent nothing received %q, want its end", got)
	}
	answers.Wait()
	if len(core.submitted) > 0 {
		t.Errorf("%d requests without a slot were submitted", len(core.submitted))
	}
	for i, b := range busy {
		core.answer(fmt.Sprintf("%016x", i), node.Response{Status: node.StatusServed})
		if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
			t.Errorf("answer %q on a connection with a slot, want ACK", got)
		}
	}
	waitFor(t, "no connection is without a slot", func() bool { return len(f.unadmitted) == 0 })
}

// TestWaitForSlotIsBoundedByCallerTimeout: all slots are held by connections that were just used and keep them
// for a long time. Requests on new connections are rejected in time if their callers give a short timeout; one
// whose caller gives none gets the first slot that becomes free.
func TestWaitForSlotIsBoundedByCallerTimeout(t *testing.T) {
	f, core, ln := startFront(t, fakeStatus{}, func(l *limits.Limits) {
		l.MaxConnections, l.UnadmittedConnections, l.IdleConnectionGrace = 2, 2, time.Hour
	})
	var idle []*standin.Balancer
	for range 2 {
		b := standin.Dial(t, ln.Addr().String())
		b.Send(standin.Array("PING", "1") + standin.Array("PING", "2"))
		b.Read()
		b.Read()
		idle = append(idle, b)
	}
	withoutTimeout := standin.Dial(t, ln.Addr().String())
	withoutTimeout.Do(7, "book", testRequestID, time.Now(), "body", "")
	for range 3 {
		b := standin.Dial(t, ln.Addr().String())
		b.Do(7, "book", testRequestID, time.Now(), "body", ",timeout=160")
		if got := b.Read(); len(got) < 2 || got[1] != "NAK" {
			t.Errorf("%q, want a rejection", got)
		}
		_ = b.Close()
	}
	if len(core.submitted) > 0 {
		t.Fatal("a request without a slot was submitted")
	}
	waitFor(t, "only the connection without a timeout waits", func() bool { return len(f.unadmitted) == 1 })
	_ = idle[0].Close()
	select {
	case <-core.submitted:
	case <-time.After(standin.WaitTimeout):
		t.Fatal("the waiting request was not submitted though a slot is free")
	}
	core.answer(testRequestID, node.Response{Status: node.StatusServed})
	if got := withoutTimeout.Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("answer %q, want ACK", got)
	}
	waitFor(t, "no connection is without a slot", func() bool { return len(f.unadmitted) == 0 })
}

// TestPipelinedRequestsWithoutSlotAreAnswered checks that all messages that have arrived on a connection without a slot by
// the time its first request is rejected are answered.
func TestPipelinedRequestsWithoutSlotAreAnswered(t *testing.T) {
	f, core, ln := startFront(t, fakeStatus{}, func(l *limits.Limits) { l.MaxConnections = 1 })
	busy := standin.Dial(t, ln.Addr().String())
	busy.Do(7, "book", testRequestID, time.Now(), "body", "")
	<-core.submitted
	b := standin.Dial(t, ln.Addr().String())
	b.Send(standin.Array("DO", "7", "book", validFields, "body") + standin.Array("PING", "8") + standin.Array("DO", "9", "book", validFields, "body"))
	words := map[string]string{}
	for got := b.Read(); got != nil; got = b.Read() {
		words[got[0]] = got[1]
	}
	if words["7"] != "NAK" || words["8"] != "GREEN" || words["9"] != "NAK" {
		t.Errorf("%v, want both requests rejected and the health check answered", words)
	}
	waitFor(t, "no connection is without a slot", func() bool { return len(f.unadmitted) == 0 })
}

// connWithPause is a connection whose process is paused after each system call that package gracefulclose makes on it.
type connWithPause struct {
	*net.TCPConn
	pause func()
}

func (c *connWithPause) SyscallConn() (syscall.RawConn, error) {
	control, err := c.TCPConn.SyscallConn()
	return rawConnWithPause{control, c.pause}, err
}

type rawConnWithPause struct {
	syscall.RawConn
	pause func()
}

func (c rawConnWithPause) Control(f func(fd uintptr)) error {
	defer c.pause()
	return c.RawConn.Control(f)
}

// pausingListener accepts connections of the type connWithPause.
type pausingListener struct {
	*net.TCPListener
	pause func()
}

func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &connWithPause{c, l.pause}, nil
}

// TestRequestOnSilentConnectionIsAnsweredUntilItEnds guards against a lost request: a new connection without a slot whose first
// message was late was closed some time after its last read, and a request that arrived in between, while the process was paused,
// was reset. In each of the first pauses, the peer sends a request unless it can tell that the connection has ended.
func TestRequestOnSilentConnectionIsAnsweredUntilItEnds(t *testing.T) {
	for sendInPause := 1; sendInPause <= 2; sendInPause++ {
		lim := limits.For(64, 256)
		lim.MaxConnections = 1
		core := newFakeCore()
		f := New(Options{Core: core, Status: fakeStatus{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: lim, Log: standin.DiscardLogger})
		var silent *standin.Balancer
		var answer, want []string
		pauses, connected, hasRead := 0, make(chan struct{}), make(chan struct{})
		pause := func() {
			if pauses++; pauses != sendInPause {
				return
			}
			<-connected
			go func() {
				defer close(hasRead)
				answer = silent.Read()
			}()
			select {
			case <-hasRead: // the end of the connection
			case <-time.After(50 * time.Millisecond):
				want = []string{"7", "NAK"}
				silent.Do(7, "book", "00000000000000aa", time.Now(), "body", "")
			}
		}
		ln := f.Listen(pausingListener{standin.Listen(t).(*net.TCPListener), pause}, false)
		go func() { _ = f.Serve(ln) }()
		busy := standin.Dial(t, ln.Addr().String())
		busy.Do(7, "book", testRequestID, time.Now(), "body", "")
		<-core.submitted
		silent = standin.Dial(t, ln.Addr().String())
		close(connected)
		<-hasRead
		if len(answer) < len(want) || !slices.Equal(answer[:len(want)], want) || want == nil && answer != nil {
			t.Errorf("pause %d: the peer read %q, want %q", sendInPause, answer, want)
		}
		_ = ln.Close()
		f.Close()
	}
}
