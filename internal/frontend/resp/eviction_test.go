package resp

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestEvictionLosesNoAnswer checks that an evicted connection is closed from this side without losing its answer
// and without reading what the peer sends afterwards, and that the oldest eviction is closed when more than
// EvictedConnections wait for their peers.
func TestEvictionLosesNoAnswer(t *testing.T) {
	f, core, ln := startFront(t, fakeStatus{}, func(l *limits.Limits) {
		l.MaxConnections, l.IdleConnectionGrace, l.NewConnectionGrace, l.EvictedConnections, l.CloseTimeout = 1, 0, 0, 2, time.Hour
	})
	var peers []*standin.Balancer
	for range 4 {
		b := standin.Dial(t, ln.Addr().String())
		b.Send(standin.Array("PING", "1"))
		waitFor(t, "the connection holds a slot and is answered", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			for k := range f.conns {
				if k.socket.RemoteAddr().String() == b.LocalAddr().String() {
					return k.isIdle()
				}
			}
			return false
		})
		peers = append(peers, b)
	}
	waitFor(t, "three are evicted and one of them is closed", func() bool { return f.evictions.len() == 2 })
	b := peers[1]
	b.Do(7, "book", testRequestID, time.Now(), "body", "")
	if got := readToEnd(t, b); got != greenAnswer {
		t.Errorf("read %q, want the answer and the end of the stream", got)
	}
	b.Send(standin.Array("PING", "8")) // fails if the connection was reset
	if len(core.submitted) > 0 {
		t.Error("a request of an evicted connection was submitted")
	}
	waitFor(t, "the first evicted connection is closed", func() bool { _, err := peers[0].Write([]byte("x")); return err != nil })
}

// TestSimultaneousEvictionsRejectArrivedRequests: more connections are evicted at once than may wait for their peers,
// and a request has just arrived on each. Every request must be rejected before its connection is closed.
func TestSimultaneousEvictionsRejectArrivedRequests(t *testing.T) {
	const conns = 6
	for attempt := range 30 {
		f, _, ln := startFront(t, fakeStatus{}, func(l *limits.Limits) { l.EvictedConnections, l.UnadmittedConnections = 1, conns })
		var peers []*standin.Balancer
		for range conns {
			b := standin.Dial(t, ln.Addr().String())
			b.Send(standin.Array("PING", "1"))
			b.Read()
			peers = append(peers, b)
		}
		waitFor(t, "all connections are idle", func() bool { return !slices.ContainsFunc(f.connections(), func(k *conn) bool { return !k.isIdle() }) })
		all := f.connections()
		for _, k := range all {
			k.slot.Release() // as an eviction does
		}
		for _, b := range peers {
			b.Do(7, "book", testRequestID, time.Now(), "body", "")
		}
		for _, k := range all {
			f.evict(k.socket)
		}
		for i, b := range peers {
			if got := b.Read(); len(got) < 2 || got[1] != "NAK" {
				t.Fatalf("attempt %d: %q on connection %d, want a rejection", attempt, got, i)
			}
			_ = b.Close()
		}
		waitFor(t, "at most one evicted connection waits for its peer", func() bool { return f.evictions.len() <= 1 })
	}
}

// TestPipelinedRequestsOfEvictedConnectionAreRejected checks that all requests that have arrived on an evicted connection
// are rejected before it ends, including those that may already be in the reader's buffer.
func TestPipelinedRequestsOfEvictedConnectionAreRejected(t *testing.T) {
	for range 20 {
		f, core, ln := startFront(t, fakeStatus{}, nil)
		peers, conns := idleConnections(t, f, ln.Addr().String(), 1)
		conns[0].slot.Release() // as an eviction does
		var burst strings.Builder
		for _, tag := range []string{"7", "8", "9"} {
			burst.WriteString(standin.Array("DO", tag, "book", validFields, "body"))
		}
		peers[0].Send(burst.String())
		f.evict(conns[0].socket)
		wantRejections(t, peers[0], "7", "8", "9")
		if len(core.submitted) > 0 {
			t.Fatal("a request without a slot was submitted")
		}
		if t.Failed() {
			return
		}
	}
}

// TestEvictionsWaitForUnreadRequests: after a pause of the process, new connections evict others faster than
// those are read, each with an unread request. The evictions must wait rather than close a connection whose
// request is unread.
func TestEvictionsWaitForUnreadRequests(t *testing.T) {
	const conns = 8
	f, _, ln := startFront(t, fakeStatus{}, func(l *limits.Limits) {
		l.EvictedConnections, l.UnadmittedConnections, l.CloseTimeout = 1, 1, time.Hour
	})
	peers, all := idleConnections(t, f, ln.Addr().String(), conns)
	for _, k := range all {
		k.mu.Lock()      // blocks its reader
		k.slot.Release() // as an eviction does
	}
	for _, b := range peers {
		b.Send(standin.Array("DO", "7", "book", validFields, "body"))
	}
	evicted := make(chan struct{})
	go func() {
		defer close(evicted)
		for _, k := range all {
			f.evict(k.socket)
		}
	}()
	time.Sleep(50 * time.Millisecond) // until evict blocks
	for _, k := range all {
		k.mu.Unlock()
	}
	for _, b := range peers {
		wantRejections(t, b, "7")
		_ = b.Close()
	}
	select {
	case <-evicted:
	case <-time.After(standin.WaitTimeout):
		t.Error("evict did not return in time")
	}
}

// TestRequestIsRejectedAfterPauseLongerThanCloseTimeout checks that a request on an evicted connection is still read
// and rejected if the process pauses for longer than CloseTimeout just after the eviction.
func TestRequestIsRejectedAfterPauseLongerThanCloseTimeout(t *testing.T) {
	f, _, ln := startFront(t, fakeStatus{}, func(l *limits.Limits) { l.CloseTimeout = time.Millisecond })
	peers, all := idleConnections(t, f, ln.Addr().String(), 1)
	all[0].mu.Lock() // blocks its reader
	peers[0].Send(standin.Array("DO", "7", "book", validFields, "body"))
	all[0].slot.Release()
	f.evict(all[0].socket)
	time.Sleep(50 * time.Millisecond)
	all[0].mu.Unlock()
	wantRejections(t, peers[0], "7")
}
