// Package catalogue is a client of the catalogue service, for the calls that runs request.
package catalogue

import (
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Client makes calls to the catalogue. It is safe for concurrent use, and its methods do not block. A call's ReplyFunc
// is called once, without the client's lock.
type Client struct {
	limits limits.Limits
	log    *lograte.Logger

	mu          sync.Mutex
	address     string
	calls       map[string]*call // calls in flight, by request id
	connections []*conn          // open or being opened, in the order of opening
	idleTimer   *time.Timer
}

// New returns a client for the catalogue at the address.
func New(address string, l limits.Limits, log *slog.Logger) *Client {
	return &Client{address: address, limits: l, log: lograte.New(log, l.LogInterval), calls: map[string]*call{}}
}

// SetAddress sets the address for new calls. Calls in flight complete on their connections to the old address.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	c.closeIdle()
}

// Call makes a call for a request. An earlier call for the same request is canceled, and its ReplyFunc is not called.
// once marks a call that must not be repeated if it may have run. The call fails if no reply arrives within timeout
// plus limits.CallTimeoutSlack; the catalogue itself answers within the timeout where it can.
func (c *Client) Call(id string, timeout time.Duration, body []byte, once bool, done ReplyFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.calls[id]; old != nil {
		c.cancel(old)
	}
	k := &call{id: id, startedAt: time.Now(), done: done, encoded: encodeCall(id, timeout, body)}
	k.timer = time.AfterFunc(timeout+c.limits.CallTimeoutSlack, func() { c.expire(k) })
	c.calls[id] = k
	k.connection = c.pickConnection(id, once)
	k.connection.enqueue(k)
}

// Cancel cancels a request's call; its ReplyFunc is not called.
func (c *Client) Cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.calls[id]; k != nil {
		c.cancel(k)
	}
}

// cancel cancels a call; the caller holds mu.
func (c *Client) cancel(k *call) {
	c.remove(k)
	k.connection.cancel(k)
}

// remove removes a call that has ended from the client and its connection; the caller holds mu.
func (c *Client) remove(k *call) {
	k.timer.Stop()
	delete(k.connection.calls, k.id)
	if c.calls[k.id] == k {
		delete(c.calls, k.id)
	}
	k.connection.lastRequest, k.connection.lastUsed = k.id, time.Now()
	c.closeIdle()
}

// expire ends a call that got no reply in time, and closes its connection.
func (c *Client) expire(k *call) {
	c.mu.Lock()
	if c.calls[k.id] != k {
		c.mu.Unlock()
		return
	}
	c.remove(k)
	lost := c.closeConnection(k.connection)
	c.mu.Unlock()
	k.finishTimedOut()
	failCalls(lost)
}

// Close closes all connections. Calls in flight end as on a broken connection.
func (c *Client) Close() {
	c.mu.Lock()
	var lost []*call
	for len(c.connections) > 0 {
		lost = append(lost, c.closeConnection(c.connections[0])...)
	}
	c.mu.Unlock()
	failCalls(lost)
}
