// Package catalogue makes the calls to the tier below.
package catalogue

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"sloehitch/internal/gate"
	"sloehitch/internal/limits"
	"sloehitch/internal/lograte"
	"sloehitch/logic"
)

// Done gets how a call ended. Only Full, Unreachable and Moot prove that it never ran.
type Done = func(o gate.Outcome, took time.Duration, reply []byte)

// call is one call in hand.
type call struct {
	id    string
	began time.Time
	done  Done
	timer *time.Timer
	text  []byte
	sent  bool // handed to a connection: from here on a break proves nothing
}

// Client carries all calls over one connection, which it opens when needed and closes before it goes stale.
type Client struct {
	address string
	limits  limits.Limits
	log     *lograte.Logger

	mu    sync.Mutex
	cond  *sync.Cond
	calls map[string]*call
	queue []*call // not handed to a connection yet
	quits []byte
	conn  net.Conn
	busy  bool // somebody dials
	idle  *time.Timer
}

// New returns a client for the proxy at the address.
func New(address string, l limits.Limits, log *slog.Logger) *Client {
	c := &Client{address: address, limits: l, log: lograte.New(log, l.LogEvery), calls: map[string]*call{}}
	c.cond = sync.NewCond(&c.mu)
	return c
}

// Call makes a call for a request; an earlier one for it is given up without a word.
func (c *Client) Call(id string, patience time.Duration, body []byte, done Done) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := max(1, patience.Milliseconds())
	k := &call{id: id, began: time.Now(), done: done}
	k.text = fmt.Appendf(nil, "FETCH %s %d %d\r\n%s\r\n", id, ms, len(body), body)
	if old := c.calls[id]; old != nil {
		old.timer.Stop()
	}
	// The proxy answers in time where it can; this is for when it can't.
	k.timer = time.AfterFunc(patience+c.limits.CallSlack, func() { c.expired(k) })
	c.calls[id] = k
	c.queue = append(c.queue, k)
	if c.idle != nil {
		c.idle.Stop()
		c.idle = nil
	}
	c.wake()
}

// wake sees to it that somebody writes what is queued; the caller holds mu.
func (c *Client) wake() {
	if c.conn == nil && !c.busy {
		c.busy = true
		go c.dial()
	}
	c.cond.Broadcast()
}

// Quit gives up a call; it gets no reply.
func (c *Client) Quit(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.calls[id]; k != nil {
		c.quit(k)
		c.rest()
	}
}

func (c *Client) quit(k *call) {
	k.timer.Stop()
	delete(c.calls, k.id)
	if k.sent && c.conn != nil {
		c.quits = fmt.Appendf(c.quits, "QUIT %s\r\n", k.id)
		c.cond.Broadcast()
	}
	for i, q := range c.queue {
		if q == k {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
}

// expired ends a call that got no reply in its time. One that was never sent did not run.
func (c *Client) expired(k *call) {
	c.mu.Lock()
	if c.calls[k.id] != k {
		c.mu.Unlock()
		return
	}
	c.quit(k)
	c.rest()
	sent := k.sent
	c.mu.Unlock()
	if sent {
		k.finish(logic.TimedOut, nil)
	} else {
		k.finish(logic.Unreachable, nil)
	}
}

func (k *call) finish(o gate.Outcome, reply []byte) { k.done(o, time.Since(k.began), reply) }

// rest closes the connection once it has stood idle for a while, before the other end does: a call sent into
// a closing connection would prove nothing.
func (c *Client) rest() {
	if len(c.calls) > 0 || c.conn == nil || c.idle != nil {
		return
	}
	conn := c.conn
	c.idle = time.AfterFunc(c.limits.CallIdle, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.calls) == 0 && c.conn == conn {
			c.conn = nil
			conn.Close()
			c.cond.Broadcast()
		}
	})
}

func (c *Client) dial() {
	conn, err := net.DialTimeout("tcp", c.address, c.limits.Dial)
	c.mu.Lock()
	c.busy = false
	if err == nil {
		c.conn = conn
		c.mu.Unlock()
		go c.write(conn)
		c.read(conn)
		return
	}
	// Nothing was sent: each queued call is known not to have run.
	failed := c.queue
	c.queue = nil
	for _, k := range failed {
		k.timer.Stop()
		delete(c.calls, k.id)
	}
	c.mu.Unlock()
	c.log.Warn("no connection to the catalogue", err)
	for _, k := range failed {
		k.finish(logic.Unreachable, nil)
	}
}

func (c *Client) write(conn net.Conn) {
	var batch []byte
	for {
		c.mu.Lock()
		for c.conn == conn && len(c.queue) == 0 && len(c.quits) == 0 {
			c.cond.Wait()
		}
		if c.conn != conn {
			c.mu.Unlock()
			return
		}
		batch = append(batch[:0], c.quits...)
		c.quits = c.quits[:0]
		for _, k := range c.queue {
			k.sent = true
			batch = append(batch, k.text...)
			k.text = nil
		}
		c.queue = nil
		c.mu.Unlock()
		err := conn.SetWriteDeadline(time.Now().Add(c.limits.Write))
		if err == nil {
			_, err = conn.Write(batch)
		}
		if err != nil {
			conn.Close() // the reader notices
			return
		}
	}
}

var replies = map[string]gate.Outcome{"DATA": logic.OK, "LATER": logic.Full, "FAULT": logic.Failed,
	"TOOSLOW": logic.TimedOut, "NOUSE": logic.Moot}

func (c *Client) read(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 8<<10)
	var err error
	for err == nil {
		err = c.readReply(in)
	}
	conn.Close()
	c.broken(conn, err)
}

// readReply reads one reply and ends its call.
func (c *Client) readReply(in *bufio.Reader) error {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return err
	}
	id, o, length, err := parseReply(string(line), c.limits.Result)
	if err != nil {
		return err
	}
	var reply []byte
	if o == logic.OK {
		reply = make([]byte, length+2)
		if _, err := io.ReadFull(in, reply); err != nil {
			return err
		}
		if reply[length] != '\r' || reply[length+1] != '\n' {
			return fmt.Errorf("the reply to %s does not end in CR LF", id)
		}
		reply = reply[:length]
	}
	c.mu.Lock()
	k := c.calls[id]
	if k == nil || !k.sent {
		c.mu.Unlock()
		return nil // given up meanwhile
	}
	k.timer.Stop()
	delete(c.calls, id)
	c.rest()
	c.mu.Unlock()
	k.finish(o, reply)
	return nil
}

// parseReply reads a reply's first line; length is that of the data which follows an OK.
func parseReply(line string, most int) (id string, o gate.Outcome, length int, err error) {
	text, whole := strings.CutSuffix(line, "\r\n")
	words := strings.Split(text, " ")
	if !whole || len(words) < 2 || words[0] == "" {
		return "", 0, 0, fmt.Errorf("bad reply %q", line)
	}
	o, known := replies[words[1]]
	if !known || (o == logic.OK) != (len(words) == 3) {
		return "", 0, 0, fmt.Errorf("bad reply %q", line)
	}
	if o == logic.OK {
		n, err := strconv.ParseUint(words[2], 10, 31)
		if err != nil || int(n) > most {
			return "", 0, 0, fmt.Errorf("bad length in reply %q", line)
		}
		length = int(n)
	}
	return words[0], o, length, nil
}

// broken ends the calls that were on a connection; whether they ran is not known.
func (c *Client) broken(conn net.Conn, err error) {
	c.mu.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.quits = c.quits[:0]
	var lost []*call
	for id, k := range c.calls {
		if k.sent {
			k.timer.Stop()
			delete(c.calls, id)
			lost = append(lost, k)
		}
	}
	if len(c.queue) > 0 {
		c.wake()
	}
	c.cond.Broadcast()
	c.mu.Unlock()
	if len(lost) > 0 {
		c.log.Warn("the connection to the catalogue broke during calls", err)
	}
	for _, k := range lost {
		k.finish(logic.Reset, nil)
	}
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
	}
}
