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

// TestClientInputGetsOneResponse checks that valid and invalid input from clients gets one response, and that no invalid request
// reaches a server.
func TestClientInputGetsOneResponse(t *testing.T) {
	get := standin.Packet(t, "", requestVars("/")...)
	for _, c := range []struct {
		name, in string
		split    bool
		change   func(o *Options, p *PoolOptions)
		want     string // start of the response
		server   string // end of the input that the server gets; empty: the server gets no request
	}{
		{"no body", get, false, nil, okResponse, "/"},
		{"byte by byte", standin.Packet(t, "hello", requestVars("/", contentLength(5))...), true, nil, okResponse, "hello"},
		{"body with a length", standin.Packet(t, "hello", requestVars("/", contentLength(5))...), false, nil, okResponse, "hello"},
		{"keyed body", standin.Packet(t, "hello", requestVars("/book", contentLength(5), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), false, nil, okResponse, "hello"},
		{"chunked body", standin.Packet(t, "5\r\nhello\r\n0\r\n\r\n", requestVars("/", chunkedEncoding)...), false, nil, okResponse,
			"hello\r\n0\r\n\r\n"},
		{"chunked keyed body", standin.Packet(t, "5\r\nhello\r\n0\r\n\r\n", requestVars("/book", chunkedEncoding, [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), true, nil, okResponse, "\r\n0\r\n\r\n"},
		{"ping", "\x64\x00\x00\x00", false, nil, "\x64\x00\x00\x01", ""},
		{"ping while unhealthy", "\x64\x00\x00\x00", false, func(o *Options, _ *PoolOptions) { o.Healthy = func() bool { return false } }, "", ""},
		{"ping with data", "\x64\x01\x00\x00x", false, nil, "HTTP/1.1 400 ", ""},
		{"modifier1 that is not served", "\x05" + get[1:], false, nil, "HTTP/1.1 400 ", ""},
		{"another modifier1 that is served", "\x05" + get[1:], false,
			func(o *Options, _ *PoolOptions) { o.Modifiers = []byte{5} }, okResponse, "/"},
		{"spooler packet", "\x11" + get[1:], false, nil, "HTTP/1.1 400 ", ""},
		{"HTTP instead of uwsgi", "GET / HTTP/1.1\r\n\r\n", false, nil, "HTTP/1.1 400 ", ""},
		{"unknown path", standin.Packet(t, "", requestVars("/none")...), false, nil, "HTTP/1.1 404 ", ""},
		{"oversize variables", "\x00\xff\xff\x00", false, nil, "HTTP/1.1 413 ", ""},
		{"oversize body", standin.Packet(t, "", requestVars("/", contentLength(2<<20))...), false, nil, "HTTP/1.1 413 ", ""},
		{"oversize keyed body", standin.Packet(t, "", requestVars("/book", contentLength(1<<20), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), false, nil, "HTTP/1.1 413 ", ""},
		{"length and chunked", standin.Packet(t, "0\r\n\r\n", requestVars("/", contentLength(5), chunkedEncoding)...), false, nil,
			"HTTP/1.1 400 ", ""},
		{"malformed chunks", standin.Packet(t, "x\r\n", requestVars("/book", chunkedEncoding, [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), false, nil, "HTTP/1.1 400 ", ""},
		{"bytes after a keyed body", standin.Packet(t, "hello"+get, requestVars("/book", contentLength(5),
			[2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...), false, nil, "HTTP/1.1 400 ", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			hold := make(chan struct{})
			end := c.server
			if end == "" {
				end = "\x00never"
			}
			s := standin.NewScripted(t, replyAfter(end, okResponse))
			r := newHarness(t, []string{s.Address}, c.change)
			defer close(hold)
			got, err := r.request(t, standin.Script{{Send: c.in, Split: c.split}, {Half: true}})
			if err != nil || !strings.HasPrefix(got, c.want) || strings.Count(got, "HTTP/1.1 ") > 1 {
				t.Errorf("got %q, %v; want %q", got, err, c.want)
			}
			if c.name == "bytes after a keyed body" {
				return // the bytes may arrive after the run has started: then they are rejected, but the request has reached the server
			}
			if n := s.Connections(); n != 0 == (c.server == "") {
				t.Errorf("%d connections to the server, want none only if the input is rejected", n)
			}
		})
	}
}

// TestDisconnectAtEachOffset disconnects at each offset of a request: nothing may be leaked, and no server may take a truncated
// body for a complete one.
func TestDisconnectAtEachOffset(t *testing.T) {
	packetBytes := standin.Packet(t, "hello", requestVars("/write", contentLength(5))...)
	s := standin.NewScripted(t, standin.Script{{Until: "hello"}, {Send: okResponse}})
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) {
		o.HalfCloseCancels = true
		o.Limits.UwsgiConnections = len(packetBytes) // on a slow machine all are open at once, and none may be evicted
	})
	goroutines := runtime.NumGoroutine()
	for n := range len(packetBytes) {
		c := r.dial(t)
		if _, err := io.WriteString(c, packetBytes[:n]); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	standin.WaitFor(t, "all connections have ended", func() bool {
		return r.OpenConnections() == 0 && r.node.Unanswered() == 0 && r.Totals().Left == len(packetBytes)
	})
	standin.WaitFor(t, "all connections to the server have ended", func() bool { return len(s.Received()) == s.Connections() })
	for _, got := range s.Received() {
		if strings.HasSuffix(got, "hello") {
			t.Errorf("the server got a complete request, which no client sent: %q", got)
		}
	}
	standin.WaitFor(t, "all goroutines have ended", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// TestHalfClosingClientGetsResponse checks that a client that ends its sending side still gets its response, unless
// HalfCloseCancels is set.
func TestHalfClosingClientGetsResponse(t *testing.T) {
	for _, halfCloseCancels := range []bool{false, true} {
		hold := make(chan struct{})
		s := standin.NewScripted(t, standin.Script{{Until: "/"}, {Wait: hold}, {Send: okResponse}})
		r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.HalfCloseCancels = halfCloseCancels })
		c := r.dial(t)
		if _, err := (standin.Script{{Send: standin.Packet(t, "", requestVars("/")...)}, {Half: true}}).Play(c); err != nil {
			t.Fatal(err)
		}
		if halfCloseCancels {
			standin.WaitFor(t, "the client counts as disconnected", func() bool { return r.Totals().Left == 1 })
		} else {
			standin.WaitFor(t, "the request runs", func() bool { return s.Connections() == 1 })
		}
		close(hold)
		got, err := io.ReadAll(c)
		if want := map[bool]string{false: okResponse}[halfCloseCancels]; string(got) != want || err != nil {
			t.Errorf("HalfCloseCancels %v: %q, %v", halfCloseCancels, got, err)
		}
	}
}

// TestSlowClientsTimeOut checks that an incomplete head and incomplete bodies time out with status 408.
func TestSlowClientsTimeOut(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "never"}})
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) {
		o.Limits.MessageTimeout, o.Limits.BodyIdleTimeout = 30*time.Millisecond, 30*time.Millisecond
	})
	for _, in := range []string{"\x00\x05", standin.Packet(t, "he", requestVars("/", contentLength(5))...), standin.Packet(t, "he", requestVars("/book", contentLength(5), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...)} {
		got, err := r.request(t, standin.Script{{Send: in}})
		if !strings.HasPrefix(got, "HTTP/1.1 408 ") || err != nil {
			t.Errorf("%q: %q, %v", in, got, err)
		}
	}
}

// TestMaxConnectionsPerHost checks that a host gets at most MaxConnectionsPerHost connections.
func TestMaxConnectionsPerHost(t *testing.T) {
	r := newHarness(t, nil, func(o *Options, _ *PoolOptions) { o.MaxConnectionsPerHost = 2; o.Limits.MessageTimeout = time.Minute })
	for range 2 {
		c := r.dial(t)
		if _, err := c.Write([]byte{0}); err != nil {
			t.Fatal(err)
		}
	}
	standin.WaitFor(t, "both connections have slots", func() bool { return r.OpenConnections() == 2 })
	if got, _ := io.ReadAll(r.dial(t)); len(got) != 0 || r.Totals().Crowded != 1 {
		t.Errorf("the third connection got %q, want it closed and counted", got)
	}
}

// TestRequestTimes checks that OnRequestDone is called once for each submitted request, with all its attempts.
func TestRequestTimes(t *testing.T) {
	bad := standin.NewScripted(t, standin.Script{{Until: "/"}})
	good := standin.NewScripted(t, replyAfter("/", okResponse))
	times := make(chan RequestTimes, 9)
	r := newHarness(t, []string{bad.Address, good.Address}, func(o *Options, _ *PoolOptions) { o.OnRequestDone = func(x RequestTimes) { times <- x } })
	if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", requestVars("/", [2]string{"HTTP_TRACEPARENT", "p"})...)}}); got != okResponse || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	got := <-times
	last, ran := got.Run.LastAttempt()
	if got.Outcome != "served" || got.TraceParent != "p" || !ran || len(got.Run.Attempts) != 2 || got.Run.Attempts[0].Failure == "" || last.Failure != "" || last.Server != good.Address ||
		got.Run.Outcome != "ok" || last.FirstByteAt.Before(last.ConnectedAt) || got.AnsweredAt.Before(got.Run.DoneAt) || len(times) > 0 {
		t.Errorf("%+v", got)
	}
	if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", requestVars("/none")...)}}); !strings.HasPrefix(got, "HTTP/1.1 404 ") || err != nil || len(times) > 0 {
		t.Errorf("request that was not submitted: got %q, %v, %d calls of OnRequestDone", got, err, len(times))
	}
}

// TestBodiesBeyondBudgetAreRejected checks that requests whose bodies exceed the budget for all bodies are rejected with
// Retry-After before their bodies are read, and that such requests are admitted again once others have ended.
func TestBodiesBeyondBudgetAreRejected(t *testing.T) {
	hold := make(chan struct{})
	s := standin.NewScripted(t, standin.Script{{Until: "0123456789"}, {Wait: hold}, {Send: okResponse}})
	r := newHarness(t, []string{s.Address}, func(o *Options, _ *PoolOptions) { o.Limits.TotalBodyWindowBytes = 15 })
	post := standin.Packet(t, "0123456789", requestVars("/write", contentLength(10))...)
	first := r.dial(t)
	if _, err := io.WriteString(first, post); err != nil {
		t.Fatal(err)
	}
	standin.WaitFor(t, "the first request runs", func() bool { return s.Connections() == 1 })
	if got, err := r.request(t, standin.Script{{Send: post}}); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "\r\nRetry-After: 1\r\n") || err != nil {
		t.Errorf("request over the budget got %q, %v, want a 503 with Retry-After", got, err)
	}
	if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", requestVars("/none")...)}}); !strings.HasPrefix(got, "HTTP/1.1 404 ") || err != nil {
		t.Errorf("request without a body got %q, %v", got, err)
	}
	close(hold)
	if got, err := io.ReadAll(first); string(got) != okResponse || err != nil {
		t.Errorf("the first request got %q, %v", got, err)
	}
	standin.WaitFor(t, "the first connection has ended", func() bool { return r.OpenConnections() == 0 })
	if got, err := r.request(t, standin.Script{{Send: post}}); got != okResponse || err != nil {
		t.Errorf("request after the first one ended got %q, %v", got, err)
	}
}
