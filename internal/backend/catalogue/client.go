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

// ReplyFunc gets how a call ended. Only Full, Unreachable and Moot prove that it never ran.
type ReplyFunc = func(o admission.Outcome, took time.Duration, reply []byte)

// call is one call in hand.
type call struct {
	id        string
	startedAt time.Time
	done      ReplyFunc
	timer     *time.Timer
	encoded   []byte
	conn      *proxyConn
	sent      bool // handed to the socket: from here on a break proves nothing
}

func (k *call) finish(o admission.Outcome, reply []byte) { k.done(o, time.Since(k.startedAt), reply) }

// Client makes each call on a connection that carries no other while there is room for that: what a stuck or spoilt
// reply takes down with it is then one call.
type Client struct {
	limits limits.Limits
	log    *lograte.Logger

	mu        sync.Mutex
	address   string
	calls     map[string]*call
	conns     []*proxyConn // open or being opened, the one used last at the end
	idleTimer *time.Timer
}

// New returns a client for the proxy at the address.
func New(address string, l limits.Limits, log *slog.Logger) *Client {
	return &Client{address: address, limits: l, log: lograte.New(log, l.LogInterval), calls: map[string]*call{}}
}

// SetAddress makes all calls from now on at another address. Calls in hand end where they were made.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	c.closeIdle()
}

// Call makes a call for a request; an earlier one for it is given up without a word. A call that must not be made
// twice gets a new connection: one that stood idle may be dead, and its reset would not tell whether the call ran.
func (c *Client) Call(id string, patience time.Duration, body []byte, once bool, done ReplyFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.calls[id]; old != nil {
		c.cancel(old)
	}
	k := &call{id: id, startedAt: time.Now(), done: done}
	k.encoded = fmt.Appendf(nil, "FETCH %s %d %d\r\n%s\r\n", id, max(1, patience.Milliseconds()), len(body), body)
	// The proxy answers in time where it can; this is for when it can't.
	k.timer = time.AfterFunc(patience+c.limits.CallTimeoutSlack, func() { c.expire(k) })
	c.calls[id] = k
	k.conn = c.pickConn(id, once)
	k.conn.enqueue(k)
}

// pickConn finds a connection for a call: the one that fell idle last, a new one, or the least crowded; the caller
// holds mu. A connection that carried the last call of the same request may still bring a second copy of its reply.
func (c *Client) pickConn(id string, once bool) *proxyConn {
	var least *proxyConn
	for i := len(c.conns) - 1; i >= 0; i-- {
		l := c.conns[i]
		if l.address != c.address || l.lastRequest == id {
			continue
		}
		if len(l.calls) == 0 && !once && time.Since(l.lastUsed) < c.limits.CatalogueIdleTimeout {
			return l
		}
		if least == nil || len(l.calls) < len(least.calls) {
			least = l
		}
	}
	if len(c.conns) >= c.limits.CatalogueConnections {
		if least != nil && len(least.calls) > 0 {
			return least
		}
		for _, l := range c.conns { // one that idles makes room for a new one
			if len(l.calls) == 0 {
				c.closeConn(l)
				break
			}
		}
	}
	l := &proxyConn{client: c, address: c.address, calls: map[string]*call{}, lastUsed: time.Now()}
	c.conns = append(c.conns, l)
	go l.dial()
	return l
}

// Cancel gives up a call; it gets no reply.
func (c *Client) Cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.calls[id]; k != nil {
		c.cancel(k)
	}
}

func (c *Client) cancel(k *call) {
	c.remove(k)
	k.conn.cancel(k)
}

// remove takes a call off the tables; the caller holds mu.
func (c *Client) remove(k *call) {
	k.timer.Stop()
	delete(k.conn.calls, k.id)
	if c.calls[k.id] == k {
		delete(c.calls, k.id)
	}
	k.conn.lastRequest, k.conn.lastUsed = k.id, time.Now()
	c.closeIdle()
}

// expire ends a call that got no reply in its time, and with it the connection that owes it. A call that was never
// sent did not run.
func (c *Client) expire(k *call) {
	c.mu.Lock()
	if c.calls[k.id] != k {
		c.mu.Unlock()
		return
	}
	c.remove(k)
	lost := c.closeConn(k.conn)
	c.mu.Unlock()
	if k.sent {
		k.finish(logic.OutcomeTimedOut, nil)
	} else {
		k.finish(logic.OutcomeUnreachable, nil)
	}
	failCalls(lost)
}

// closeConn gives a connection up and returns the calls that were on it; the caller holds mu, and finishes them without.
func (c *Client) closeConn(l *proxyConn) (lost []*call) {
	for i, other := range c.conns {
		if other == l {
			c.conns = append(c.conns[:i], c.conns[i+1:]...)
			break
		}
	}
	l.closed = true
	if l.socket != nil {
		l.socket.Close()
	}
	for _, k := range l.calls {
		k.timer.Stop()
		delete(c.calls, k.id)
		lost = append(lost, k)
	}
	clear(l.calls)
	return lost
}

// failCalls ends calls whose connection is gone; whether those that were sent ran is not known.
func failCalls(lost []*call) {
	for _, k := range lost {
		if k.sent {
			k.finish(logic.OutcomeReset, nil)
		} else {
			k.finish(logic.OutcomeUnreachable, nil)
		}
	}
}

// closeIdle closes connections that have stood idle, before the other end does, and idle ones to a former address. It
// looks again as long as there are any; the caller holds mu.
func (c *Client) closeIdle() {
	resting := false
	for i := 0; i < len(c.conns); i++ {
		switch l := c.conns[i]; {
		case len(l.calls) > 0:
		case l.address != c.address || time.Since(l.lastUsed) >= c.limits.CatalogueIdleTimeout:
			c.closeConn(l)
			i--
		default:
			resting = true
		}
	}
	if resting && c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(c.limits.CatalogueIdleTimeout, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.idleTimer = nil
			c.closeIdle()
		})
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	var lost []*call
	for len(c.conns) > 0 {
		lost = append(lost, c.closeConn(c.conns[0])...)
	}
	c.mu.Unlock()
	failCalls(lost)
}

var replyOutcomes = map[string]admission.Outcome{"DATA": logic.OutcomeOK, "LATER": logic.OutcomeRejected, "FAULT": logic.OutcomeFailed,
	"TOOSLOW": logic.OutcomeTimedOut, "NOUSE": logic.OutcomeNotStarted}

// parseReply reads a reply's first line; length is that of the data which follows an OK.
func parseReply(line string, most int) (id string, o admission.Outcome, length int, err error) {
	text, whole := strings.CutSuffix(line, "\r\n")
	words := strings.Split(text, " ")
	if !whole || len(words) < 2 || words[0] == "" {
		return "", 0, 0, fmt.Errorf("bad reply %.60q", line)
	}
	o, known := replyOutcomes[words[1]]
	if !known || (o == logic.OutcomeOK) != (len(words) == 3) {
		return "", 0, 0, fmt.Errorf("bad reply %.60q", line)
	}
	if o == logic.OutcomeOK {
		n, err := strconv.ParseUint(words[2], 10, 31)
		if err != nil || int(n) > most {
			return "", 0, 0, fmt.Errorf("bad length in reply %.60q", line)
		}
		length = int(n)
	}
	return words[0], o, length, nil
}

func dial(address string, l limits.Limits) (net.Conn, error) {
	return net.DialTimeout("tcp", address, l.DialTimeout)
}
