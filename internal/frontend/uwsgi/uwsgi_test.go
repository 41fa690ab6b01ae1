package uwsgi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/tlskeys"
	"sloehitch/internal/testing/standin"
	"sloehitch/logic"
)

func TestRender(t *testing.T) {
	for _, c := range []struct {
		a    node.Response
		want string
	}{
		{node.Response{Status: node.StatusServed, Result: []byte("as it came")}, "as it came"},
		{node.Response{Status: node.StatusFailed, KeyReused: true}, "HTTP/1.1 422 "},
		{node.Response{Status: node.StatusRejected, RetryAfter: 1200 * time.Millisecond}, "Retry-After: 2\r\n"},
		{node.Response{Status: node.StatusRejected}, "HTTP/1.1 503 Service Unavailable\r\n"},
		{node.Response{Status: node.StatusRejected}, "Retry-After: 1\r\n"},
		{node.Response{Status: node.StatusFailed}, "HTTP/1.1 502 Bad Gateway\r\n"},
		{node.Response{Status: node.StatusFailed, DeadlineExceeded: true}, "HTTP/1.1 504 Gateway Timeout\r\n"},
	} {
		if got := string(responseBytes(c.a)); !strings.Contains(got, c.want) {
			t.Errorf("%+v: %q lacks %q", c.a, got, c.want)
		}
	}
}

// mapper knows three paths: one for reads, one for keyed requests, one for writes that are neither.
type mapper struct{}

const (
	read = iota
	book
	write
)

func (mapper) Map(get func(string) string, q *node.Request) int {
	switch get("PATH_INFO") {
	case "/":
		q.Class = read
	case "/book":
		q.Class, q.IdempotencyKey = book, get("HTTP_IDEMPOTENCY_KEY")
	case "/write":
		q.Class = write
	default:
		return http.StatusNotFound
	}
	return 0
}

// rig is a front and a pool on a real core.
type rig struct {
	*Front
	pool    *Pool
	node    *node.Node
	address string
	limits  limits.Limits
}

// newRig starts one. Changes are made before.
func newRig(t testing.TB, servers []string, change func(o *Options, p *PoolOptions)) *rig {
	t.Helper()
	return newRigOn(t, 16, servers, change)
}

// newRigOn starts one whose core runs so many at once.
func newRigOn(t testing.TB, cores int, servers []string, change func(o *Options, p *PoolOptions)) *rig {
	t.Helper()
	lim := limits.For(64, 256)
	lim.CloseTimeout = 100 * time.Millisecond
	cfg := logic.Settings{Cores: cores, MemoryKB: 1e6, MaxConcurrencyPerCore: 5, ResponseGrace: 80000, DrainGrace: 2000000, Classes: []logic.Class{
		{Name: "read", LatencyObjective: 20e6, ClientTimeout: 60e6, PriorityWeight: 1},
		{Name: "book", LatencyObjective: 20e6, ClientTimeout: 60e6, PriorityWeight: 3, Idempotency: logic.IdempotentByKey, IdempotencyWindow: 60e6},
		{Name: "write", LatencyObjective: 20e6, ClientTimeout: 60e6, PriorityWeight: 3, Idempotency: logic.NonIdempotent}}}
	o := Options{Mapper: mapper{}, Idempotent: func(class int) bool { return class == read }, MaxBodyBytes: 1 << 20, Limits: lim, Log: standin.Quiet}
	po := PoolOptions{Balancer: balancer.DefaultConfig(), Limits: lim, Log: standin.Quiet}
	if change != nil {
		change(&o, &po)
	}
	g, err := admission.New(cfg, admission.Options{Clock: clock.System{}})
	if err != nil {
		t.Fatal(err)
	}
	n := node.New(node.Options{Settings: cfg, Admission: g, Clock: clock.System{}, Limits: o.Limits, Log: standin.Quiet})
	go n.Run()
	t.Cleanup(g.Close)
	po.Limits = o.Limits
	p := NewPool(po)
	if err := p.SetServers(servers); err != nil {
		t.Fatal(err)
	}
	p.Serve(n)
	t.Cleanup(p.Close)
	o.Core, o.Pool = n, p
	ln := standin.Listen(t)
	f := New(o)
	go f.Serve(ln)
	return &rig{f, p, n, ln.Addr().String(), o.Limits}
}

func (r *rig) dial(t testing.TB) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(standin.Patience)); err != nil {
		t.Fatal(err)
	}
	return c
}

// ask plays a client and returns all that it gets, and how it ended.
func (r *rig) ask(t testing.TB, s standin.Script) (string, error) {
	t.Helper()
	c := r.dial(t)
	before, err := s.Play(c)
	if err != nil {
		return string(before), err
	}
	rest, err := io.ReadAll(c)
	return string(before) + string(rest), err
}

func at(path string, more ...[2]string) [][2]string {
	return append([][2]string{{"REQUEST_METHOD", "POST"}, {"PATH_INFO", path}}, more...)
}

func length(n int) [2]string { return [2]string{"CONTENT_LENGTH", fmt.Sprint(n)} }

var chunked = [2]string{"HTTP_TRANSFER_ENCODING", "chunked"}

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// reply is a server that reads a request to its end and answers.
func reply(end, response string) standin.Script {
	return standin.Script{{Until: end}, {Send: response}}
}

// TestClients: what clients send, well and badly, gets one answer, and nothing bad reaches a server.
func TestClients(t *testing.T) {
	get := standin.Packet(t, "", at("/")...)
	for _, c := range []struct {
		name, in string
		split    bool
		change   func(o *Options, p *PoolOptions)
		want     string // the answer begins with this
		server   string // the end of what a server got; empty: nothing
	}{
		{"no body", get, false, nil, fine, "/"},
		{"byte by byte", standin.Packet(t, "hello", at("/", length(5))...), true, nil, fine, "hello"},
		{"a body of a length", standin.Packet(t, "hello", at("/", length(5))...), false, nil, fine, "hello"},
		{"a keyed body", standin.Packet(t, "hello", at("/book", length(5), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), false, nil, fine, "hello"},
		{"a body in chunks", standin.Packet(t, "5\r\nhello\r\n0\r\n\r\n", at("/", chunked)...), false, nil, fine, "hello\r\n0\r\n\r\n"},
		{"a keyed body in chunks", standin.Packet(t, "5\r\nhello\r\n0\r\n\r\n", at("/book", chunked, [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), true, nil, fine, "\r\n0\r\n\r\n"},
		{"a ping", "\x64\x00\x00\x00", false, nil, "\x64\x00\x00\x01", ""},
		{"a ping of one that is not well", "\x64\x00\x00\x00", false, func(o *Options, _ *PoolOptions) { o.Healthy = func() bool { return false } }, "", ""},
		{"a ping with data", "\x64\x01\x00\x00x", false, nil, "HTTP/1.1 400 ", ""},
		{"another application", "\x05" + get[1:], false, nil, "HTTP/1.1 400 ", ""},
		{"another application that is served", "\x05" + get[1:], false, func(o *Options, _ *PoolOptions) { o.Modifiers = []byte{5} }, fine, "/"},
		{"a spooler's packet", "\x11" + get[1:], false, nil, "HTTP/1.1 400 ", ""},
		{"not uwsgi", "GET / HTTP/1.1\r\n\r\n", false, nil, "HTTP/1.1 400 ", ""},
		{"not described", standin.Packet(t, "", at("/none")...), false, nil, "HTTP/1.1 404 ", ""},
		{"variables beyond the limits", "\x00\xff\xff\x00", false, nil, "HTTP/1.1 413 ", ""},
		{"a body beyond the limits", standin.Packet(t, "", at("/", length(2<<20))...), false, nil, "HTTP/1.1 413 ", ""},
		{"a keyed body beyond the limits", standin.Packet(t, "", at("/book", length(1<<20), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), false, nil, "HTTP/1.1 413 ", ""},
		{"a length and chunks", standin.Packet(t, "0\r\n\r\n", at("/", length(5), chunked)...), false, nil, "HTTP/1.1 400 ", ""},
		{"bad chunks", standin.Packet(t, "x\r\n", at("/book", chunked, [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), false, nil, "HTTP/1.1 400 ", ""},
		{"bytes behind a keyed body", standin.Packet(t, "hello"+get, at("/book", length(5), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), false,
			nil, "HTTP/1.1 400 ", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			hold := make(chan struct{})
			end := c.server
			if end == "" {
				end = "\x00never"
			}
			s := standin.NewScripted(t, reply(end, fine))
			r := newRig(t, []string{s.Address}, c.change)
			defer close(hold)
			got, err := r.ask(t, standin.Script{{Send: c.in, Split: c.split}, {Half: true}})
			if err != nil || !strings.HasPrefix(got, c.want) || strings.Count(got, "HTTP/1.1 ") > 1 {
				t.Errorf("got %q, %v; want %q", got, err, c.want)
			}
			if c.name == "bytes behind a keyed body" {
				return // they may come after the start: then they are refused, and only not passed on
			}
			if n := s.Connections(); n != 0 == (c.server == "") {
				t.Errorf("%d connections to the server", n)
			}
		})
	}
}

// TestServers: what servers do, well and badly, and what their client gets of it.
func TestServers(t *testing.T) {
	big := strings.Repeat("x", 200<<10)
	long := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(big))
	for _, c := range []struct {
		name, path string
		scripts    []standin.Script
		want       string
		reset      bool // the client sees the connection reset
		tries      int
	}{
		{"whole", "/", []standin.Script{reply("body", fine)}, fine, false, 1},
		{"until the close", "/", []standin.Script{reply("body", "HTTP/1.0 200 OK\r\n\r\nhello")}, "HTTP/1.0 200 OK\r\n\r\nhello", false, 1},
		{"CGI", "/", []standin.Script{reply("body", "Status: 201 Made\r\n\r\nhello")}, "Status: 201 Made\r\n\r\nhello", false, 1},
		{"chunks", "/", []standin.Script{reply("body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")},
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false, 1},
		{"byte by byte", "/", []standin.Script{{{Until: "body"}, {Send: fine, Split: true}}}, fine, false, 1},
		{"interim heads end here", "/", []standin.Script{reply("body", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"+fine)}, fine, false, 1},
		{"large", "/", []standin.Script{reply("body", long+big)}, long + big, false, 1},
		{"large and keyed", "/book", []standin.Script{reply("body", long+big)}, long + big, false, 1},
		{"it answers before it has read", "/", []standin.Script{{{Send: fine}}}, fine, false, 1},
		{"it answers early and resets", "/write", []standin.Script{{{Read: 10}, {Send: fine}, {Wait: closedChan}, {Read: 1}}}, fine, false, 1},
		{"a read is tried on the next", "/", []standin.Script{{{Until: "body"}}, reply("body", fine)}, fine, false, 2},
		{"a write is not", "/write", []standin.Script{{{Until: "body"}}, reply("body", fine)}, "HTTP/1.1 502 ", false, 1},
		{"nor is a keyed request", "/book", []standin.Script{{{Until: "body"}}, reply("body", fine)}, "HTTP/1.1 502 ", false, 1},
		{"it breaks off within the head", "/write", []standin.Script{reply("body", "HTTP/1.1 200 OK\r\nA:")}, "HTTP/1.1 502 ", false, 1},
		{"it breaks off within a small body", "/write", []standin.Script{reply("body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell")}, "HTTP/1.1 502 ", false, 1},
		{"it breaks off within a large body", "/", []standin.Script{reply("body", long+big[1:])}, long, true, 1},
		{"it breaks off within chunks", "/", []standin.Script{reply("body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")},
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true, 1},
		{"bad chunks", "/", []standin.Script{{{Until: "body"}, {Send: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}, {Send: "5\r\nhellohello"}}},
			"", true, -1},
		{"a length and chunks", "/write", []standin.Script{reply("body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")}, "HTTP/1.1 502 ", false, 1},
		{"two answers", "/write", []standin.Script{reply("body", fine+fine)}, "HTTP/1.1 502 ", false, 1},
		{"garbage", "/write", []standin.Script{reply("body", "\x00\x01\x02\r\n\r\n")}, "HTTP/1.1 502 ", false, 1},
		{"an endless head", "/write", []standin.Script{{{Until: "body"}, {Send: "HTTP/1.1 200 OK\r\nA: "}, {Flood: 1 << 20}}}, "HTTP/1.1 502 ", false, 1},
		{"an endless keyed answer", "/book", []standin.Script{{{Until: "body"}, {Send: "HTTP/1.1 200 OK\r\n\r\n"}, {Flood: 4 << 20}}}, "HTTP/1.1 502 ", false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := standin.NewScripted(t, c.scripts...)
			other := standin.NewScripted(t, c.scripts[len(c.scripts)-1])
			servers := []string{s.Address}
			if len(c.scripts) > 1 {
				servers = append(servers, other.Address)
			}
			r := newRig(t, servers, nil)
			got, err := r.ask(t, standin.Script{{Send: standin.Packet(t, "body", at(c.path, length(4), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...)}})
			if !strings.HasPrefix(got, c.want) || !c.reset && (len(got) != len(c.want) && !strings.HasSuffix(c.want, " ")) || strings.Count(got, "HTTP/1.") > 1 {
				t.Errorf("got %.200q (%d bytes), want %.200q (%d)", got, len(got), c.want, len(c.want))
			}
			if broken := errors.Is(err, syscall.ECONNRESET); broken != c.reset && c.tries >= 0 || err != nil && !broken {
				t.Errorf("the connection ended with %v, want a reset: %v", err, c.reset)
			}
			if n := s.Connections() + other.Connections(); c.tries >= 0 && n != c.tries {
				t.Errorf("%d tries, want %d", n, c.tries)
			}
			standin.WaitFor(t, "all is over", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 })
		})
	}
}

var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// TestBackPressure: while a server takes nothing, no more of a body than the window and the sockets' buffers leaves the client; while a client
// takes nothing, no more than that of a response leaves the server.
func TestBackPressure(t *testing.T) {
	const size = 64 << 20
	hold := make(chan struct{})
	slow := standin.NewScripted(t, standin.Script{{Wait: hold}})
	r := newRig(t, []string{slow.Address}, func(o *Options, _ *PoolOptions) {
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

// TestUploadAndDownload: large bodies go through whole in both directions.
func TestUploadAndDownload(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 50<<10/16)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	for _, c := range []struct{ name, sent, end string }{
		{"length", standin.Packet(t, body, at("/write", length(len(body)))...), body},
		{"chunks", standin.Packet(t, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), at("/write", chunked)...), body + "\r\n0\r\n\r\n"},
	} {
		s := standin.NewScripted(t, reply(c.end, head+body))
		r := newRig(t, []string{s.Address}, nil)
		got, err := r.ask(t, standin.Script{{Send: c.sent}})
		if err != nil || got != head+body {
			t.Errorf("%s: %d bytes, %v", c.name, len(got), err)
		}
		standin.WaitFor(t, "the server is done", func() bool { return len(s.Got()) == 1 })
		if got := s.Got()[0]; got != c.sent {
			t.Errorf("%s: the server got %d bytes, want %d", c.name, len(got), len(c.sent))
		}
	}
}

// TestCallerGivesUp at each offset of a request in fragments: nothing is left open, and half a body never looks whole to a server.
func TestCallerGivesUp(t *testing.T) {
	whole := standin.Packet(t, "hello", at("/write", length(5))...)
	s := standin.NewScripted(t, standin.Script{{Until: "hello"}, {Send: fine}})
	r := newRig(t, []string{s.Address}, func(o *Options, _ *PoolOptions) {
		o.HalfCloseCancels = true
		o.Limits.UwsgiConnections = len(whole) // on a slow machine all of them are there at once: none is to make room for another
	})
	goroutines := runtime.NumGoroutine()
	for n := range len(whole) {
		c := r.dial(t)
		if _, err := io.WriteString(c, whole[:n]); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	standin.WaitFor(t, "all are gone", func() bool {
		return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && r.Totals().Left == len(whole)
	})
	standin.WaitFor(t, "the servers' connections are over", func() bool { return len(s.Got()) == s.Connections() })
	for _, got := range s.Got() {
		if strings.HasSuffix(got, "hello") {
			t.Errorf("a server got the whole of a request of which no client sent it: %q", got)
		}
	}
	standin.WaitFor(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// TestHalfClose: a client that shuts its sending side is still answered, unless the configuration says that it has left.
func TestHalfClose(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		hold := make(chan struct{})
		s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Wait: hold}, {Send: fine}})
		r := newRig(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.HalfCloseCancels = leaves })
		c := r.dial(t)
		if _, err := (standin.Script{{Send: standin.Packet(t, "", at("/")...)}, {Half: true}}).Play(c); err != nil {
			t.Fatal(err)
		}
		if leaves {
			standin.WaitFor(t, "it has left", func() bool { return r.Totals().Left == 1 })
		} else {
			standin.WaitFor(t, "it runs", func() bool { return s.Connections() == 1 })
		}
		close(hold)
		got, err := io.ReadAll(c)
		if want := map[bool]string{false: fine}[leaves]; string(got) != want || err != nil {
			t.Errorf("leaves %v: %q, %v", leaves, got, err)
		}
	}
}

// TestSlowClients: half a head and half a body are given up on in time, each with the word for it.
func TestSlowClients(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "never"}})
	r := newRig(t, []string{s.Address}, func(o *Options, _ *PoolOptions) {
		o.Limits.MessageTimeout, o.Limits.BodyIdleTimeout = 30*time.Millisecond, 30*time.Millisecond
	})
	for _, in := range []string{"\x00\x05", standin.Packet(t, "he", at("/", length(5))...), standin.Packet(t, "he", at("/book", length(5), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...)} {
		got, err := r.ask(t, standin.Script{{Send: in}})
		if !strings.HasPrefix(got, "HTTP/1.1 408 ") || err != nil {
			t.Errorf("%q: %q, %v", in, got, err)
		}
	}
}

// TestPerSource: one host has no more connections than it may.
func TestPerSource(t *testing.T) {
	r := newRig(t, nil, func(o *Options, _ *PoolOptions) { o.MaxConnectionsPerHost = 2; o.Limits.MessageTimeout = time.Minute })
	for range 2 {
		c := r.dial(t)
		if _, err := c.Write([]byte{0}); err != nil {
			t.Fatal(err)
		}
	}
	standin.WaitFor(t, "both are seated", func() bool { return r.OpenConnections() == 2 })
	if got, _ := io.ReadAll(r.dial(t)); len(got) != 0 || r.Totals().Crowded != 1 {
		t.Errorf("a third one got %q", got)
	}
}

// TestPool: waiting for a server in its turn, going round those that are down, being told of none, stopping.
func TestPool(t *testing.T) {
	down := standin.Free(t)
	s := standin.NewScripted(t, reply("/", fine))
	get := standin.Script{{Send: standin.Packet(t, "", at("/write")...)}}
	r := newRig(t, []string{down, s.Address}, nil)
	for range 8 {
		if got, err := r.ask(t, get); got != fine || err != nil {
			t.Errorf("with one of two down: %q, %v", got, err)
		}
	}
	for _, e := range r.pool.Servers() {
		if e.Name != s.Address && e.ConsecutiveFailures == 0 {
			t.Errorf("%+v was not noticed to fail", e)
		}
	}
	if err := r.pool.SetServers([]string{down}); err != nil {
		t.Fatal(err)
	}
	if got, err := r.ask(t, get); !strings.HasPrefix(got, "HTTP/1.1 502 ") || err != nil {
		t.Errorf("with all down: %q, %v", got, err)
	}
	if err := r.pool.SetServers([]string{"nonsense"}); err == nil {
		t.Error("a bad address was taken")
	}
	hold := make(chan struct{})
	one := standin.NewScripted(t, standin.Script{{Until: "/write"}, {Wait: hold}, {Send: fine}})
	r = newRig(t, []string{one.Address}, func(_ *Options, p *PoolOptions) { p.Balancer.MaxConcurrency = 1 })
	answers := make(chan string, 3)
	for range 3 {
		go func() {
			got, _ := r.ask(t, get)
			answers <- got
		}()
	}
	standin.WaitFor(t, "two wait", func() bool { r.pool.mu.Lock(); defer r.pool.mu.Unlock(); return r.pool.balancer.QueueLength() == 2 })
	standin.WaitFor(t, "one runs", func() bool { return one.Connections() > 0 }) // the choice is made before the server sees the connection
	if n := one.Connections(); n != 1 {
		t.Errorf("%d at once on a server that takes one", n)
	}
	close(hold)
	for range 3 {
		if got := <-answers; got != fine {
			t.Errorf("one that waited got %q", got)
		}
	}
}

// TestTimes: whoever asks for it hears of each request once, with all its tries.
func TestTimes(t *testing.T) {
	bad := standin.NewScripted(t, standin.Script{{Until: "/"}})
	good := standin.NewScripted(t, reply("/", fine))
	times := make(chan RequestTimes, 9)
	r := newRig(t, []string{bad.Address, good.Address}, func(o *Options, _ *PoolOptions) { o.OnRequestDone = func(x RequestTimes) { times <- x } })
	if got, err := r.ask(t, standin.Script{{Send: standin.Packet(t, "", at("/", [2]string{"HTTP_TRACEPARENT", "p"})...)}}); got != fine || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	x := <-times
	last, ran := x.Run.LastAttempt()
	if x.Outcome != "served" || x.TraceParent != "p" || !ran || len(x.Run.Attempts) != 2 || x.Run.Attempts[0].Failure == "" || last.Failure != "" || last.Server != good.Address ||
		x.Run.Outcome != "ok" || last.FirstByteAt.Before(last.ConnectedAt) || x.AnsweredAt.Before(x.Run.DoneAt) || len(times) > 0 {
		t.Errorf("%+v", x)
	}
	if got, err := r.ask(t, standin.Script{{Send: standin.Packet(t, "", at("/none")...)}}); !strings.HasPrefix(got, "HTTP/1.1 404 ") || err != nil || len(times) > 0 {
		t.Errorf("one that the core was not asked about: %q, %v, %d", got, err, len(times))
	}
}

// TestTrickle: a server that sends a byte at a time and never ends is cut off when the request is due, and its client can tell.
func TestTrickle(t *testing.T) {
	trickle := standin.Script{{Until: "/write"}, {Send: "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"}}
	for range 2000 {
		trickle = append(trickle, standin.Step{Pause: 5 * time.Millisecond}, standin.Step{Send: "x"})
	}
	s := standin.NewScripted(t, trickle)
	r := newRig(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.DeadlineVariable = "HTTP_X_DEADLINE_MS" })
	got, err := r.ask(t, standin.Script{{Send: standin.Packet(t, "", at("/write", [2]string{"HTTP_X_DEADLINE_MS", "200"})...)}})
	if !errors.Is(err, syscall.ECONNRESET) || !strings.HasPrefix(got, "HTTP/1.1 200 ") || r.Totals().Broken != 1 {
		t.Errorf("%d bytes, %v; %+v", len(got), err, r.Totals())
	}
	standin.WaitFor(t, "all is over", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && len(s.Got()) == 1 })
}

// TestNoDescriptors: when the daemon can open no more, what streams goes on, what comes is answered, and nothing is held against the servers.
func TestNoDescriptors(t *testing.T) {
	hold := make(chan struct{})
	s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\nfirst"}, {Wait: hold}, {Send: ", last"}})
	r := newRig(t, []string{s.Address}, nil)
	stream := r.dial(t)
	if got, err := (standin.Script{{Send: standin.Packet(t, "", at("/")...)}, {Until: "first"}}).Play(stream); err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	next := r.dial(t)
	standin.WaitFor(t, "the next one is seated", func() bool { return r.OpenConnections() == 2 })
	var was syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	none := was
	none.Cur = 0 // what is open stays open
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	got, err := func() (string, error) {
		defer func() {
			if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &was); err != nil {
				t.Error(err)
			}
		}()
		if _, err := io.WriteString(next, standin.Packet(t, "", at("/write")...)); err != nil {
			return "", err
		}
		b, err := io.ReadAll(next)
		return string(b), err
	}()
	if !strings.HasPrefix(got, "HTTP/1.1 502 ") || err != nil {
		t.Errorf("without descriptors: %q, %v", got, err)
	}
	if e := r.pool.Servers()[0]; e.ConsecutiveFailures != 0 || e.State != balancer.StateHealthy {
		t.Errorf("held against the server: %+v", e)
	}
	close(hold)
	if rest, err := io.ReadAll(stream); string(rest) != ", last" || err != nil {
		t.Errorf("what streamed: %q, %v", rest, err)
	}
}

// TestWindows: bodies beyond what may be here of all together are refused with when to come back, before they are read, and
// there is room again when others are over.
func TestWindows(t *testing.T) {
	hold := make(chan struct{})
	s := standin.NewScripted(t, standin.Script{{Until: "0123456789"}, {Wait: hold}, {Send: fine}})
	r := newRig(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.Limits.TotalBodyWindowBytes = 15 })
	post := standin.Packet(t, "0123456789", at("/write", length(10))...)
	first := r.dial(t)
	if _, err := io.WriteString(first, post); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "it runs", func() bool { return s.Connections() == 1 })
	if got, err := r.ask(t, standin.Script{{Send: post}}); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "\r\nRetry-After: 1\r\n") || err != nil {
		t.Errorf("a second body: %q, %v", got, err)
	}
	if got, err := r.ask(t, standin.Script{{Send: standin.Packet(t, "", at("/none")...)}}); !strings.HasPrefix(got, "HTTP/1.1 404 ") || err != nil {
		t.Errorf("one without a body: %q, %v", got, err)
	}
	close(hold)
	if got, err := io.ReadAll(first); string(got) != fine || err != nil {
		t.Errorf("the first: %q, %v", got, err)
	}
	standin.WaitFor(t, "it is over", func() bool { return r.OpenConnections() == 0 })
	if got, err := r.ask(t, standin.Script{{Send: post}}); got != fine || err != nil {
		t.Errorf("a third: %q, %v", got, err)
	}
}

// TestSilentServer: one that accepts and says nothing costs a request its own time and no more, and is left out.
func TestSilentServer(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "never"}})
	good := standin.NewScripted(t, reply("/write", fine))
	r := newRig(t, []string{s.Address, good.Address}, func(o *Options, p *PoolOptions) {
		o.DeadlineVariable, p.Balancer.FailureThreshold = "HTTP_X_DEADLINE_MS", 1
	})
	late := false
	for range 2 { // one of the two meets the silent server
		got, err := r.ask(t, standin.Script{{Send: standin.Packet(t, "", at("/write", [2]string{"HTTP_X_DEADLINE_MS", "300"})...)}})
		if late = strings.HasPrefix(got, "HTTP/1.1 50") && err == nil; late {
			break
		}
		if got != fine || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
	if !late {
		t.Error("nobody met the silent server")
	}
	standin.WaitFor(t, "it is left out", func() bool {
		return slices.ContainsFunc(r.pool.Servers(), func(e balancer.Server) bool {
			return e.Name == s.Address && (e.State == balancer.StateEjected || e.State == balancer.StateProbing)
		})
	})
	for range 5 { // with all the time there is: who met it again would wait for it
		if got, err := r.ask(t, standin.Script{{Send: standin.Packet(t, "", at("/write")...)}}); got != fine || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
}

// TestStopped: a server that has said nothing by the time at which the core stops its run is held to have failed, if the client still waits.
func TestStopped(t *testing.T) {
	ln := standin.Listen(t)
	read := make(chan struct{})
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { conn.Close() })
		if _, err := conn.Read(make([]byte, 4096)); err == nil {
			close(read) // stopped before that, it would not have been asked: nothing would be held against it
		}
	}()
	r := newRig(t, []string{ln.Addr().String()}, nil)
	c := r.dial(t)
	if _, err := io.WriteString(c, standin.Packet(t, "", at("/write")...)); err != nil {
		t.Fatal(err)
	}
	select {
	case <-read:
	case <-time.After(standin.Patience):
		t.Fatal("the server got nothing")
	}
	standin.WaitFor(t, "it runs", func() bool { return len(r.runs()) == 1 })
	for id := range r.runs() {
		r.pool.Stop(id)
	}
	if got, err := io.ReadAll(c); !strings.HasPrefix(string(got), "HTTP/1.1 502 ") || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	standin.WaitFor(t, "the server is blamed", func() bool { return r.pool.Servers()[0].ConsecutiveFailures == 1 })
}

// TestGivesUpAsTheAnswerComes: clients that leave at the instant at which their answer is ready leave nothing behind.
func TestGivesUpAsTheAnswerComes(t *testing.T) {
	s := standin.NewScripted(t, reply("/", fine))
	r := newRig(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.HalfCloseCancels = true })
	goroutines, descriptors := runtime.NumGoroutine(), openFiles(t)
	for i := range 300 {
		c := r.dial(t)
		if _, err := io.WriteString(c, standin.Packet(t, "", at("/")...)); err != nil {
			t.Fatal(err)
		}
		for range i * 20 { // ever a little later, past the moment of the answer
			runtime.Gosched()
		}
		c.Close()
	}
	standin.WaitFor(t, "all is over", func() bool {
		_, hand, _ := r.node.Totals()
		return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && hand == 0 && len(s.Got()) == s.Connections()
	})
	standin.WaitFor(t, "nothing is left", func() bool { return runtime.NumGoroutine() <= goroutines && openFiles(t) <= descriptors })
	if got, err := r.ask(t, standin.Script{{Send: standin.Packet(t, "", at("/")...)}}); got != fine || err != nil {
		t.Errorf("the next one: %q, %v", got, err)
	}
}

// openFiles is the number of open descriptors.
func openFiles(t *testing.T) int {
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("descriptors can't be counted here")
	}
	return len(names)
}

// TestLeaveWhileHundredsStream: at the end of a drain all of them are broken off, and nothing is owed or open.
func TestLeaveWhileHundredsStream(t *testing.T) {
	const n = 300
	s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\nfirst"}, {Until: "never"}})
	r := newRigOn(t, 2*n, []string{s.Address}, func(o *Options, p *PoolOptions) { o.Limits.UwsgiConnections, p.Balancer.MaxConcurrency = n, n })
	goroutines := runtime.NumGoroutine()
	conns := make([]net.Conn, n)
	for i := range conns {
		conns[i] = r.dial(t)
		if got, err := (standin.Script{{Send: standin.Packet(t, "", at("/")...)}, {Until: "first"}}).Play(conns[i]); err != nil {
			t.Fatalf("%d: %q, %v", i, got, err)
		}
	}
	r.node.Drain(time.Now(), r.limits.KillMargin, false)
	for i, c := range conns {
		if rest, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%d ended with %q, %v", i, rest, err)
		}
		c.Close()
	}
	standin.WaitFor(t, "all is over", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && r.Totals().Broken == n })
	r.node.Sweep()
	for id := range r.runs() { // a stop of the process would end them
		r.pool.Stop(id)
	}
	standin.WaitFor(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// runs are the ids of what the pool runs.
func (r *rig) runs() map[string]bool {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	ids := map[string]bool{}
	for id := range r.pool.runs {
		ids[id] = true
	}
	return ids
}

// TestSeededFaults: whatever servers do, by seed, each client gets at most one answer, a good one whole; nothing that must not run twice gets to two
// servers; and nothing is left.
func TestSeededFaults(t *testing.T) {
	const seeds = 200
	served := 0
	for seed := range uint64(seeds) {
		path, key := []string{"/", "/book", "/write"}[seed%3], [2]string{"HTTP_IDEMPOTENCY_KEY", "k"}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 50000, strings.Repeat("r", 50000))
		if seed%2 == 0 {
			response = fine
		}
		a := standin.NewScripted(t, standin.Faulty(seed, "hello", response))
		b := standin.NewScripted(t, standin.Faulty(seed+1000, "hello", response))
		r := newRig(t, []string{a.Address, b.Address}, nil)
		got, err := r.ask(t, standin.Script{{Send: standin.Packet(t, "hello", at(path, length(5), key)...), Split: seed%5 == 0}})
		switch whole := got == response && err == nil; {
		case whole:
			served++
		case strings.HasPrefix(got, "HTTP/1.1 50") && err == nil:
		case strings.HasPrefix(response, got) && errors.Is(err, syscall.ECONNRESET):
		default:
			t.Errorf("seed %d: %d bytes, %v: %.80q", seed, len(got), err, got)
		}
		standin.WaitFor(t, "all is over", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 })
		if n := a.Connections() + b.Connections(); path != "/" && n > 1 {
			t.Errorf("seed %d: what must not run twice went to %d servers", seed, n)
		}
		r.pool.Close()
	}
	if served == 0 || served == seeds {
		t.Errorf("%d of %d were served", served, seeds)
	}
}

// TestSlowReader: a client that takes nothing of a large response loses it in time, and its server is let go.
func TestSlowReader(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Send: "HTTP/1.1 200 OK\r\n\r\n"}, {Flood: 64 << 20}})
	r := newRig(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.Limits.WriteTimeout = 50 * time.Millisecond })
	c := r.dial(t)
	if _, err := io.WriteString(c, standin.Packet(t, "", at("/")...)); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "it is broken off", func() bool { return r.Totals().Broken == 1 && r.OpenConnections() == 0 && len(s.Got()) == 1 })
	if e := r.pool.Servers()[0]; e.ConsecutiveFailures != 0 || e.InFlight != 0 {
		t.Errorf("held against the server: %+v", e)
	}
}

// TestProbe: a server that was down is pinged, and gets work again once it answers.
func TestProbe(t *testing.T) {
	address := standin.Free(t)
	other := standin.NewScripted(t, reply("/", fine))
	r := newRig(t, []string{address, other.Address}, func(_ *Options, p *PoolOptions) {
		p.Balancer.FailureThreshold, p.Balancer.BaseEjectionTime = 1, time.Millisecond
	})
	get := standin.Script{{Send: standin.Packet(t, "", at("/")...)}}
	standin.WaitFor(t, "it is left out", func() bool {
		if got, err := r.ask(t, get); got != fine || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
		return r.pool.Servers()[0].ConsecutiveFailures+r.pool.Servers()[1].ConsecutiveFailures > 0
	})
	again, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("the port was taken meanwhile")
	}
	defer again.Close()
	pinged := make(chan string, 100)
	go func() {
		for {
			c, err := again.Accept()
			if err != nil {
				return
			}
			head := make([]byte, 4)
			io.ReadFull(c, head)
			pinged <- string(head)
			io.WriteString(c, "\x64\x00\x00\x01")
			c.Close()
		}
	}()
	if got := <-pinged; got != "\x64\x00\x00\x00" {
		t.Errorf("the probe was %q", got)
	}
	standin.WaitFor(t, "it is in", func() bool {
		for _, s := range r.pool.Servers() {
			if s.Name == address {
				return s.State == balancer.StateWarmingUp || s.State == balancer.StateHealthy
			}
		}
		return false
	})
}

// TestEndpoints: the front and the pool on Unix sockets and with TLS on both sides.
func TestEndpoints(t *testing.T) {
	dir := t.TempDir()
	a := standin.NewAuthority(t)
	cert, key, ca := a.Issue(t, dir, "node", "node.test", time.Now().Add(100*time.Hour))
	keys, err := tlskeys.Load(tlskeys.Files{Cert: cert, Key: key, CA: ca}, standin.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range []string{"unix:" + filepath.Join(dir, "s"), "suwsgi://127.0.0.1:0"} {
		below, err := endpoint.Parse(address)
		if err != nil {
			t.Fatal(err)
		}
		ln, err := below.Listen(0o600, keys)
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() { defer c.Close(); reply("body", fine).Play(c) }()
			}
		}()
		if below.TLS {
			address = "suwsgi://" + ln.Addr().String()
		}
		r := newRig(t, []string{address}, func(_ *Options, p *PoolOptions) { p.Keys, p.ServerName = keys, "node.test" })
		up := below
		up.Address = filepath.Join(dir, "front")
		if up.TLS {
			up.Address = "127.0.0.1:0"
		}
		front, err := up.Listen(0o600, keys)
		if err != nil {
			t.Fatal(err)
		}
		defer front.Close()
		go r.Serve(front)
		if up.TLS {
			up.Address = front.Addr().String()
		}
		c, err := up.Dial(context.Background(), keys, "node.test")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, standin.Packet(t, "body", at("/write", length(4))...)); err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, []byte(fine)) {
			t.Errorf("%s: %q, %v", address, got, err)
		}
	}
}
