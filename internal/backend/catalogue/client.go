// Package catalogue makes the runtime's calls to the catalogue.
package catalogue

import (
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Client makes calls. Its methods may be called from any goroutine and do not block; a call's ReplyFunc is
// called once, without the client's lock.
type Client struct {
	limits limits.Limits
	log    *lograte.Logger

	mu          sync.Mutex
	address     string
	calls       map[string]*call // in flight, by their request
	connections []*conn          // open or being opened, the most recently opened last
	idleTimer   *time.Timer
}

// New returns a client for the catalogue at the address.
func New(address string, l limits.Limits, log *slog.Logger) *Client {
	return &Client{address: address, limits: l, log: lograte.New(log, l.LogInterval), calls: map[string]*call{}}
}

// SetAddress makes all calls from now on at another address. Calls in flight end where they were made.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	c.closeIdle()
}

// Call makes a call for a request; an earlier one for it is canceled and never reported. once says that it
// must not be made again if it may have run. It waits for the reply for the timeout and
// limits.CallTimeoutSlack: the catalogue answers within the timeout where it can.
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

// Cancel gives up a request's call, which is never reported then.
func (c *Client) Cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.calls[id]; k != nil {
		c.cancel(k)
	}
}

// cancel gives up a call; the caller holds mu.
func (c *Client) cancel(k *call) {
	c.remove(k)
	k.connection.cancel(k)
}

// remove takes a call that is over off the tables; the caller holds mu.
func (c *Client) remove(k *call) {
	k.timer.Stop()
	delete(k.connection.calls, k.id)
	if c.calls[k.id] == k {
		delete(c.calls, k.id)
	}
	k.connection.lastRequest, k.connection.lastUsed = k.id, time.Now()
	c.closeIdle()
}

// expire ends a call that got no reply in its time, and closes the connection that owes it.
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

// Close closes all connections. Calls in flight end as those of a broken connection do.
func (c *Client) Close() {
	c.mu.Lock()
	var lost []*call
	for len(c.connections) > 0 {
		lost = append(lost, c.closeConnection(c.connections[0])...)
	}
	c.mu.Unlock()
	failCalls(lost)
}
