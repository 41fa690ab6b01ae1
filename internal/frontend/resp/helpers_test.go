package resp

import (
	"io"
	"sync"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// fakeCore is a Core that holds each request until the test answers it.
type fakeCore struct {
	mu        sync.Mutex
	replies   map[string]func(node.Response)
	canceled  []string
	submitted chan string
}

func newFakeCore() *fakeCore {
	return &fakeCore{replies: map[string]func(node.Response){}, submitted: make(chan string, 4096)}
}

func (c *fakeCore) Submit(q node.Request, reply func(node.Response)) {
	c.mu.Lock()
	c.replies[q.ID] = reply
	c.mu.Unlock()
	c.submitted <- q.ID
}

func (c *fakeCore) Cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = append(c.canceled, id)
}

func (c *fakeCore) RejectionStatus(_, key string) node.Status {
	if key == "ran" {
		return node.StatusFailed
	}
	return node.StatusRejected
}

func (c *fakeCore) Abort(id string) { c.answer(id, node.Response{Status: node.StatusRejected}) }

func (c *fakeCore) answer(id string, a node.Response) {
	c.mu.Lock()
	reply := c.replies[id]
	c.mu.Unlock()
	reply(a)
}

// expiredIdleStatus is a NodeStatus whose idle timeout is over at once.
type expiredIdleStatus struct{ fakeStatus }

func (expiredIdleStatus) IdleTimeout() time.Duration { return 1 }

// startFront starts a front end on a TCP listener, with limits changed by change (nil: unchanged).
func startFront(t *testing.T, s NodeStatus, change func(*limits.Limits)) (*Front, *fakeCore, *Listener) {
	t.Helper()
	lim := limits.For(64, 256)
	if change != nil {
		change(&lim)
	}
	core := newFakeCore()
	f := New(Options{Core: core, Status: s, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: lim, Log: standin.DiscardLogger})
	ln := f.Listen(standin.Listen(t), false)
	go func() { _ = f.Serve(ln) }()
	t.Cleanup(f.Close)
	t.Cleanup(func() { _ = ln.Close() })
	return f, core, ln
}

// readToEnd reads from the connection until its end; the test fails if it ends with a reset.
func readToEnd(t *testing.T, b *standin.Balancer) string {
	t.Helper()
	if err := b.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(b.Conn)
	if err != nil {
		t.Errorf("read %q, then %v, want the end of the stream", all, err)
	}
	return string(all)
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(standin.WaitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (f *Front) onlyConn() *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.conns {
		return k
	}
	return nil
}

const (
	greenAnswer    = "*2\r\n$1\r\n1\r\n$5\r\nGREEN\r\n"
	closeMessage   = "*2\r\n$1\r\n0\r\n$3\r\nFIN\r\n"
	partialRequest = "*5\r\n$2\r\nDO\r\n$1\r\n7\r\n$4\r\nbook\r\n"
)

// isIdle reports whether messages were read, no request is open and all answers are written.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.messagesRead > 0 && len(c.openRequests) == 0 && len(c.output) == 0 && !c.flushing
}

const testRequestID = "9b1f03aa5c7e2d41"

const validFields = "req=9b1f03aa5c7e2d41,ts=1764576000123,via=4,owner=acme,timeout=480.5,resent=1,ms=12.50,need=24.5,level=0.6250,opkey=5c0f"

// idleConnections connects count balancers one after the other; each is idle after two health checks.
func idleConnections(t *testing.T, f *Front, address string, count int) (peers []*standin.Balancer, conns []*conn) {
	t.Helper()
	for range count {
		b := standin.Dial(t, address)
		b.Send(standin.Array("PING", "1") + standin.Array("PING", "2"))
		b.Read()
		b.Read()
		peers = append(peers, b)
		waitFor(t, "the connection is idle", func() bool {
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

// wantRejections reads answers until the connection ends and expects one rejection for each tag.
func wantRejections(t *testing.T, b *standin.Balancer, tags ...string) {
	t.Helper()
	open := map[string]bool{}
	for _, tag := range tags {
		open[tag] = true
	}
	for got := b.Read(); got != nil; got = b.Read() {
		if len(got) < 2 || !open[got[0]] || got[1] != "NAK" {
			t.Errorf("%q, want one rejection for each of %v", got, tags)
			return
		}
		delete(open, got[0])
	}
	if len(open) > 0 {
		t.Errorf("the connection ended before %d of %d requests were answered", len(open), len(tags))
	}
}

// fakeStatus is a NodeStatus that is always healthy.
type fakeStatus struct {
	signal float64
	set    bool
}

func (s fakeStatus) LoadSignal() (float64, bool) { return s.signal, s.set }

func (fakeStatus) Healthy() bool { return true }

func (fakeStatus) IdleTimeout() time.Duration { return 0 }
