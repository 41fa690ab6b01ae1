package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// Balancer is a balancer's connection to a node.
type Balancer struct {
	conn net.Conn
	in   *bufio.Reader
}

// DialBalancer connects to a node.
func DialBalancer(address string) (*Balancer, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Balancer{conn: conn, in: bufio.NewReader(conn)}, nil
}

// Send writes an array of bulk strings.
func (b *Balancer) Send(parts ...string) error {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "*%d\r\n", len(parts))
	for _, p := range parts {
		_, _ = fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(p), p)
	}
	_, err := io.WriteString(b.conn, text.String())
	return err
}

// Try is one try of a request.
type Try struct {
	Tag    int
	Class  string
	Body   string
	Key    string // empty: none
	At     time.Time
	Resent bool
}

// Do sends a try with a new id.
func (b *Balancer) Do(t Try) error {
	fields := fmt.Sprintf("req=%016x,ts=%d,via=1,owner=acme,need=24.5,level=0.6250", rand.Uint64(), t.At.UnixMilli())
	if t.Resent {
		fields += ",resent=1"
	}
	if t.Key != "" {
		fields += ",opkey=" + t.Key
	}
	return b.Send("DO", strconv.Itoa(t.Tag), t.Class, fields, t.Body)
}

// Read reads one array, or returns an error at the end of the connection or after the timeout.
func (b *Balancer) Read(timeout time.Duration) (parts []string, err error) {
	if err := b.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	n, err := b.readLength('*')
	if err != nil {
		return nil, err
	}
	for range n {
		size, err := b.readLength('$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(b.in, text); err != nil {
			return nil, err
		}
		parts = append(parts, string(text[:size]))
	}
	return parts, nil
}

// readLength reads a line with a length after the given sign.
func (b *Balancer) readLength(sign byte) (int, error) {
	line, err := b.in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != sign {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(line[1:])
}

// Close closes the connection.
func (b *Balancer) Close() { b.conn.Close() }
