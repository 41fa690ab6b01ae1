package uwsgi

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"sloehitch/internal/frontend/gracefulclose"
)

// evictedCloseDivisor divides limits.CloseTimeout for a connection that was evicted from its slot.
const evictedCloseDivisor = 10

// clientConn is a client's connection until its request has been read. What arrives while the process stands still past a
// deadline is still read.
type clientConn struct {
	net.Conn

	mu      sync.Mutex
	evicted bool // its slot was given to another connection
}

// evict ends the reading of the request with what has arrived. It may be called from any goroutine.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.SetReadDeadline(time.Now()) // wakes the reader; one whose connection is closed is awake
}

// setReadDeadline sets the time by which the request must have come; an evicted connection has none left.
func (c *clientConn) setReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		deadline = time.Now()
	}
	return c.SetReadDeadline(deadline)
}

func (c *clientConn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n, arrived := gracefulclose.ReadAvailable(c.Conn, b, false); arrived == nil {
		return n, nil
	}
	return 0, err
}
