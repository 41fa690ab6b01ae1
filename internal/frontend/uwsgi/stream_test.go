package uwsgi

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/testing/standin"
)

var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// TestSlowServerBoundsBufferedBody checks that while a server reads nothing, no more of a request body than fits in the window
// and the socket buffers leaves the client.
func TestSlowServerBoundsBufferedBody(t *testing.T) {
	const size = 64 << 20
	release := make(chan struct{})
	slow := standin.NewScripted(t, standin.Script{{Wait: release}})
	r := newHarness(t, []string{slow.Address}, func(o *Options, _ *PoolOptions) {
		o.MaxBodyBytes = size
		o.Limits.WriteTimeout, o.Limits.BodyIdleTimeout = time.Hour, time.Hour
	})
	c := r.dial(t)
	if _, err := io.WriteString(c, standin.Packet(t, "", requestVars("/write", contentLength(size))...)); err != nil {
		t.Fatal(err)
	}
	chunk := make([]byte, 64<<10) // allocated once: an allocation per write would count as heap taken by the body
	before := heldBytes()
	sent := 0
	for sent < size { // until a write times out, which alone proves nothing; the heap bound below does
		if err := c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := c.Write(chunk)
		if sent += n; err != nil {
			break
		}
	}
	after := heldBytes()
	if sent == size {
		t.Error("the whole body left the client although the server reads nothing")
	}
	if growth := after - before; growth > 8<<20 {
		t.Errorf("the heap grew by %d bytes for a body of which %d bytes were sent", growth, sent)
	}
	close(release)
	c.Close()
	standin.WaitFor(t, "the connection has ended", func() bool { return r.OpenConnections() == 0 })
}

// heldBytes returns the size of the heap that is in use. Garbage does not count: how much of it there is depends on when the collector
// last ran, which other tests and the load of the machine change.
func heldBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestLargeBodiesAreForwardedCompletely checks that large bodies are forwarded completely in both directions.
func TestLargeBodiesAreForwardedCompletely(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 50<<10/16)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	for _, c := range []struct{ name, sent, end string }{
		{"length", standin.Packet(t, body, requestVars("/write", contentLength(len(body)))...), body},
		{"chunks", standin.Packet(t, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), requestVars("/write", chunkedEncoding)...),
			body + "\r\n0\r\n\r\n"},
	} {
		s := standin.NewScripted(t, replyAfter(c.end, head+body))
		r := newHarness(t, []string{s.Address}, nil)
		got, err := r.request(t, standin.Script{{Send: c.sent}})
		if err != nil || got != head+body {
			t.Errorf("%s: the client got %d bytes, %v", c.name, len(got), err)
		}
		standin.WaitFor(t, "the server's connection has ended", func() bool { return len(s.Received()) == 1 })
		if got := s.Received()[0]; got != c.sent {
			t.Errorf("%s: the server got %d bytes, want %d", c.name, len(got), len(c.sent))
		}
	}
}

// TestSlowResponseIsResetAtDeadline checks that a server that sends its response byte by byte, too slowly, is cut off at the
// deadline, and that the client's connection is reset.
func TestSlowResponseIsResetAtDeadline(t *testing.T) {
	trickle := standin.Script{{Until: "/write"}, {Send: "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"}}
	for range 2000 {
		trickle = append(trickle, standin.Step{Pause: 5 * time.Millisecond}, standin.Step{Send: "x"})
	}
	s := standin.NewScripted(t, trickle)
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.DeadlineVariable = "HTTP_X_DEADLINE_MS" })
	got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", requestVars("/write", [2]string{"HTTP_X_DEADLINE_MS", "200"})...)}})
	if !errors.Is(err, syscall.ECONNRESET) || !strings.HasPrefix(got, "HTTP/1.1 200 ") || r.Totals().Broken != 1 {
		t.Errorf("got %d bytes, %v, want a reset; %+v", len(got), err, r.Totals())
	}
	standin.WaitFor(t, "all connections and requests have ended", func() bool {
		return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && len(s.Received()) == 1
	})
}

// TestClientThatReadsNothingIsReset checks that a client that reads nothing of a large response is reset after the write timeout,
// and that the server is released.
func TestClientThatReadsNothingIsReset(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\n"}, {Flood: 64 << 20}})
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.Limits.WriteTimeout = 50 * time.Millisecond })
	c := r.dial(t)
	if _, err := io.WriteString(c, standin.Packet(t, "", requestVars("/")...)); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "the response is reset", func() bool {
		return r.Totals().Broken == 1 && r.OpenConnections() == 0 && len(s.Received()) == 1
	})
	if e := r.pool.Servers()[0]; e.ConsecutiveFailures != 0 || e.InFlight != 0 {
		t.Errorf("the slow client counted against the server, or the server was not released: %+v", e)
	}
}
