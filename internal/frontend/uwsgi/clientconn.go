package uwsgi

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"sloehitch/internal/frontend/gracefulclose"
)

// evictedCloseDivisor divides limits.CloseTimeout for connections that were evicted from their slots.
const evictedCloseDivisor = 10

// clientConn is a client's connection until its request has been read. Data that arrived while the process was paused past a
// deadline is still read.
type clientConn struct {
	net.Conn

	mu      sync.Mutex
	evicted bool // the slot was given to another connection
}

// evict ends the reading of the request, apart from data that has already arrived. It may be called from any goroutine.
func (c *clientConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.SetReadDeadline(time.Now()) // wakes the reader; an error means that the connection is closed, which wakes it too
}

// setReadDeadline sets the time by which the request must have arrived. On an evicted connection that is the current time.
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

// Read implements net.Conn. After the deadline it still returns data that has already arrived.
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
