package uwsgi

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestEvictedConnection: a client's request arrives while the process stands still, and its connection is evicted before the request is read. A
// complete request is rejected with 503; a client that has sent nothing or half a request gets no response.
func TestEvictedConnection(t *testing.T) {
	request, err := packet.AppendRequest(nil, 0, 0, at("/", length(0)))
	if err != nil {
		t.Fatal(err)
	}
	whole := string(request)
	for _, c := range []struct{ name, sent, want string }{
		{"a whole request", whole, "HTTP/1.1 503"},
		{"half of one", whole[:len(whole)/2], ""},
		{"nothing", "", ""},
	} {
		r := newHarness(t, nil, func(o *Options, p *PoolOptions) { o.Limits.MessageTimeout = standin.WaitTimeout })
		ln := standin.Listen(t)
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		ours, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		k := &clientConn{Conn: ours}
		seat := r.slots.Acquire(k.evict)
		if _, err := io.WriteString(client, c.sent); err != nil {
			t.Fatal(err)
		}
		seat.Release()
		k.evict()
		served := make(chan struct{})
		go func() {
			defer close(served)
			defer ours.Close()
			r.serveConnection(k, seat, "")
		}()
		if err := client.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(client)
		if c.want != "" && err != nil || !strings.HasPrefix(string(got), c.want) || c.want == "" && len(got) > 0 {
			t.Errorf("%s: %q, %v, want %q", c.name, got, err, c.want)
		}
		client.Close()
		<-served
	}
}

// TestIdleConnectionsAreEvicted: idle connections are evicted for new ones, and closed.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	r := newHarness(t, nil, func(o *Options, p *PoolOptions) {
		o.Limits = limits.For(64, 256)
		o.Limits.UwsgiConnections, o.Limits.NewConnectionGrace = 2, time.Millisecond
	})
	var callers []net.Conn
	for range 20 {
		callers = append(callers, r.dial(t))
	}
	for i, c := range callers[:18] {
		if got, _ := io.ReadAll(c); len(got) > 0 {
			t.Errorf("caller %d, that said nothing, got %q", i, got)
		}
	}
}
