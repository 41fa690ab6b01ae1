package resp

import (
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// slowPeer is a connection whose peer accepts three bytes of each write.
type slowPeer struct {
	net.Conn
	got     []byte
	blocked int // the peer accepts nothing while this is above 0
}

func (p *slowPeer) SetWriteDeadline(time.Time) error { return nil }

func (p *slowPeer) Write(b []byte) (int, error) {
	n := min(3, len(b))
	if p.blocked > 0 {
		n = 0
	}
	p.got = append(p.got, b[:n]...)
	if n < len(b) {
		return n, os.ErrDeadlineExceeded
	}
	return n, nil
}

// TestSlowReaderReceivesWholeAnswer checks that a peer that reads slowly receives its whole answer, and that writing
// to a peer that reads nothing fails.
func TestSlowReaderReceivesWholeAnswer(t *testing.T) {
	f := New(Options{Core: newFakeCore(), Status: fakeStatus{}, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
	peer := &slowPeer{}
	k := &conn{front: f, socket: &framedConn{Conn: peer}}
	if err := k.writeAll([]byte("an answer of some length")); err != nil || string(peer.got) != "an answer of some length" {
		t.Errorf("a slow peer received %q, %v, want the whole answer", peer.got, err)
	}
	peer.blocked = 1
	if err := k.writeAll([]byte("more")); err == nil {
		t.Error("no error from writing to a peer that reads nothing")
	}
}

// TestUnreadAnswersAreBounded checks the limits on unread answers per connection and of all connections.
func TestUnreadAnswersAreBounded(t *testing.T) {
	lim := limits.For(64, 256)
	lim.TotalUnreadAnswerBytes = 1 << 20
	f := New(Options{Core: newFakeCore(), Status: fakeStatus{}, Limits: lim, Log: standin.DiscardLogger})
	const peers = 40
	limit := int64(lim.TotalUnreadAnswerBytes + peers*lim.UnreadAnswerBytes/sharedBacklogDivisor)
	var conns []*conn
	for range peers {
		ours, theirs := net.Pipe() // unbuffered
		t.Cleanup(func() { _ = theirs.Close() })
		conns = append(conns, &conn{front: f, socket: &framedConn{Conn: ours}, slot: f.slots.Acquire(func() {}), openRequests: map[string]string{}})
	}
	peak, body := int64(0), make([]byte, 4096)
	for range lim.UnreadAnswerBytes/len(body) + 2 {
		for _, k := range conns {
			k.enqueueAnswer("1", "ACK", nil, body, false)
			if peak = max(peak, f.unreadBytes.Load()); peak > limit {
				t.Fatalf("%d bytes are unread, want at most %d", peak, limit)
			}
		}
	}
	for _, k := range conns {
		k.mu.Lock()
		k.abort()
		k.mu.Unlock()
	}
	if peak <= int64(lim.TotalUnreadAnswerBytes) {
		t.Errorf("the test did not reach the total limit: %d bytes were unread, the limit is %d", peak, lim.TotalUnreadAnswerBytes)
	}
	waitFor(t, "no bytes are unread", func() bool { return f.unreadBytes.Load() == 0 })
}

// smallBufferListener accepts connections with a small send buffer.
type smallBufferListener struct{ *net.TCPListener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err == nil {
		err = c.SetWriteBuffer(4 << 10)
	}
	return c, err
}

// TestUnreadAnswersOfManyPeersStayBounded: many peers send health checks and do not read the answers. The unread answers must
// stay within the total limit, and a peer that reads must receive its answers.
func TestUnreadAnswersOfManyPeersStayBounded(t *testing.T) {
	lim := limits.For(64, 256)
	lim.TotalUnreadAnswerBytes, lim.WriteTimeout = 128<<10, time.Hour
	core := newFakeCore()
	f := New(Options{Core: core, Status: fakeStatus{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: lim, Log: standin.DiscardLogger})
	ln := f.Listen(smallBufferListener{standin.Listen(t).(*net.TCPListener)}, false)
	go func() { _ = f.Serve(ln) }()
	t.Cleanup(f.Close)
	readingPeer := standin.Dial(t, ln.Addr().String())
	const peers = 12
	limit := int64(lim.TotalUnreadAnswerBytes + peers*lim.UnreadAnswerBytes/sharedBacklogDivisor)
	var flooding sync.WaitGroup
	for range peers {
		b := standin.Dial(t, ln.Addr().String())
		if err := b.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		flooding.Go(func() {
			flood := []byte(strings.Repeat(standin.Array("PING", "1"), 1024))
			_ = b.SetWriteDeadline(time.Now().Add(standin.WaitTimeout))
			for range 40 { // 1 MB of answers, unless the connection is aborted before
				if _, err := b.Write(flood); err != nil {
					return
				}
				if n := f.unreadBytes.Load(); n > limit {
					t.Errorf("%d bytes are unread, want at most %d", n, limit)
				}
			}
		})
	}
	flooding.Wait()
	waitFor(t, "the total limit holds", func() bool { return f.unreadBytes.Load() <= limit })
	readingPeer.Do(7, "book", testRequestID, time.Now(), "body", "")
	<-core.submitted
	core.answer(testRequestID, node.Response{Status: node.StatusServed, Result: []byte("r")})
	if got := readingPeer.Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("answer %q to a peer that reads, want ACK", got)
	}
	f.Shutdown(0)
	waitFor(t, "no bytes are unread and no connection is open", func() bool {
		f.mu.Lock()
		for k := range f.conns { // a peer's connection may be accepted only now
			_ = k.socket.Close()
		}
		f.mu.Unlock()
		return f.unreadBytes.Load() == 0 && f.OpenConnections() == 0
	})
}
