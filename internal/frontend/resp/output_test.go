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

// slowPeer is a connection whose peer reads three bytes of each write.
type slowPeer struct {
	net.Conn
	got     []byte
	blocked int // it reads nothing while this is above 0
}

func (s *slowPeer) SetWriteDeadline(time.Time) error { return nil }

func (s *slowPeer) Write(b []byte) (int, error) {
	n := min(3, len(b))
	if s.blocked > 0 {
		n = 0
	}
	s.got = append(s.got, b[:n]...)
	if n < len(b) {
		return n, os.ErrDeadlineExceeded
	}
	return n, nil
}

// TestSlowReader: a peer that reads slowly gets all of its answer; one that reads nothing is given up.
func TestSlowReader(t *testing.T) {
	f := New(Options{Core: newFakeCore(), Status: fakeStatus{}, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
	peer := &slowPeer{}
	k := &conn{front: f, socket: &framedConn{Conn: peer}}
	if err := k.writeAll([]byte("an answer of some length")); err != nil || string(peer.got) != "an answer of some length" {
		t.Errorf("%q, %v", peer.got, err)
	}
	peer.blocked = 1
	if err := k.writeAll([]byte("more")); err == nil {
		t.Error("a peer that reads nothing is waited for")
	}
}

// TestUnreadAnswersAreBounded: the unread answers of each peer are bounded, and those of all peers together.
func TestUnreadAnswersAreBounded(t *testing.T) {
	lim := limits.For(64, 256)
	lim.TotalUnreadAnswerBytes = 1 << 20
	f := New(Options{Core: newFakeCore(), Status: fakeStatus{}, Limits: lim, Log: standin.DiscardLogger})
	const peers = 40
	limit := int64(lim.TotalUnreadAnswerBytes + peers*lim.UnreadAnswerBytes/sharedBacklogDivisor)
	var conns []*conn
	for range peers {
		ours, theirs := net.Pipe() // it buffers nothing
		t.Cleanup(func() { _ = theirs.Close() })
		conns = append(conns, &conn{front: f, socket: &framedConn{Conn: ours}, slot: f.slots.Acquire(func() {}), openRequests: map[string]string{}})
	}
	peak, body := int64(0), make([]byte, 4096)
	for range lim.UnreadAnswerBytes/len(body) + 2 {
		for _, k := range conns {
			k.enqueueAnswer("1", "ACK", nil, body, false)
			if peak = max(peak, f.unreadBytes.Load()); peak > limit {
				t.Fatalf("%d bytes are unread, %d at most", peak, limit)
			}
		}
	}
	for _, k := range conns {
		k.mu.Lock()
		k.abort()
		k.mu.Unlock()
	}
	if peak <= int64(lim.TotalUnreadAnswerBytes) {
		t.Errorf("%d bytes were unread at most: the bound of %d was not reached", peak, lim.TotalUnreadAnswerBytes)
	}
	waitFor(t, "nothing is unread any more", func() bool { return f.unreadBytes.Load() == 0 })
}

// narrowListener accepts connections with a small send buffer.
type narrowListener struct{ *net.TCPListener }

func (n narrowListener) Accept() (net.Conn, error) {
	c, err := n.AcceptTCP()
	if err == nil {
		err = c.SetWriteBuffer(4 << 10)
	}
	return c, err
}

// TestFloodOfUnreadAnswers: many peers ask and do not read. What waits for them stays within the bound for
// all, and a peer that reads gets its answers.
func TestFloodOfUnreadAnswers(t *testing.T) {
	lim := limits.For(64, 256)
	lim.TotalUnreadAnswerBytes, lim.WriteTimeout = 128<<10, time.Hour
	d := newFakeCore()
	f := New(Options{Core: d, Status: fakeStatus{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: lim, Log: standin.DiscardLogger})
	ln := f.Listen(narrowListener{standin.Listen(t).(*net.TCPListener)}, false)
	go func() { _ = f.Serve(ln) }()
	t.Cleanup(f.Close)
	good := standin.Dial(t, ln.Addr().String())
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
			for range 40 { // 1 MB of answers, unless it is aborted before
				if _, err := b.Write(flood); err != nil {
					return
				}
				if n := f.unreadBytes.Load(); n > limit {
					t.Errorf("%d bytes are unread, %d at most", n, limit)
				}
			}
		})
	}
	flooding.Wait()
	waitFor(t, "the bound of all holds", func() bool { return f.unreadBytes.Load() <= limit })
	good.Do(7, "book", testRequestID, time.Now(), "body", "")
	<-d.submitted
	d.answer(testRequestID, node.Response{Status: node.StatusServed, Result: []byte("r")})
	if got := good.Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("answer %q", got)
	}
	f.Shutdown(0)
	f.mu.Lock()
	for k := range f.conns {
		_ = k.socket.Close()
	}
	f.mu.Unlock()
	waitFor(t, "nothing is unread any more", func() bool { return f.unreadBytes.Load() == 0 && f.OpenConnections() == 0 })
}
