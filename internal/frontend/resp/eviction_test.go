package resp

import (
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// idleConnections has so many balancers connect to a front, each idle after two health checks, in the order in which they came.
func idleConnections(t *testing.T, f *Front, address string, count int) (peers []*standin.Balancer, conns []*conn) {
	t.Helper()
	for range count {
		b := standin.Dial(t, address)
		b.Send(standin.Array("PING", "1") + standin.Array("PING", "2"))
		b.Read()
		b.Read()
		peers = append(peers, b)
		until(t, "it is idle", func() bool {
			for _, k := range f.connections() {
				if k.socket.RemoteAddr().String() == b.LocalAddr().String() && k.isIdle() {
					conns = append(conns, k)
					return true
				}
			}
			return false
		})
	}
	return peers, conns
}

// wantRefusals reads answers from a balancer until its connection ends: one refusal for each tag.
func wantRefusals(t *testing.T, b *standin.Balancer, tags ...string) {
	t.Helper()
	open := map[string]bool{}
	for _, tag := range tags {
		open[tag] = true
	}
	for got := b.Read(); got != nil; got = b.Read() {
		if len(got) < 2 || !open[got[0]] || got[1] != "NAK" {
			t.Errorf("%q, want one refusal for each of %v", got, tags)
			return
		}
		delete(open, got[0])
	}
	if len(open) > 0 {
		t.Errorf("the connection ended and %d of %d requests have no answer", len(open), len(tags))
	}
}

// TestAllRequestsOfAConnectionThatMakesRoomAreAnswered: while the process stands still a client writes several requests on one connection,
// and newcomers wait for a place. As the process goes on the connection makes room. Its first request was refused and the reading ended, with
// the others read into the buffer behind it; their connection closed without an answer to them.
func TestAllRequestsOfAConnectionThatMakesRoomAreAnswered(t *testing.T) {
	for range 20 {
		f, d, ln := opened(t, mood{}, nil)
		peers, conns := idleConnections(t, f, ln.Addr().String(), 1)
		conns[0].slot.Release() // whichever is read first, the requests or the end: the place is gone
		var burst strings.Builder
		for _, tag := range []string{"7", "8", "9"} {
			burst.WriteString(standin.Array("DO", tag, "book", fine, "body"))
		}
		peers[0].Send(burst.String())
		f.evict(conns[0].socket)
		wantRefusals(t, peers[0], "7", "8", "9")
		if len(d.came) > 0 {
			t.Fatal("a request without a place was taken")
		}
		if t.Failed() {
			return
		}
	}
}

// TestAllRequestsOfANewcomerWithoutAPlaceAreAnswered: the same where there is no place from the start. What was written on the connection by the
// time that the first request is refused is answered as well.
func TestAllRequestsOfANewcomerWithoutAPlaceAreAnswered(t *testing.T) {
	f, d, ln := opened(t, mood{}, func(l *limits.Limits) { l.MaxConnections = 1 })
	busy := standin.Dial(t, ln.Addr().String())
	busy.Do(7, "book", req, time.Now(), "body", "")
	<-d.came
	newcomer := standin.Dial(t, ln.Addr().String())
	newcomer.Send(standin.Array("DO", "7", "book", fine, "body") + standin.Array("PING", "8") + standin.Array("DO", "9", "book", fine, "body"))
	words := map[string]string{}
	for got := newcomer.Read(); got != nil; got = newcomer.Read() {
		words[got[0]] = got[1]
	}
	if words["7"] != "NAK" || words["8"] != "GREEN" || words["9"] != "NAK" {
		t.Errorf("%v, want both requests refused and the health check answered", words)
	}
	until(t, "nobody is without a place", func() bool { return len(f.unadmitted) == 0 })
}

// TestACrowdMakesRoomBeforeItsRequestsAreRead: as the process goes on after a pause, newcomers take the places of many connections faster than
// those are read. More were without a place than limits.Evicted and limits.Unseated allow, and the oldest was cut with a request unread
// on it. The newcomers have to wait instead.
func TestACrowdMakesRoomBeforeItsRequestsAreRead(t *testing.T) {
	const conns = 8
	f, _, ln := opened(t, mood{}, func(l *limits.Limits) {
		l.EvictedConnections, l.UnadmittedConnections, l.CloseTimeout = 1, 1, time.Hour
	})
	peers, all := idleConnections(t, f, ln.Addr().String(), conns)
	for _, k := range all {
		k.mu.Lock()      // its reader gets no turn yet
		k.slot.Release() // and its place is given away by then
	}
	for _, b := range peers {
		b.Send(standin.Array("DO", "7", "book", fine, "body"))
	}
	evicted := make(chan struct{})
	go func() {
		defer close(evicted)
		for _, k := range all {
			f.evict(k.socket)
		}
	}()
	time.Sleep(50 * time.Millisecond) // they make room meanwhile, as many as may
	for _, k := range all {
		k.mu.Unlock()
	}
	for _, b := range peers {
		wantRefusals(t, b, "7")
		b.Close()
	}
	select {
	case <-evicted:
	case <-time.After(standin.Patience):
		t.Error("the newcomers wait for ever")
	}
}

// TestAPauseOutlastsTheEndOfAConnectionThatMakesRoom: the process stands still for longer than limits.Linger just after a connection made
// room. The connection was closed by the timer before the request on it was read.
func TestAPauseOutlastsTheEndOfAConnectionThatMakesRoom(t *testing.T) {
	f, _, ln := opened(t, mood{}, func(l *limits.Limits) { l.CloseTimeout = time.Millisecond })
	peers, all := idleConnections(t, f, ln.Addr().String(), 1)
	all[0].mu.Lock() // its reader gets no turn yet
	peers[0].Send(standin.Array("DO", "7", "book", fine, "body"))
	all[0].slot.Release()
	f.evict(all[0].socket)
	time.Sleep(50 * time.Millisecond)
	all[0].mu.Unlock()
	wantRefusals(t, peers[0], "7")
}

// TestRequestsAreReadUntilTheirConnectionEnds: a connection that is to end waits for the answer to one request, and another arrives meanwhile. It
// was left unread, and the end came long after it without an answer.
func TestRequestsAreReadUntilTheirConnectionEnds(t *testing.T) {
	f, d, ln := opened(t, mood{}, nil)
	b := standin.Dial(t, ln.Addr().String())
	b.Do(7, "book", "9b1f03aa5c7e2d41", time.Now(), "body", "")
	<-d.came
	go f.Shutdown(standin.Patience)
	time.Sleep(50 * time.Millisecond)
	b.Do(8, "book", "9b1f03aa5c7e2d42", time.Now(), "body", "")
	select {
	case <-d.came:
	case <-time.After(standin.Patience):
		t.Fatal("the second request is not read")
	}
	for _, id := range []string{"9b1f03aa5c7e2d42", "9b1f03aa5c7e2d41"} {
		d.answer(id, node.Response{Status: node.StatusRejected})
	}
	for _, tag := range []string{"8", "7"} {
		if got := b.Read(); len(got) < 2 || got[0] != tag || got[1] != "NAK" {
			t.Errorf("%q, want the refusal of %s", got, tag)
		}
	}
	if got := b.Read(); got != nil {
		t.Errorf("%q, want the end", got)
	}
}
