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

// TestBackPressure: while a server takes nothing, no more of a body than the window and the sockets' buffers leaves the client; while a client
// takes nothing, no more than that of a response leaves the server.
func TestBackPressure(t *testing.T) {
	const size = 64 << 20
	hold := make(chan struct{})
	slow := standin.NewScripted(t, standin.Script{{Wait: hold}})
	r := newHarness(t, []string{slow.Address}, func(o *Options, _ *PoolOptions) {
		o.MaxBodyBytes = size
		o.Limits.WriteTimeout, o.Limits.BodyIdleTimeout = time.Hour, time.Hour
	})
	c := r.dial(t)
	if _, err := io.WriteString(c, standin.Packet(t, "", at("/write", length(size))...)); err != nil {
		t.Fatal(err)
	}
	piece := make([]byte, 64<<10) // made here: one for each write would count as heap that the body takes
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	sent := 0
	for sent < size { // until the kernel takes no more for a while: not a proof, but the bound below is one
		if err := c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := c.Write(piece)
		if sent += n; err != nil {
			break
		}
	}
	runtime.ReadMemStats(&after)
	if sent == size {
		t.Error("all of the body left the client")
	}
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 8<<20 {
		t.Errorf("%d bytes of heap for a body of which %d were sent", grown, sent)
	}
	close(hold)
	c.Close()
	standin.WaitFor(t, "the connection is over", func() bool { return r.OpenConnections() == 0 })
}

// TestUploadAndDownload: large bodies are forwarded completely in both directions.
func TestUploadAndDownload(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 50<<10/16)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	for _, c := range []struct{ name, sent, end string }{
		{"length", standin.Packet(t, body, at("/write", length(len(body)))...), body},
		{"chunks", standin.Packet(t, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), at("/write", chunked)...), body + "\r\n0\r\n\r\n"},
	} {
		s := standin.NewScripted(t, reply(c.end, head+body))
		r := newHarness(t, []string{s.Address}, nil)
		got, err := r.request(t, standin.Script{{Send: c.sent}})
		if err != nil || got != head+body {
			t.Errorf("%s: %d bytes, %v", c.name, len(got), err)
		}
		standin.WaitFor(t, "the server is done", func() bool { return len(s.Received()) == 1 })
		if got := s.Received()[0]; got != c.sent {
			t.Errorf("%s: the server got %d bytes, want %d", c.name, len(got), len(c.sent))
		}
	}
}

// TestTrickle: a server that sends a byte at a time and never ends is cut off at the deadline, and its client can tell.
func TestTrickle(t *testing.T) {
	trickle := standin.Script{{Until: "/write"}, {Send: "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"}}
	for range 2000 {
		trickle = append(trickle, standin.Step{Pause: 5 * time.Millisecond}, standin.Step{Send: "x"})
	}
	s := standin.NewScripted(t, trickle)
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.DeadlineVariable = "HTTP_X_DEADLINE_MS" })
	got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", at("/write", [2]string{"HTTP_X_DEADLINE_MS", "200"})...)}})
	if !errors.Is(err, syscall.ECONNRESET) || !strings.HasPrefix(got, "HTTP/1.1 200 ") || r.Totals().Broken != 1 {
		t.Errorf("%d bytes, %v; %+v", len(got), err, r.Totals())
	}
	standin.WaitFor(t, "all is over", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && len(s.Received()) == 1 })
}

// TestSlowReader: a client that reads nothing of a large response is reset in time, and its server is released.
func TestSlowReader(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\n"}, {Flood: 64 << 20}})
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.Limits.WriteTimeout = 50 * time.Millisecond })
	c := r.dial(t)
	if _, err := io.WriteString(c, standin.Packet(t, "", at("/")...)); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "it is broken off", func() bool { return r.Totals().Broken == 1 && r.OpenConnections() == 0 && len(s.Received()) == 1 })
	if e := r.pool.Servers()[0]; e.ConsecutiveFailures != 0 || e.InFlight != 0 {
		t.Errorf("counted against the server: %+v", e)
	}
}
