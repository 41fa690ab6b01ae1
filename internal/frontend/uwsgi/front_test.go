package uwsgi

import (
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/testing/standin"
)

func TestResponseBytes(t *testing.T) {
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

// TestClients: what clients send, valid or not, gets one response, and nothing invalid reaches a server.
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
			r := newHarness(t, []string{s.Address}, c.change)
			defer close(hold)
			got, err := r.request(t, standin.Script{{Send: c.in, Split: c.split}, {Half: true}})
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

// TestClientDisconnects at each offset of a request in fragments: nothing is left open, and half a body never looks whole to a server.
func TestClientDisconnects(t *testing.T) {
	whole := standin.Packet(t, "hello", at("/write", length(5))...)
	s := standin.NewScripted(t, standin.Script{{Until: "hello"}, {Send: fine}})
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) {
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
	standin.WaitFor(t, "the servers' connections are over", func() bool { return len(s.Received()) == s.Connections() })
	for _, got := range s.Received() {
		if strings.HasSuffix(got, "hello") {
			t.Errorf("a server got the whole of a request of which no client sent it: %q", got)
		}
	}
	standin.WaitFor(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// TestHalfClose: a client that ends its sending side is still answered, unless the configuration says that it has disconnected.
func TestHalfClose(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		hold := make(chan struct{})
		s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Wait: hold}, {Send: fine}})
		r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.HalfCloseCancels = leaves })
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

// TestSlowClients: half a head and half a body time out, each with status 408.
func TestSlowClients(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "never"}})
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) {
		o.Limits.MessageTimeout, o.Limits.BodyIdleTimeout = 30*time.Millisecond, 30*time.Millisecond
	})
	for _, in := range []string{"\x00\x05", standin.Packet(t, "he", at("/", length(5))...), standin.Packet(t, "he", at("/book", length(5), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...)} {
		got, err := r.request(t, standin.Script{{Send: in}})
		if !strings.HasPrefix(got, "HTTP/1.1 408 ") || err != nil {
			t.Errorf("%q: %q, %v", in, got, err)
		}
	}
}

// TestMaxConnectionsPerHost: one host has at most MaxConnectionsPerHost connections.
func TestMaxConnectionsPerHost(t *testing.T) {
	r := newHarness(t, nil, func(o *Options, _ *PoolOptions) { o.MaxConnectionsPerHost = 2; o.Limits.MessageTimeout = time.Minute })
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

// TestRequestTimes: OnRequestDone is called once for each request, with all its attempts.
func TestRequestTimes(t *testing.T) {
	bad := standin.NewScripted(t, standin.Script{{Until: "/"}})
	good := standin.NewScripted(t, reply("/", fine))
	times := make(chan RequestTimes, 9)
	r := newHarness(t, []string{bad.Address, good.Address}, func(o *Options, _ *PoolOptions) { o.OnRequestDone = func(x RequestTimes) { times <- x } })
	if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", at("/", [2]string{"HTTP_TRACEPARENT", "p"})...)}}); got != fine || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	x := <-times
	last, ran := x.Run.LastAttempt()
	if x.Outcome != "served" || x.TraceParent != "p" || !ran || len(x.Run.Attempts) != 2 || x.Run.Attempts[0].Failure == "" || last.Failure != "" || last.Server != good.Address ||
		x.Run.Outcome != "ok" || last.FirstByteAt.Before(last.ConnectedAt) || x.AnsweredAt.Before(x.Run.DoneAt) || len(times) > 0 {
		t.Errorf("%+v", x)
	}
	if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", at("/none")...)}}); !strings.HasPrefix(got, "HTTP/1.1 404 ") || err != nil || len(times) > 0 {
		t.Errorf("one that the core was not asked about: %q, %v, %d", got, err, len(times))
	}
}

// TestBodyBudget: bodies beyond the budget of all bodies are rejected with Retry-After before they are read, and are
// admitted again when others have ended.
func TestBodyBudget(t *testing.T) {
	hold := make(chan struct{})
	s := standin.NewScripted(t, standin.Script{{Until: "0123456789"}, {Wait: hold}, {Send: fine}})
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.Limits.TotalBodyWindowBytes = 15 })
	post := standin.Packet(t, "0123456789", at("/write", length(10))...)
	first := r.dial(t)
	if _, err := io.WriteString(first, post); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "it runs", func() bool { return s.Connections() == 1 })
	if got, err := r.request(t, standin.Script{{Send: post}}); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "\r\nRetry-After: 1\r\n") || err != nil {
		t.Errorf("a second body: %q, %v", got, err)
	}
	if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", at("/none")...)}}); !strings.HasPrefix(got, "HTTP/1.1 404 ") || err != nil {
		t.Errorf("one without a body: %q, %v", got, err)
	}
	close(hold)
	if got, err := io.ReadAll(first); string(got) != fine || err != nil {
		t.Errorf("the first: %q, %v", got, err)
	}
	standin.WaitFor(t, "it is over", func() bool { return r.OpenConnections() == 0 })
	if got, err := r.request(t, standin.Script{{Send: post}}); got != fine || err != nil {
		t.Errorf("a third: %q, %v", got, err)
	}
}
