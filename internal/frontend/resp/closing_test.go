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

// TestRequestDuringCloseOfIdleConnectionIsNotRead checks that a request that arrives while its idle connection is being
// closed is left unread, and that earlier answers which the peer has not read yet are not lost to a reset.
func TestRequestDuringCloseOfIdleConnectionIsNotRead(t *testing.T) {
	f, core, ln := startFront(t, expiredIdleStatus{}, func(l *limits.Limits) { l.PeerCloseTimeout, l.CloseTimeout = 0, time.Hour })
	b := standin.Dial(t, ln.Addr().String())
	b.Send(standin.Array("PING", "1"))
	waitFor(t, "the health check is answered", func() bool { k := f.onlyConn(); return k != nil && k.isIdle() })
	f.CloseIdle() // asks the peer to close the connection
	waitFor(t, "the peer was asked to close the connection", func() bool { return f.onlyConn().isIdle() })
	f.CloseIdle() // closes it from this side
	waitFor(t, "reading has ended", func() bool { k := f.onlyConn(); k.mu.Lock(); defer k.mu.Unlock(); return k.readEnded })
	b.Do(7, "book", testRequestID, time.Now(), "body", "") // a complete request, which must stay unread
	b.Send(partialRequest)                                 // the first half of another
	if got := readToEnd(t, b); got != greenAnswer+closeMessage {
		t.Errorf("read %q, want the answer, FIN and the end of the stream", got)
	}
	b.Send(standin.Array("PING", "8")) // fails if the connection was reset
	_ = b.Close()
	waitFor(t, "the connection is closed", func() bool { return f.OpenConnections() == 0 })
	if len(core.submitted) > 0 || len(core.canceled) > 0 {
		t.Errorf("%d requests were submitted, %v canceled; want none", len(core.submitted), core.canceled)
	}
}

// TestEveryRequestReadIsAnswered: requests arrive on a new and an idle connection while this side closes both.
// Every request that is read must be answered before the connection ends; the callers of the others see only
// the end.
func TestEveryRequestReadIsAnswered(t *testing.T) {
	for attempt := range 200 {
		f, core, ln := startFront(t, fakeStatus{}, nil)
		fresh, idleConn := standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String())
		idleConn.Send(standin.Array("PING", "1"))
		idleConn.Read()
		waitFor(t, "both connections are open", func() bool { return f.OpenConnections() == 2 })
		go func() {
			for id := range core.submitted {
				core.answer(id, node.Response{Status: node.StatusServed, Result: []byte(id)})
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
		core.mu.Lock()
		read := len(core.replies)
		core.mu.Unlock()
		if answers != read {
			t.Fatalf("attempt %d: %d requests were read, %d answered", attempt, read, answers)
		}
		close(core.submitted)
	}
}

// TestMalformedInputLosesNoAnswer checks that messages received before malformed input are answered and that
// the answers arrive, however much data follows.
func TestMalformedInputLosesNoAnswer(t *testing.T) {
	f, core, ln := startFront(t, fakeStatus{}, nil)
	b := standin.Dial(t, ln.Addr().String())
	b.Send(standin.Array("PING", "1"))
	b.Do(7, "book", testRequestID, time.Now(), "body", "")
	<-core.submitted
	b.Send("nonsense")
	waitFor(t, "reading has ended", func() bool { k := f.onlyConn(); k.mu.Lock(); defer k.mu.Unlock(); return k.readEnded })
	b.Send(strings.Repeat("more of it\r\n", 4000))
	if got := readToEnd(t, b); got != greenAnswer+"*2\r\n$1\r\n7\r\n$3\r\nNAK\r\n" {
		t.Errorf("read %q, want GREEN and a rejection", got)
	}
	_ = b.Close()
	waitFor(t, "the connection is closed", func() bool { return f.OpenConnections() == 0 })
}

// TestShutdownDeliversAllAnswers checks that all answers arrive and the connections end without a reset: an idle one,
// one with a partial message, one with a late answer and one without any message. Shutdown returns when all have
// ended, or after its timeout.
func TestShutdownDeliversAllAnswers(t *testing.T) {
	f, core, ln := startFront(t, fakeStatus{}, nil)
	idleConn, partial, late, silent := standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String())
	idleConn.Send(standin.Array("PING", "1"))
	partial.Send(standin.Array("PING", "1") + partialRequest)
	late.Do(7, "book", testRequestID, time.Now(), "body", "")
	<-core.submitted
	waitFor(t, "four connections are open", func() bool { return f.OpenConnections() == 4 })
	waitFor(t, "both health checks are answered", func() bool {
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
	core.answer(testRequestID, node.Response{Status: node.StatusServed, Result: bytes.Repeat([]byte("r"), 4096)})
	f.Shutdown(0) // no peer has closed its side yet
	if f.OpenConnections() == 0 {
		t.Error("no connection is open before the peers have closed them")
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
	partial.Send("$9\r\nreq=")                                         // too late as well
	for b, want := range map[*standin.Balancer]string{idleConn: greenAnswer, partial: greenAnswer, silent: "", late: "*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$0\r\n\r\n$4096\r\n" + strings.Repeat("r", 4096) + "\r\n"} {
		if got := readToEnd(t, b); got != want {
			t.Errorf("read %.60q, want %.60q", got, want)
		}
		_ = b.Close()
	}
	<-ended
	if f.OpenConnections() != 0 || len(core.submitted) > 0 {
		t.Errorf("%d connections are open, %d requests were submitted", f.OpenConnections(), len(core.submitted))
	}
}

// TestRequestOnClosingConnectionIsAnswered checks that a request that arrives on a closing connection is read and answered
// while the answer to an earlier request is still due.
func TestRequestOnClosingConnectionIsAnswered(t *testing.T) {
	f, core, ln := startFront(t, fakeStatus{}, nil)
	b := standin.Dial(t, ln.Addr().String())
	b.Do(7, "book", "9b1f03aa5c7e2d41", time.Now(), "body", "")
	<-core.submitted
	go f.Shutdown(standin.WaitTimeout)
	time.Sleep(50 * time.Millisecond)
	b.Do(8, "book", "9b1f03aa5c7e2d42", time.Now(), "body", "")
	select {
	case <-core.submitted:
	case <-time.After(standin.WaitTimeout):
		t.Fatal("the second request was not read in time")
	}
	for _, id := range []string{"9b1f03aa5c7e2d42", "9b1f03aa5c7e2d41"} {
		core.answer(id, node.Response{Status: node.StatusRejected})
	}
	for _, tag := range []string{"8", "7"} {
		if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "NAK" {
			t.Errorf("%q, want the rejection of %s", got, tag)
		}
	}
	if got := b.Read(); got != nil {
		t.Errorf("%q, want the end of the connection", got)
	}
}
