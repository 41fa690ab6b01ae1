package resp

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/frontend/gracefulclose"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/sockerr"
)

// Errors that end the reading of a connection.
var (
	errMessageTimeout = errors.New("a message did not come in time")
	errReadingStopped = errors.New("the connection is being closed from this side")
)

// framedConn is a connection whose reads return well framed data that came in time; after any other they
// fail.
type framedConn struct {
	net.Conn
	validator      frameValidator
	readErr        error         // of all further reads
	messageTimeout time.Duration // for a message to be complete, and for the first one to come
	timeoutFrom    time.Time     // when that time began
	slot           *connlimit.Slot
	unadmitted     bool // it has no slot yet
	finalBytes     int  // that may still be read once reading is to stop

	flushed     atomic.Bool // nothing is left to write on it
	answersOwed func() bool // whether answers are owed on it; nil: none are, ever

	mu       sync.Mutex
	stopping bool
}

// newFramedConn returns a connection within the limits on messages.
func newFramedConn(c net.Conn, lim *limits.Limits) *framedConn {
	return &framedConn{Conn: c, validator: newFrameValidator(lim), messageTimeout: lim.MessageTimeout, timeoutFrom: time.Now(),
		finalBytes: lim.RequestsPerConnection * lim.FrameBytes}
}

// Close closes the connection.
func (c *framedConn) Close() error {
	c.flushed.Store(true)
	return c.Conn.Close()
}

// stopReading has the connection end from this side once no answer is owed on it; what arrives until then is
// read, up to finalBytes. It may be called from any goroutine, and more than once.
func (c *framedConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return
	}
	c.stopping = true
	_ = c.SetReadDeadline(time.Now()) // it wakes the reader; one whose connection is closed is awake
}

// armDeadline sets the time by which the next bytes must come. It returns false if reading is to stop.
func (c *framedConn) armDeadline(deadline time.Time) (reading bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return false, nil
	}
	return true, c.SetReadDeadline(deadline)
}

// isStopping reports whether reading is to stop.
func (c *framedConn) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// Read implements net.Conn. It is called from one goroutine.
func (c *framedConn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	complete, begun := c.validator.complete, c.validator.state != wantArray
	deadline := time.Time{} // between messages a connection may be idle for as long as the front lets it
	if begun || complete == 0 {
		deadline = c.timeoutFrom.Add(c.messageTimeout)
	}
	n, err := c.readUntil(deadline, b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err, c.readErr = errMessageTimeout, errMessageTimeout
	}
	valid, framingErr := c.validator.check(b[:n])
	if c.validator.complete > complete || complete > 0 && !begun {
		c.timeoutFrom = time.Now()
	}
	if framingErr != nil {
		c.readErr = framingErr // what came before it is handed on first
		if valid == 0 {
			return 0, framingErr
		}
		return valid, nil
	}
	return n, err
}

// readUntil reads what comes by the deadline, or has come if reading is to stop.
func (c *framedConn) readUntil(deadline time.Time, b []byte) (int, error) {
	reading, err := c.armDeadline(deadline)
	if err != nil {
		return 0, err
	}
	if !reading {
		return c.readRemaining(b)
	}
	n, err := sockerr.RetryRead(func() (int, error) { return c.Conn.Read(b) })
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if c.isStopping() {
		return c.readRemaining(b)
	}
	// The deadline may have passed while the process was stopped, and what came meanwhile came in time.
	n, arrived := gracefulclose.ReadAvailable(c.Conn, b, false)
	if errors.Is(arrived, gracefulclose.ErrNoData) {
		return 0, err
	}
	return n, arrived
}

// remainingPollInterval is how often a connection that is to end looks for further bytes while answers are
// owed on it.
const remainingPollInterval = 2 * time.Millisecond

// readRemaining reads what arrives on a connection that is to end, up to finalBytes, as long as answers are
// owed on it. Once none is and nothing has arrived, it ends the sending side: a request that arrives before
// that is read and answered, whenever the process was stopped.
func (c *framedConn) readRemaining(b []byte) (int, error) {
	for c.finalBytes > 0 {
		last := c.answersOwed == nil || !c.answersOwed()
		n, err := gracefulclose.ReadAvailable(c.Conn, b, last)
		if !errors.Is(err, gracefulclose.ErrNoData) {
			c.finalBytes -= n
			return n, err
		}
		if last {
			break
		}
		time.Sleep(remainingPollInterval)
	}
	return 0, errReadingStopped
}
