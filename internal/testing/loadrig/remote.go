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

// remote is a real daemon as an emulator.Server: what it is offered goes to it as balancers send it.
type remote struct {
	in      inbox
	site    emulator.Environment
	address string
	classes []string
	failed  func(error)
	leave   func()

	// Of the goroutine that moves the clock:
	ids   int
	open  map[string]*open // by the id of the try
	tries map[*emulator.Attempt]*open
	conns map[int][]*conn // by the balancer
}

type open struct {
	id     string
	try    *emulator.Attempt
	answer func(node.Response)
	conn   *conn
	tag    int
}

// conn is one of a balancer's connections.
type conn struct {
	net  net.Conn
	tags map[int]*open
	last int
	fin  bool // the node asked for nothing more
}

// most is how many requests may be open on a connection.
const most = 32

var errConn = errors.New("a connection to the daemon ended")

func (r *remote) Submit(t *emulator.Attempt, answer func(node.Response)) {
	r.ids++
	o := &open{id: fmt.Sprintf("%016x", r.ids), try: t, answer: answer}
	c, err := r.connection(t.CallerID)
	if err != nil { // refused: nothing ran
		answer(node.Response{Status: node.StatusRejected})
		return
	}
	c.last++
	o.conn, o.tag = c, c.last
	c.tags[o.tag], r.open[o.id], r.tries[t] = o, o, o
	fields := fmt.Sprintf("req=%s,ts=%d,via=%d,owner=lab,need=%.1f,level=0.5,ms=%.2f", o.id, time.Now().UnixMilli(), t.CallerID, t.MemoryKB, float64(t.WorkHint)/1e6)
	if r.site.Settings.DeadlinePropagated {
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
	if o := r.tries[t]; o != nil {
		r.forget(o)
		r.write(o.conn, "UNDO", strconv.Itoa(o.tag))
	}
}

// forget drops a try that is over; its run may go on.
func (r *remote) forget(o *open) {
	delete(o.conn.tags, o.tag)
	delete(r.tries, o.try)
	if o.conn.fin && len(o.conn.tags) == 0 {
		o.conn.net.Close()
	}
}

// find is the try of an id that a run is started for.
func (r *remote) find(id string) *emulator.Attempt {
	if o := r.open[id]; o != nil {
		return o.try
	}
	return nil
}

func (r *remote) Drain(time.Duration) { r.leave() }

func (r *remote) InFlight() (running, held int) { return r.site.Machine.Running(), len(r.tries) }

// connection is one of a balancer's that has room.
func (r *remote) connection(source int) (*conn, error) {
	for _, c := range r.conns[source] {
		if !c.fin && len(c.tags) < most {
			return c, nil
		}
	}
	dialled, err := net.DialTimeout("tcp", r.address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &conn{net: dialled, tags: map[int]*open{}}
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
		c.net.Close() // the reader notices
	}
}

// read takes what a connection brings to the goroutine that moves the clock.
func (r *remote) read(c *conn) {
	in := redcon.NewReader(c.net)
	for {
		m, err := in.ReadCommand()
		if err != nil {
			r.in <- func() { r.broke(c) }
			return
		}
		var parts []string
		for _, a := range m.Args {
			parts = append(parts, string(a))
		}
		r.in <- func() { r.answered(c, parts) }
	}
}

// broke has the callers of what was open on a connection hear that it ended.
func (r *remote) broke(c *conn) {
	c.fin = true
	for _, o := range c.tags {
		delete(r.tries, o.try)
		o.answer(node.Response{Status: node.StatusFailed})
		r.failed(errConn)
	}
	clear(c.tags)
	var left []*conn
	for source, conns := range r.conns {
		left = nil
		for _, other := range conns {
			if other != c {
				left = append(left, other)
			}
		}
		r.conns[source] = left
	}
}

// answered takes one answer: tag, word, fields, body.
func (r *remote) answered(c *conn, parts []string) {
	if len(parts) < 2 {
		r.failed(fmt.Errorf("an answer of %d parts", len(parts)))
		return
	}
	tag, err := strconv.Atoi(parts[0])
	if err != nil {
		r.failed(fmt.Errorf("an answer to %q", parts[0]))
		return
	}
	if tag == 0 {
		if c.fin = true; len(c.tags) == 0 {
			c.net.Close()
		}
		return
	}
	o := c.tags[tag]
	if o == nil {
		return // taken back: one answer does no harm
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
