// Package catalogue makes the calls to the tier below.
package catalogue

import (
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
	"sloehitch/logic"
)

// Done gets how a call ended. Only Full, Unreachable and Moot prove that it never ran.
type Done = func(o admission.Outcome, took time.Duration, reply []byte)

// call is one call in hand.
type call struct {
	id    string
	began time.Time
	done  Done
	timer *time.Timer
	text  []byte
	line  *line
	sent  bool // handed to the socket: from here on a break proves nothing
}

func (k *call) finish(o admission.Outcome, reply []byte) { k.done(o, time.Since(k.began), reply) }

// Client makes each call on a connection that carries no other while there is room for that: what a stuck or spoilt
// reply takes down with it is then one call.
type Client struct {
	limits limits.Limits
	log    *lograte.Logger

	mu      sync.Mutex
	address string
	calls   map[string]*call
	lines   []*line // open or being opened, the one used last at the end
	idle    *time.Timer
}

// New returns a client for the proxy at the address.
func New(address string, l limits.Limits, log *slog.Logger) *Client {
	return &Client{address: address, limits: l, log: lograte.New(log, l.LogEvery), calls: map[string]*call{}}
}

// Move makes all calls from now on at another address. Calls in hand end where they were made.
func (c *Client) Move(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	c.rest()
}

// Call makes a call for a request; an earlier one for it is given up without a word. A call that must not be made
// twice gets a new connection: one that stood idle may be dead, and its reset would not tell whether the call ran.
func (c *Client) Call(id string, patience time.Duration, body []byte, once bool, done Done) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.calls[id]; old != nil {
		c.quit(old)
	}
	k := &call{id: id, began: time.Now(), done: done}
	k.text = fmt.Appendf(nil, "FETCH %s %d %d\r\n%s\r\n", id, max(1, patience.Milliseconds()), len(body), body)
	// The proxy answers in time where it can; this is for when it can't.
	k.timer = time.AfterFunc(patience+c.limits.CallSlack, func() { c.expired(k) })
	c.calls[id] = k
	k.line = c.pick(id, once)
	k.line.take(k)
}

// pick finds a connection for a call: the one that fell idle last, a new one, or the least crowded; the caller
// holds mu. A connection that carried the last call of the same request may still bring a second copy of its reply.
func (c *Client) pick(id string, once bool) *line {
	var least *line
	for i := len(c.lines) - 1; i >= 0; i-- {
		l := c.lines[i]
		if l.address != c.address || l.last == id {
			continue
		}
		if len(l.calls) == 0 && !once && time.Since(l.used) < c.limits.CallIdle {
			return l
		}
		if least == nil || len(l.calls) < len(least.calls) {
			least = l
		}
	}
	if len(c.lines) >= c.limits.CallConns {
		if least != nil && len(least.calls) > 0 {
			return least
		}
		for _, l := range c.lines { // one that idles makes room for a new one
			if len(l.calls) == 0 {
				c.close(l)
				break
			}
		}
	}
	l := &line{client: c, address: c.address, calls: map[string]*call{}, used: time.Now()}
	c.lines = append(c.lines, l)
	go l.dial()
	return l
}

// Quit gives up a call; it gets no reply.
func (c *Client) Quit(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.calls[id]; k != nil {
		c.quit(k)
	}
}

func (c *Client) quit(k *call) {
	c.over(k)
	k.line.quit(k)
}

// over takes a call off the tables; the caller holds mu.
func (c *Client) over(k *call) {
	k.timer.Stop()
	delete(k.line.calls, k.id)
	if c.calls[k.id] == k {
		delete(c.calls, k.id)
	}
	k.line.last, k.line.used = k.id, time.Now()
	c.rest()
}

// expired ends a call that got no reply in its time, and with it the connection that owes it. A call that was never
// sent did not run.
func (c *Client) expired(k *call) {
	c.mu.Lock()
	if c.calls[k.id] != k {
		c.mu.Unlock()
		return
	}
	c.over(k)
	lost := c.close(k.line)
	c.mu.Unlock()
	if k.sent {
		k.finish(logic.TimedOut, nil)
	} else {
		k.finish(logic.Unreachable, nil)
	}
	finishLost(lost)
}

// close gives a connection up and returns the calls that were on it; the caller holds mu, and finishes them without.
func (c *Client) close(l *line) (lost []*call) {
	for i, other := range c.lines {
		if other == l {
			c.lines = append(c.lines[:i], c.lines[i+1:]...)
			break
		}
	}
	l.closed = true
	if l.net != nil {
		l.net.Close()
	}
	for _, k := range l.calls {
		k.timer.Stop()
		delete(c.calls, k.id)
		lost = append(lost, k)
	}
	clear(l.calls)
	return lost
}

// finishLost ends calls whose connection is gone; whether those that were sent ran is not known.
func finishLost(lost []*call) {
	for _, k := range lost {
		if k.sent {
			k.finish(logic.Reset, nil)
		} else {
			k.finish(logic.Unreachable, nil)
		}
	}
}

// rest closes connections that have stood idle, before the other end does, and idle ones to a former address. It
// looks again as long as there are any; the caller holds mu.
func (c *Client) rest() {
	resting := false
	for i := 0; i < len(c.lines); i++ {
		switch l := c.lines[i]; {
		case len(l.calls) > 0:
		case l.address != c.address || time.Since(l.used) >= c.limits.CallIdle:
			c.close(l)
			i--
		default:
			resting = true
		}
	}
	if resting && c.idle == nil {
		c.idle = time.AfterFunc(c.limits.CallIdle, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.idle = nil
			c.rest()
		})
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	var lost []*call
	for len(c.lines) > 0 {
		lost = append(lost, c.close(c.lines[0])...)
	}
	c.mu.Unlock()
	finishLost(lost)
}

var replies = map[string]admission.Outcome{"DATA": logic.OK, "LATER": logic.Full, "FAULT": logic.Failed,
	"TOOSLOW": logic.TimedOut, "NOUSE": logic.Moot}

// parseReply reads a reply's first line; length is that of the data which follows an OK.
func parseReply(line string, most int) (id string, o admission.Outcome, length int, err error) {
	text, whole := strings.CutSuffix(line, "\r\n")
	words := strings.Split(text, " ")
	if !whole || len(words) < 2 || words[0] == "" {
		return "", 0, 0, fmt.Errorf("bad reply %.60q", line)
	}
	o, known := replies[words[1]]
	if !known || (o == logic.OK) != (len(words) == 3) {
		return "", 0, 0, fmt.Errorf("bad reply %.60q", line)
	}
	if o == logic.OK {
		n, err := strconv.ParseUint(words[2], 10, 31)
		if err != nil || int(n) > most {
			return "", 0, 0, fmt.Errorf("bad length in reply %.60q", line)
		}
		length = int(n)
	}
	return words[0], o, length, nil
}

func dial(address string, l limits.Limits) (net.Conn, error) {
	return net.DialTimeout("tcp", address, l.Dial)
}
