package resp

import (
	"fmt"
	"sync"
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
