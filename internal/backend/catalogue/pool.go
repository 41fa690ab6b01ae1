package catalogue

import (
	"slices"
	"time"
)

// The connection rule: a call goes on a connection of its own, the idle one opened last or a new one, while
// fewer than limits.CatalogueConnections are open, so that a stuck or malformed reply costs one call; beyond
// that it shares the connection with the fewest calls in flight.
//
//   - A call that must not be made twice never goes on an idle connection: that may be dead, and its reset
//     would not tell whether the call ran.
//   - A connection whose last call was for the same request is left out, as it may still bring a second copy
//     of that call's reply.
//   - Idle connections are closed after limits.CatalogueIdleTimeout, before the catalogue does it.

// pickConnection returns the connection for a request's call; the caller holds mu.
func (c *Client) pickConnection(id string, once bool) *conn {
	var least *conn
	for i := len(c.connections) - 1; i >= 0; i-- {
		cn := c.connections[i]
		if cn.address != c.address || cn.lastRequest == id {
			continue
		}
		if len(cn.calls) == 0 && !once && time.Since(cn.lastUsed) < c.limits.CatalogueIdleTimeout {
			return cn
		}
		if least == nil || len(cn.calls) < len(least.calls) {
			least = cn
		}
	}
	if len(c.connections) >= c.limits.CatalogueConnections {
		if least != nil && len(least.calls) > 0 {
			return least
		}
		c.closeOneIdle()
	}
	return c.openConnection()
}

// openConnection adds a connection that is being opened; the caller holds mu.
func (c *Client) openConnection() *conn {
	cn := &conn{client: c, address: c.address, calls: map[string]*call{}, lastUsed: time.Now()}
	c.connections = append(c.connections, cn)
	go cn.run()
	return cn
}

// closeOneIdle closes the first idle connection, if any, to make room for a new one; the caller holds mu.
func (c *Client) closeOneIdle() {
	for _, cn := range c.connections {
		if len(cn.calls) == 0 {
			c.closeConnection(cn)
			return
		}
	}
}

// closeIdle closes connections that have been idle for limits.CatalogueIdleTimeout, and idle ones to a former
// address. It looks again as long as there are idle ones; the caller holds mu.
func (c *Client) closeIdle() {
	idle := false
	for i := 0; i < len(c.connections); i++ {
		switch cn := c.connections[i]; {
		case len(cn.calls) > 0:
		case cn.address != c.address || time.Since(cn.lastUsed) >= c.limits.CatalogueIdleTimeout:
			c.closeConnection(cn)
			i--
		default:
			idle = true
		}
	}
	if !idle || c.idleTimer != nil {
		return
	}
	c.idleTimer = time.AfterFunc(c.limits.CatalogueIdleTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idleTimer = nil
		c.closeIdle()
	})
}

// closeConnection closes a connection and returns the calls that were in flight on it; the caller holds mu, and
// ends them without it.
func (c *Client) closeConnection(cn *conn) (lost []*call) {
	if i := slices.Index(c.connections, cn); i >= 0 {
		c.connections = slices.Delete(c.connections, i, i+1)
	}
	cn.closed = true
	if cn.socket != nil {
		_ = cn.socket.Close()
	}
	for _, k := range cn.calls {
		k.timer.Stop()
		delete(c.calls, k.id)
		lost = append(lost, k)
	}
	clear(cn.calls)
	return lost
}
