package catalogue

import (
	"slices"
	"time"
)

// The connection rule: while fewer than limits.CatalogueConnections are open, each call gets a connection of its own,
// either the most recently opened idle one or a new one, so that a stuck or malformed reply affects one call only.
// Beyond that, a call shares the connection with the fewest calls in flight.
//
//   - A call that must not be made twice is never made on an idle connection: the connection may be dead, and after
//     its reset it would be unknown whether the call ran.
//   - A connection whose last call was for the same request is not used, since it may still deliver a second copy
//     of that call's reply.
//   - Idle connections are closed after limits.CatalogueIdleTimeout, before the catalogue closes them.

// pickConnection returns the connection for a request's call; the caller holds mu.
func (c *Client) pickConnection(id string, once bool) *conn {
	var leastLoaded *conn
	for i := len(c.connections) - 1; i >= 0; i-- {
		cn := c.connections[i]
		if cn.address != c.address || cn.lastRequest == id {
			continue
		}
		if len(cn.calls) == 0 && !once && time.Since(cn.lastUsed) < c.limits.CatalogueIdleTimeout {
			return cn
		}
		if leastLoaded == nil || len(cn.calls) < len(leastLoaded.calls) {
			leastLoaded = cn
		}
	}
	if len(c.connections) >= c.limits.CatalogueConnections {
		if leastLoaded != nil && len(leastLoaded.calls) > 0 {
			return leastLoaded
		}
		c.closeOneIdle()
	}
	return c.openConnection()
}

// openConnection adds a connection and starts opening it; the caller holds mu.
func (c *Client) openConnection() *conn {
	cn := &conn{client: c, address: c.address, calls: map[string]*call{}, lastUsed: time.Now()}
	c.connections = append(c.connections, cn)
	go cn.run()
	return cn
}

// closeOneIdle closes the idle connection that was opened first, if any, to make room for a new one; the caller
// holds mu.
func (c *Client) closeOneIdle() {
	for _, cn := range c.connections {
		if len(cn.calls) == 0 {
			c.closeConnection(cn)
			return
		}
	}
}

// closeIdle closes connections that have been idle for limits.CatalogueIdleTimeout, and idle ones to a previous
// address. It schedules another run while idle connections are left; the caller holds mu.
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

// closeConnection closes a connection and returns the calls that were in flight on it. The caller holds mu, and must
// end those calls after releasing it.
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
