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

// TestEvictedConnectionWithCompleteRequestGets503 checks connections that are evicted before their request is read, as happens if
// the request arrives while the process is paused. A complete request is rejected with 503; an incomplete or empty one gets no
// response.
func TestEvictedConnectionWithCompleteRequestGets503(t *testing.T) {
	request, err := packet.AppendRequest(nil, 0, 0, requestVars("/", contentLength(0)))
	if err != nil {
		t.Fatal(err)
	}
	packetBytes := string(request)
	for _, c := range []struct{ name, sent, want string }{
		{"complete request", packetBytes, "HTTP/1.1 503"},
		{"half a request", packetBytes[:len(packetBytes)/2], ""},
		{"no data", "", ""},
	} {
		r := newHarness(t, nil, func(o *Options, p *PoolOptions) { o.Limits.MessageTimeout = standin.WaitTimeout })
		ln := standin.Listen(t)
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn := &clientConn{Conn: accepted}
		slot := r.slots.Acquire(conn.evict)
		if _, err := io.WriteString(client, c.sent); err != nil {
			t.Fatal(err)
		}
		slot.Release()
		conn.evict()
		served := make(chan struct{})
		go func() {
			defer close(served)
			defer accepted.Close()
			r.serveConnection(conn, slot, "")
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

// TestIdleConnectionsAreEvicted checks that idle connections are evicted to make room for new ones, and closed.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	r := newHarness(t, nil, func(o *Options, p *PoolOptions) {
		o.Limits = limits.For(64, 256)
		o.Limits.UwsgiConnections, o.Limits.NewConnectionGrace = 2, time.Millisecond
	})
	var clients []net.Conn
	for range 20 {
		clients = append(clients, r.dial(t))
	}
	for i, c := range clients[:18] {
		if got, _ := io.ReadAll(c); len(got) > 0 {
			t.Errorf("idle client %d got %q, want no data", i, got)
		}
	}
}
