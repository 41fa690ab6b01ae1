package uwsgi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/platform/tlskeys"
	"sloehitch/internal/testing/standin"
)

// TestServerResponsesReachClient checks what a client gets from servers that behave correctly or not.
func TestServerResponsesReachClient(t *testing.T) {
	big := strings.Repeat("x", 200<<10)
	long := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(big))
	for _, c := range []struct {
		name, path string
		scripts    []standin.Script
		want       string
		reset      bool // the client sees the connection reset
		attempts   int
	}{
		{"complete response", "/", []standin.Script{replyAfter("body", okResponse)}, okResponse, false, 1},
		{"body until the connection is closed", "/", []standin.Script{replyAfter("body", "HTTP/1.0 200 OK\r\n\r\nhello")},
			"HTTP/1.0 200 OK\r\n\r\nhello", false, 1},
		{"CGI response", "/", []standin.Script{replyAfter("body", "Status: 201 Made\r\n\r\nhello")}, "Status: 201 Made\r\n\r\nhello", false, 1},
		{"chunked response", "/",
			[]standin.Script{replyAfter("body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")},
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false, 1},
		{"response byte by byte", "/", []standin.Script{{{Until: "body"}, {Send: okResponse, Split: true}}}, okResponse, false, 1},
		{"interim heads are dropped", "/", []standin.Script{replyAfter("body", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"+okResponse)}, okResponse, false, 1},
		{"large response", "/", []standin.Script{replyAfter("body", long+big)}, long + big, false, 1},
		{"large response to a keyed request", "/book", []standin.Script{replyAfter("body", long+big)}, long + big, false, 1},
		{"response before the request is read", "/", []standin.Script{{{Send: okResponse}}}, okResponse, false, 1},
		{"early response and reset", "/write", []standin.Script{{{Read: 10}, {Send: okResponse}, {Wait: closedChan}, {Read: 1}}},
			okResponse, false, 1},
		{"idempotent request is retried", "/", []standin.Script{{{Until: "body"}}, replyAfter("body", okResponse)}, okResponse, false, 2},
		{"request that is not idempotent is not retried", "/write", []standin.Script{{{Until: "body"}}, replyAfter("body", okResponse)},
			"HTTP/1.1 502 ", false, 1},
		{"keyed request is not retried", "/book", []standin.Script{{{Until: "body"}}, replyAfter("body", okResponse)}, "HTTP/1.1 502 ", false, 1},
		{"truncated head", "/write", []standin.Script{replyAfter("body", "HTTP/1.1 200 OK\r\nA:")}, "HTTP/1.1 502 ", false, 1},
		{"truncated buffered body", "/write", []standin.Script{replyAfter("body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell")}, "HTTP/1.1 502 ", false, 1},
		{"truncated streamed body", "/", []standin.Script{replyAfter("body", long+big[1:])}, long, true, 1},
		{"truncated chunked body", "/", []standin.Script{replyAfter("body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")},
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true, 1},
		{"malformed chunks", "/", []standin.Script{{{Until: "body"}, {Send: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}, {Send: "5\r\nhellohello"}}},
			"", true, -1},
		{"length and chunked", "/write", []standin.Script{replyAfter("body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")}, "HTTP/1.1 502 ", false, 1},
		{"two responses", "/write", []standin.Script{replyAfter("body", okResponse+okResponse)}, "HTTP/1.1 502 ", false, 1},
		{"garbage", "/write", []standin.Script{replyAfter("body", "\x00\x01\x02\r\n\r\n")}, "HTTP/1.1 502 ", false, 1},
		{"oversize head", "/write", []standin.Script{{{Until: "body"}, {Send: "HTTP/1.1 200 OK\r\nA: "}, {Flood: 1 << 20}}}, "HTTP/1.1 502 ", false, 1},
		{"oversize response to a keyed request", "/book", []standin.Script{{{Until: "body"}, {Send: "HTTP/1.1 200 OK\r\n\r\n"}, {Flood: 4 << 20}}}, "HTTP/1.1 502 ", false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := standin.NewScripted(t, c.scripts...)
			other := standin.NewScripted(t, c.scripts[len(c.scripts)-1])
			servers := []string{s.Address}
			if len(c.scripts) > 1 {
				servers = append(servers, other.Address)
			}
			r := newHarness(t, servers, nil)
			got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "body", requestVars(c.path, contentLength(4), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...)}})
			if !strings.HasPrefix(got, c.want) || !c.reset && (len(got) != len(c.want) && !strings.HasSuffix(c.want, " ")) || strings.Count(got, "HTTP/1.") > 1 {
				t.Errorf("got %.200q (%d bytes), want %.200q (%d)", got, len(got), c.want, len(c.want))
			}
			if broken := errors.Is(err, syscall.ECONNRESET); broken != c.reset && c.attempts >= 0 || err != nil && !broken {
				t.Errorf("the connection ended with %v, want a reset: %v", err, c.reset)
			}
			if n := s.Connections() + other.Connections(); c.attempts >= 0 && n != c.attempts {
				t.Errorf("%d attempts, want %d", n, c.attempts)
			}
			standin.WaitFor(t, "all connections and requests have ended", func() bool {
				return r.OpenConnections() == 0 && r.node.Unanswered() == 0
			})
		})
	}
}

// TestPoolAvoidsFailedServersAndQueues checks that requests avoid servers that are down, fail if no server is left, and queue for
// a server at its limit.
func TestPoolAvoidsFailedServersAndQueues(t *testing.T) {
	downAddress := standin.FreeAddress(t)
	s := standin.NewScripted(t, replyAfter("/", okResponse))
	get := standin.Script{{Send: standin.Packet(t, "", requestVars("/write")...)}}
	r := newHarness(t, []string{downAddress, s.Address}, nil)
	for range 8 {
		if got, err := r.request(t, get); got != okResponse || err != nil {
			t.Errorf("with one of two servers down: %q, %v", got, err)
		}
	}
	for _, e := range r.pool.Servers() {
		if e.Name != s.Address && e.ConsecutiveFailures == 0 {
			t.Errorf("no failure was counted for the server that is down: %+v", e)
		}
	}
	if err := r.pool.SetServers([]string{downAddress}); err != nil {
		t.Fatal(err)
	}
	if got, err := r.request(t, get); !strings.HasPrefix(got, "HTTP/1.1 502 ") || err != nil {
		t.Errorf("with all servers down: %q, %v, want a 502", got, err)
	}
	if err := r.pool.SetServers([]string{"nonsense"}); err == nil {
		t.Error("SetServers accepted an invalid address")
	}
	release := make(chan struct{})
	limited := standin.NewScripted(t, standin.Script{{Until: "/write"}, {Wait: release}, {Send: okResponse}})
	r = newHarness(t, []string{limited.Address}, func(_ *Options, p *PoolOptions) { p.Balancer.MaxConcurrency = 1 })
	answers := make(chan string, 3)
	for range 3 {
		go func() {
			got, _ := r.request(t, get)
			answers <- got
		}()
	}
	standin.WaitFor(t, "two requests are queued",
		func() bool { r.pool.mu.Lock(); defer r.pool.mu.Unlock(); return r.pool.balancer.QueueLength() == 2 })
	// The server is assigned before it sees the connection.
	standin.WaitFor(t, "one request runs", func() bool { return limited.Connections() > 0 })
	if n := limited.Connections(); n != 1 {
		t.Errorf("%d concurrent requests on a server with MaxConcurrency 1", n)
	}
	close(release)
	for range 3 {
		if got := <-answers; got != okResponse {
			t.Errorf("a queued request got %q", got)
		}
	}
}

// TestSilentServerIsEjected checks that a server that accepts connections and sends nothing delays a request only until its
// deadline, and is ejected.
func TestSilentServerIsEjected(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "never"}})
	good := standin.NewScripted(t, replyAfter("/write", okResponse))
	r := newHarness(t, []string{s.Address, good.Address}, func(o *Options, p *PoolOptions) {
		o.DeadlineVariable, p.Balancer.FailureThreshold = "HTTP_X_DEADLINE_MS", 1
	})
	timedOut := false
	for range 2 { // one of the two requests is sent to the silent server
		got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", requestVars("/write", [2]string{"HTTP_X_DEADLINE_MS", "300"})...)}})
		if timedOut = strings.HasPrefix(got, "HTTP/1.1 50") && err == nil; timedOut {
			break
		}
		if got != okResponse || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
	if !timedOut {
		t.Error("no request reached the silent server")
	}
	standin.WaitFor(t, "the silent server is ejected", func() bool {
		return slices.ContainsFunc(r.pool.Servers(), func(e balancer.Server) bool {
			return e.Name == s.Address && (e.State == balancer.StateEjected || e.State == balancer.StateProbing)
		})
	})
	for range 5 { // without a deadline: a request sent to the silent server would hang
		if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", requestVars("/write")...)}}); got != okResponse || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
}

// TestStoppedRunCountsAsServerFailure checks that a server that has sent nothing by the time the node stops the run counts as
// failed, if the client is still waiting.
func TestStoppedRunCountsAsServerFailure(t *testing.T) {
	ln := standin.Listen(t)
	read := make(chan struct{})
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { conn.Close() })
		if _, err := conn.Read(make([]byte, 4096)); err == nil {
			close(read) // a run stopped before this does not count as failed
		}
	}()
	r := newHarness(t, []string{ln.Addr().String()}, nil)
	c := r.dial(t)
	if _, err := io.WriteString(c, standin.Packet(t, "", requestVars("/write")...)); err != nil {
		t.Fatal(err)
	}
	select {
	case <-read:
	case <-time.After(standin.WaitTimeout):
		t.Fatal("the server got no request")
	}
	standin.WaitFor(t, "the request runs", func() bool { return len(r.runs()) == 1 })
	for id := range r.runs() {
		r.pool.Stop(id)
	}
	if got, err := io.ReadAll(c); !strings.HasPrefix(string(got), "HTTP/1.1 502 ") || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	standin.WaitFor(t, "the failure is counted for the server", func() bool { return r.pool.Servers()[0].ConsecutiveFailures == 1 })
}

// TestEjectedServerIsProbedAndReadmitted checks that a server that was down is probed with pings, and is readmitted once it
// answers.
func TestEjectedServerIsProbedAndReadmitted(t *testing.T) {
	address := standin.FreeAddress(t)
	other := standin.NewScripted(t, replyAfter("/", okResponse))
	r := newHarness(t, []string{address, other.Address}, func(_ *Options, p *PoolOptions) {
		p.Balancer.FailureThreshold, p.Balancer.BaseEjectionTime = 1, time.Millisecond
	})
	get := standin.Script{{Send: standin.Packet(t, "", requestVars("/")...)}}
	standin.WaitFor(t, "a failure of the server is counted", func() bool {
		if got, err := r.request(t, get); got != okResponse || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
		return r.pool.Servers()[0].ConsecutiveFailures+r.pool.Servers()[1].ConsecutiveFailures > 0
	})
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("another process has taken the port in the meantime")
	}
	defer ln.Close()
	pinged := make(chan string, 100)
	go func() {
		for {
			c, err := ln.Accept()
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
	standin.WaitFor(t, "the server is readmitted", func() bool {
		for _, s := range r.pool.Servers() {
			if s.Name == address {
				return s.State == balancer.StateWarmingUp || s.State == balancer.StateHealthy
			}
		}
		return false
	})
}

// TestUnixAndTLSEndpoints checks the front and the pool on Unix sockets, and with TLS on both sides.
func TestUnixAndTLSEndpoints(t *testing.T) {
	dir := t.TempDir()
	a := standin.NewAuthority(t)
	cert, key, ca := a.Issue(t, dir, "node", "node.test", time.Now().Add(100*time.Hour))
	keys, err := tlskeys.Load(tlskeys.Files{Cert: cert, Key: key, CA: ca}, standin.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range []string{"unix:" + filepath.Join(dir, "s"), "suwsgi://127.0.0.1:0"} {
		serverEndpoint, err := endpoint.Parse(address)
		if err != nil {
			t.Fatal(err)
		}
		ln, err := serverEndpoint.Listen(0o600, keys)
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
				go func() { defer c.Close(); replyAfter("body", okResponse).Play(c) }()
			}
		}()
		if serverEndpoint.TLS {
			address = "suwsgi://" + ln.Addr().String()
		}
		r := newHarness(t, []string{address}, func(_ *Options, p *PoolOptions) { p.Keys, p.ServerName = keys, "node.test" })
		frontEndpoint := serverEndpoint
		frontEndpoint.Address = filepath.Join(dir, "front")
		if frontEndpoint.TLS {
			frontEndpoint.Address = "127.0.0.1:0"
		}
		front, err := frontEndpoint.Listen(0o600, keys)
		if err != nil {
			t.Fatal(err)
		}
		defer front.Close()
		go r.Serve(front)
		if frontEndpoint.TLS {
			frontEndpoint.Address = front.Addr().String()
		}
		c, err := frontEndpoint.Dial(context.Background(), keys, "node.test")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, standin.Packet(t, "body", requestVars("/write", contentLength(4))...)); err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, []byte(okResponse)) {
			t.Errorf("%s: %q, %v", address, got, err)
		}
	}
}
