package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// Balancer is a load balancer's connection to a node.
type Balancer struct {
	net.Conn
	t  testing.TB
	in *redcon.Reader
}

// Dial connects to a node.
func Dial(t testing.TB, address string) *Balancer {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &Balancer{Conn: conn, t: t, in: redcon.NewReader(conn)}
}

// Array formats a RESP array of bulk strings.
func Array(parts ...string) string {
	b := redcon.AppendArray(nil, len(parts))
	for _, p := range parts {
		b = redcon.AppendBulkString(b, p)
	}
	return string(b)
}

// Send writes text to the connection.
func (b *Balancer) Send(text string) {
	b.t.Helper()
	if _, err := io.WriteString(b, text); err != nil {
		b.t.Fatal(err)
	}
}

// Do sends a request that reached the machine at the given time; more is appended to its fields.
func (b *Balancer) Do(tag int, class, req string, at time.Time, body, more string) {
	b.t.Helper()
	b.Send(Do(tag, class, req, at, body, more))
}

// Do formats the request that Balancer.Do sends.
func Do(tag int, class, req string, at time.Time, body, more string) string {
	return Array("DO", fmt.Sprint(tag), class, fmt.Sprintf("req=%s,ts=%d,via=1,owner=acme,need=10,level=0.5%s", req, at.UnixMilli(), more), body)
}

// Read reads one answer and returns its parts, or nil at the end of the connection.
func (b *Balancer) Read() []string {
	b.t.Helper()
	if err := b.SetReadDeadline(time.Now().Add(WaitTimeout)); err != nil {
		b.t.Fatal(err)
	}
	cmd, err := b.in.ReadCommand()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		b.t.Fatal("the node sent no answer within the wait timeout")
	}
	if err != nil {
		return nil
	}
	var parts []string
	for _, a := range cmd.Args {
		parts = append(parts, string(a))
	}
	return parts
}
