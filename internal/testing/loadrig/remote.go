package loadrig

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/emulator"
	"sloehitch/internal/node"
)

// remote is a real daemon as an emulator.Server: it sends offered requests as a load balancer does.
type remote struct {
	in          inbox
	environment emulator.Environment
	address     string
	classes     []string
	failed      func(error)
	shutDown    func()

	// Owned by the goroutine that advances the clock:
	ids       int
	byID      map[string]*inFlight // by request id
	byAttempt map[*emulator.Attempt]*inFlight
	conns     map[int][]*conn // by load balancer
}

type inFlight struct {
	id      string
	attempt *emulator.Attempt
	answer  func(node.Response)
	conn    *conn
	tag     int
}

// conn is a connection of a load balancer.
type conn struct {
	net      net.Conn
	byTag    map[int]*inFlight
	lastTag  int
	draining bool // the node sent FIN: no more requests on it
}

// maxInFlight is how many requests may be in flight on a connection.
const maxInFlight = 32

var errConnectionEnded = errors.New("a connection to the daemon ended")

func (r *remote) Submit(t *emulator.Attempt, answer func(node.Response)) {
	r.ids++
	o := &inFlight{id: fmt.Sprintf("%016x", r.ids), attempt: t, answer: answer}
	c, err := r.connection(t.CallerID)
	if err != nil { // the connection was refused: nothing ran
		answer(node.Response{Status: node.StatusRejected})
		return
	}
	c.lastTag++
	o.conn, o.tag = c, c.lastTag
	c.byTag[o.tag], r.byID[o.id], r.byAttempt[t] = o, o, o
	fields := fmt.Sprintf("req=%s,ts=%d,via=%d,owner=lab,need=%.1f,level=0.5,ms=%.2f", o.id, time.Now().UnixMilli(), t.CallerID, t.MemoryKB, float64(t.WorkHint)/1e6)
	if r.environment.Settings.DeadlinePropagated {
		fields += fmt.Sprintf(",timeout=%d", max(1, time.Until(t.Deadline).Milliseconds()))
	}
	if t.IsRetry {
		fields += ",resent=1"
	}
	body := o.id
	if t.IdempotencyKey != "" {
		fields += fmt.Sprintf(",opkey=%x", sha256.Sum256([]byte(t.IdempotencyKey)))[:len(",opkey=")+32]
		body = t.IdempotencyKey
	}
	r.write(c, "DO", strconv.Itoa(o.tag), r.classes[t.Class], fields, body)
}

func (r *remote) Cancel(t *emulator.Attempt) {
	if o := r.byAttempt[t]; o != nil {
		r.forget(o)
		r.write(o.conn, "UNDO", strconv.Itoa(o.tag))
	}
}

// forget removes an attempt that was answered or canceled; its run may continue.
func (r *remote) forget(o *inFlight) {
	delete(o.conn.byTag, o.tag)
	delete(r.byAttempt, o.attempt)
	if o.conn.draining && len(o.conn.byTag) == 0 {
		o.conn.net.Close()
	}
}

// find returns the attempt with the given request id, or nil.
func (r *remote) find(id string) *emulator.Attempt {
	if o := r.byID[id]; o != nil {
		return o.attempt
	}
	return nil
}

func (r *remote) Drain(time.Duration) { r.shutDown() }

func (r *remote) InFlight() (running, held int) {
	return r.environment.Machine.Running(), len(r.byAttempt)
}

// connection returns a connection of a load balancer with capacity for another request; it may dial.
func (r *remote) connection(source int) (*conn, error) {
	for _, c := range r.conns[source] {
		if !c.draining && len(c.byTag) < maxInFlight {
			return c, nil
		}
	}
	netConn, err := net.DialTimeout("tcp", r.address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &conn{net: netConn, byTag: map[int]*inFlight{}}
	r.conns[source] = append(r.conns[source], c)
	go r.read(c)
	return c, nil
}

func (r *remote) write(c *conn, parts ...string) {
	b := redcon.AppendArray(nil, len(parts))
	for _, p := range parts {
		b = redcon.AppendBulkString(b, p)
	}
	if _, err := c.net.Write(b); err != nil {
		c.net.Close() // the reader gets the error
	}
}

// read passes a connection's messages to the goroutine that advances the clock.
func (r *remote) read(c *conn) {
	in := redcon.NewReader(c.net)
	for {
		m, err := in.ReadCommand()
		if err != nil {
			r.in <- func() { r.connectionEnded(c) }
			return
		}
		var parts []string
		for _, a := range m.Args {
			parts = append(parts, string(a))
		}
		r.in <- func() { r.handleAnswer(c, parts) }
	}
}

// connectionEnded fails the requests that were in flight on a connection.
func (r *remote) connectionEnded(c *conn) {
	c.draining = true
	for _, o := range c.byTag {
		delete(r.byAttempt, o.attempt)
		o.answer(node.Response{Status: node.StatusFailed})
		r.failed(errConnectionEnded)
	}
	clear(c.byTag)
	var remaining []*conn
	for source, conns := range r.conns {
		remaining = nil
		for _, other := range conns {
			if other != c {
				remaining = append(remaining, other)
			}
		}
		r.conns[source] = remaining
	}
}

// handleAnswer handles one answer: tag, status word, fields, body.
func (r *remote) handleAnswer(c *conn, parts []string) {
	if len(parts) < 2 {
		r.failed(fmt.Errorf("malformed answer from the daemon: %d parts, expected 2 or more", len(parts)))
		return
	}
	tag, err := strconv.Atoi(parts[0])
	if err != nil {
		r.failed(fmt.Errorf("malformed answer from the daemon: tag %q is not a number", parts[0]))
		return
	}
	if tag == 0 {
		if c.draining = true; len(c.byTag) == 0 {
			c.net.Close()
		}
		return
	}
	o := c.byTag[tag]
	if o == nil {
		return // canceled: its answer may still arrive
	}
	a := node.Response{Status: node.StatusFailed}
	switch parts[1] {
	case "ACK":
		a.Status = node.StatusServed
	case "NAK":
		a.Status = node.StatusRejected
	}
	if len(parts) > 2 {
		for _, field := range strings.Split(parts[2], ",") {
			name, value, _ := strings.Cut(field, "=")
			switch ms, err := strconv.Atoi(value); {
			case name == "holdoff" && err == nil:
				a.RetryAfter = time.Duration(ms) * time.Millisecond
			case name == "nomore":
				a.NoFailover = value == "1"
			}
		}
	}
	r.forget(o)
	o.answer(a)
}
