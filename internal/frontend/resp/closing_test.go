package resp

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestRequestCrossesCloseOfIdleConnection: a request that crosses the close of an idle connection is left
// unread, and the close does not reset what was answered before, though that is still unread.
func TestRequestCrossesCloseOfIdleConnection(t *testing.T) {
	f, d, ln := startFront(t, statusWithoutIdleTime{}, func(l *limits.Limits) { l.PeerCloseTimeout, l.CloseTimeout = 0, time.Hour })
	b := standin.Dial(t, ln.Addr().String())
	b.Send(standin.Array("PING", "1"))
	waitFor(t, "answered", func() bool { k := f.onlyConn(); return k != nil && k.isIdle() })
	f.CloseIdle() // asks
	waitFor(t, "asked", func() bool { return f.onlyConn().isIdle() })
	f.CloseIdle() // ends it from this side
	waitFor(t, "reading has ended", func() bool { k := f.onlyConn(); k.mu.Lock(); defer k.mu.Unlock(); return k.readEnded })
	b.Do(7, "book", testRequestID, time.Now(), "body", "") // it arrives whole, and stays unread until the peer has ended too
	b.Send(partialRequest)                                 // and the first half of another
	if got := readToEnd(t, b); got != greenAnswer+closeMessage {
		t.Errorf("%q, want the answer, FIN and the end", got)
	}
	b.Send(standin.Array("PING", "8")) // a reset would have come by now
	_ = b.Close()
	waitFor(t, "closed", func() bool { return f.OpenConnections() == 0 })
	if len(d.submitted) > 0 || len(d.canceled) > 0 {
		t.Errorf("%d requests were submitted, %v canceled", len(d.submitted), d.canceled)
	}
}

// TestEveryRequestReadIsAnswered: requests arrive just as their connection is closed from this side, a new
// one or an idle one. Each request that is read is answered before the end; the callers of the others see the
// end alone.
func TestEveryRequestReadIsAnswered(t *testing.T) {
	for attempt := range 200 {
		f, d, ln := startFront(t, fakeStatus{}, nil)
		fresh, idleConn := standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String())
		idleConn.Send(standin.Array("PING", "1"))
		idleConn.Read()
		waitFor(t, "both are there", func() bool { return f.OpenConnections() == 2 })
		go func() {
			for id := range d.submitted {
				d.answer(id, node.Response{Status: node.StatusServed, Result: []byte(id)})
			}
		}()
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			time.Sleep(time.Duration(attempt) * time.Microsecond)
			f.Shutdown(standin.WaitTimeout)
		}()
		fresh.Do(7, "book", "9b1f03aa5c7e2d41", time.Now(), "body", "")
		idleConn.Do(7, "book", "9b1f03aa5c7e2d42", time.Now(), "body", "")
		answers := 0
		for _, b := range []*standin.Balancer{fresh, idleConn} {
			for got := b.Read(); got != nil; got = b.Read() {
				answers++
			}
			_ = b.Close()
		}
		<-finished
		d.mu.Lock()
		read := len(d.replies)
		d.mu.Unlock()
		if answers != read {
			t.Fatalf("attempt %d: %d requests were read, %d answered", attempt, read, answers)
		}
		close(d.submitted)
	}
}

// TestMalformedInputLosesNoAnswer: what came before it is answered, and all answers arrive, however much
// follows.
func TestMalformedInputLosesNoAnswer(t *testing.T) {
	f, d, ln := startFront(t, fakeStatus{}, nil)
	b := standin.Dial(t, ln.Addr().String())
	b.Send(standin.Array("PING", "1"))
	b.Do(7, "book", testRequestID, time.Now(), "body", "")
	<-d.submitted
	b.Send("nonsense")
	waitFor(t, "reading has ended", func() bool { k := f.onlyConn(); k.mu.Lock(); defer k.mu.Unlock(); return k.readEnded })
	b.Send(strings.Repeat("more of it\r\n", 4000))
	if got := readToEnd(t, b); got != greenAnswer+"*2\r\n$1\r\n7\r\n$3\r\nNAK\r\n" {
		t.Errorf("%q", got)
	}
	_ = b.Close()
	waitFor(t, "closed", func() bool { return f.OpenConnections() == 0 })
}

// TestShutdown: all answers arrive, and the end after them without a reset, on an idle connection, one with
// half a message, one with a late answer and one without any message. Shutdown returns when all have ended,
// or after its timeout.
func TestShutdown(t *testing.T) {
	f, d, ln := startFront(t, fakeStatus{}, nil)
	idleConn, half, late, silent := standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String())
	idleConn.Send(standin.Array("PING", "1"))
	half.Send(standin.Array("PING", "1") + partialRequest)
	late.Do(7, "book", testRequestID, time.Now(), "body", "")
	<-d.submitted
	waitFor(t, "all are there", func() bool { return f.OpenConnections() == 4 })
	waitFor(t, "answered", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		n := 0
		for k := range f.conns {
			if k.isIdle() {
				n++
			}
		}
		return n == 2
	})
	d.answer(testRequestID, node.Response{Status: node.StatusServed, Result: bytes.Repeat([]byte("r"), 4096)})
	f.Shutdown(0) // no peer has ended yet
	if f.OpenConnections() == 0 {
		t.Error("all connections have ended")
	}
	waitFor(t, "reading has ended", func() bool {
		return !slices.ContainsFunc(f.connections(), func(k *conn) bool { k.mu.Lock(); defer k.mu.Unlock(); return !k.readEnded })
	})
	ended := make(chan struct{})
	go func() {
		f.Shutdown(standin.WaitTimeout)
		close(ended)
	}()
	idleConn.Do(8, "book", "9b1f03aa5c7e2d42", time.Now(), "body", "") // too late to be read
	half.Send("$9\r\nreq=")                                            // nor is this
	for b, want := range map[*standin.Balancer]string{idleConn: greenAnswer, half: greenAnswer, silent: "", late: "*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$0\r\n\r\n$4096\r\n" + strings.Repeat("r", 4096) + "\r\n"} {
		if got := readToEnd(t, b); got != want {
			t.Errorf("%.60q, want %.60q", got, want)
		}
		_ = b.Close()
	}
	<-ended
	if f.OpenConnections() != 0 || len(d.submitted) > 0 {
		t.Errorf("%d connections are open, %d requests were submitted", f.OpenConnections(), len(d.submitted))
	}
}

// TestRequestsAreReadUntilClose: a connection that is to end waits for the answer to one request, and another
// arrives meanwhile, which is read and answered too.
func TestRequestsAreReadUntilClose(t *testing.T) {
	f, d, ln := startFront(t, fakeStatus{}, nil)
	b := standin.Dial(t, ln.Addr().String())
	b.Do(7, "book", "9b1f03aa5c7e2d41", time.Now(), "body", "")
	<-d.submitted
	go f.Shutdown(standin.WaitTimeout)
	time.Sleep(50 * time.Millisecond)
	b.Do(8, "book", "9b1f03aa5c7e2d42", time.Now(), "body", "")
	select {
	case <-d.submitted:
	case <-time.After(standin.WaitTimeout):
		t.Fatal("the second request is not read")
	}
	for _, id := range []string{"9b1f03aa5c7e2d42", "9b1f03aa5c7e2d41"} {
		d.answer(id, node.Response{Status: node.StatusRejected})
	}
	for _, tag := range []string{"8", "7"} {
		if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "NAK" {
			t.Errorf("%q, want the rejection of %s", got, tag)
		}
	}
	if got := b.Read(); got != nil {
		t.Errorf("%q, want the end", got)
	}
}
