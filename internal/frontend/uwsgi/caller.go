package uwsgi

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	closing "sloehitch/internal/frontend/gracefulclose"
)

// evictedPart is the part of limits.Linger that a caller without a place has to end its connection.
const evictedPart = 10

// caller is a client's connection until its request is whole. What arrives while the process stands still past a deadline is still read.
type caller struct {
	net.Conn

	mu      sync.Mutex
	evicted bool // it has no place any more
}

// evict has the caller make room for another: the reading of its request ends with what has arrived. It may be called from any goroutine.
func (k *caller) evict() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.evicted = true
	_ = k.SetReadDeadline(time.Now()) // it wakes the reader; one whose connection is closed is awake
}

// readBy sets the time by which the request must have come; one that makes room has none left.
func (k *caller) readBy(deadline time.Time) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.evicted {
		deadline = time.Now()
	}
	return k.SetReadDeadline(deadline)
}

func (k *caller) isEvicted() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.evicted
}

// Read implements net.Conn.
func (k *caller) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n, arrived := closing.ReadAvailable(k.Conn, b, false); arrived == nil {
		return n, nil
	}
	return 0, err
}
