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

// TestServers: what servers do, valid or not, and what their client gets of it.
func TestServers(t *testing.T) {
	big := strings.Repeat("x", 200<<10)
	long := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(big))
	for _, c := range []struct {
		name, path string
		scripts    []standin.Script
		want       string
		reset      bool // the client sees the connection reset
		attempts   int
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
			r := newHarness(t, servers, nil)
			got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "body", at(c.path, length(4), [2]string{"HTTP_IDEMPOTENCY_KEY", "k"})...)}})
			if !strings.HasPrefix(got, c.want) || !c.reset && (len(got) != len(c.want) && !strings.HasSuffix(c.want, " ")) || strings.Count(got, "HTTP/1.") > 1 {
				t.Errorf("got %.200q (%d bytes), want %.200q (%d)", got, len(got), c.want, len(c.want))
			}
			if broken := errors.Is(err, syscall.ECONNRESET); broken != c.reset && c.attempts >= 0 || err != nil && !broken {
				t.Errorf("the connection ended with %v, want a reset: %v", err, c.reset)
			}
			if n := s.Connections() + other.Connections(); c.attempts >= 0 && n != c.attempts {
				t.Errorf("%d attempts, want %d", n, c.attempts)
			}
			standin.WaitFor(t, "all is over", func() bool { return r.OpenConnections() == 0 && r.node.Unanswered() == 0 })
		})
	}
}

// TestPool: requests queue for a server in order, avoid those that are down, and fail where none is left.
func TestPool(t *testing.T) {
	down := standin.FreeAddress(t)
	s := standin.NewScripted(t, reply("/", fine))
	get := standin.Script{{Send: standin.Packet(t, "", at("/write")...)}}
	r := newHarness(t, []string{down, s.Address}, nil)
	for range 8 {
		if got, err := r.request(t, get); got != fine || err != nil {
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
	if got, err := r.request(t, get); !strings.HasPrefix(got, "HTTP/1.1 502 ") || err != nil {
		t.Errorf("with all down: %q, %v", got, err)
	}
	if err := r.pool.SetServers([]string{"nonsense"}); err == nil {
		t.Error("a bad address was taken")
	}
	hold := make(chan struct{})
	one := standin.NewScripted(t, standin.Script{{Until: "/write"}, {Wait: hold}, {Send: fine}})
	r = newHarness(t, []string{one.Address}, func(_ *Options, p *PoolOptions) { p.Balancer.MaxConcurrency = 1 })
	answers := make(chan string, 3)
	for range 3 {
		go func() {
			got, _ := r.request(t, get)
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

// TestSilentServer: a server that accepts and sends nothing costs a request its own time and no more, and is ejected.
func TestSilentServer(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "never"}})
	good := standin.NewScripted(t, reply("/write", fine))
	r := newHarness(t, []string{s.Address, good.Address}, func(o *Options, p *PoolOptions) {
		o.DeadlineVariable, p.Balancer.FailureThreshold = "HTTP_X_DEADLINE_MS", 1
	})
	late := false
	for range 2 { // one of the two meets the silent server
		got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", at("/write", [2]string{"HTTP_X_DEADLINE_MS", "300"})...)}})
		if late = strings.HasPrefix(got, "HTTP/1.1 50") && err == nil; late {
			break
		}
		if got != fine || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
	if !late {
		t.Error("no request reached the silent server")
	}
	standin.WaitFor(t, "it is ejected", func() bool {
		return slices.ContainsFunc(r.pool.Servers(), func(e balancer.Server) bool {
			return e.Name == s.Address && (e.State == balancer.StateEjected || e.State == balancer.StateProbing)
		})
	})
	for range 5 { // with all the time there is: who met it again would wait for it
		if got, err := r.request(t, standin.Script{{Send: standin.Packet(t, "", at("/write")...)}}); got != fine || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
}

// TestStopped: a server that has sent nothing when the node stops its run counts as failed, if the client still waits.
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
			close(read) // stopped before that, it would not count as failed
		}
	}()
	r := newHarness(t, []string{ln.Addr().String()}, nil)
	c := r.dial(t)
	if _, err := io.WriteString(c, standin.Packet(t, "", at("/write")...)); err != nil {
		t.Fatal(err)
	}
	select {
	case <-read:
	case <-time.After(standin.WaitTimeout):
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

// TestProbe: a server that was down is pinged, and gets requests again once it answers.
func TestProbe(t *testing.T) {
	address := standin.FreeAddress(t)
	other := standin.NewScripted(t, reply("/", fine))
	r := newHarness(t, []string{address, other.Address}, func(_ *Options, p *PoolOptions) {
		p.Balancer.FailureThreshold, p.Balancer.BaseEjectionTime = 1, time.Millisecond
	})
	get := standin.Script{{Send: standin.Packet(t, "", at("/")...)}}
	standin.WaitFor(t, "it is ejected", func() bool {
		if got, err := r.request(t, get); got != fine || err != nil {
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
	keys, err := tlskeys.Load(tlskeys.Files{Cert: cert, Key: key, CA: ca}, standin.DiscardLogger)
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
		r := newHarness(t, []string{address}, func(_ *Options, p *PoolOptions) { p.Keys, p.ServerName = keys, "node.test" })
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
