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

// Errors after which nothing more is read from a connection.
var (
	errMessageTimeout = errors.New("message not received within the timeout")
	errReadingStopped = errors.New("connection is being closed by this side")
)

// framedConn is a connection whose reads return only well-framed data that arrived in time. Once other data
// has arrived, or none in time, all reads fail.
type framedConn struct {
	net.Conn
	validator      frameValidator
	readErr        error         // returned by all further reads
	messageTimeout time.Duration // until the first message is complete, and from the start to the end of each later one
	timeoutFrom    time.Time     // start of messageTimeout
	slot           *connlimit.Slot
	unadmitted     bool // the connection holds no slot yet
	finalBytes     int  // how many bytes may still be read after stopReading

	flushed    atomic.Bool // all answers are written
	answersDue func() bool // reports whether answers are still due; nil: never

	mu       sync.Mutex
	stopping bool
}

// newFramedConn returns a connection that enforces the limits on messages.
func newFramedConn(c net.Conn, lim *limits.Limits) *framedConn {
	return &framedConn{Conn: c, validator: newFrameValidator(lim), messageTimeout: lim.MessageTimeout, timeoutFrom: time.Now(),
		finalBytes: lim.RequestsPerConnection * lim.FrameBytes}
}

func (c *framedConn) Close() error {
	c.flushed.Store(true)
	return c.Conn.Close()
}

// stopReading starts closing the connection from this side: reading ends once no answer is due any more. Data
// that arrives until then is read, up to finalBytes. It is safe for concurrent use and may be called repeatedly.
func (c *framedConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return
	}
	c.stopping = true
	_ = c.SetReadDeadline(time.Now()) // wakes the reader; on a closed connection it fails, and no read blocks
}

// armDeadline sets the deadline for the next bytes. It returns false if stopReading was called.
func (c *framedConn) armDeadline(deadline time.Time) (reading bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return false, nil
	}
	return true, c.SetReadDeadline(deadline)
}

// isStopping reports whether stopReading was called.
func (c *framedConn) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// Read implements net.Conn. It must be called from one goroutine only.
func (c *framedConn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	complete, begun := c.validator.complete, c.validator.state != wantArray
	deadline := time.Time{} // none between messages: CloseIdle handles idle connections
	if begun || complete == 0 {
		deadline = c.timeoutFrom.Add(c.messageTimeout)
	}
	n, err := c.readUntil(deadline, b)
	if errors.Is(err, os.ErrDeadlineExceeded) && complete == 0 && !begun {
		n, err = c.endSilent(b)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errMessageTimeout) {
		err, c.readErr = errMessageTimeout, errMessageTimeout
	}
	valid, framingErr := c.validator.check(b[:n])
	if c.validator.complete > complete || complete > 0 && !begun {
		c.timeoutFrom = time.Now()
	}
	if framingErr != nil {
		c.readErr = framingErr // returned after the valid data that came before it
		if valid == 0 {
			return 0, framingErr
		}
		return valid, nil
	}
	return n, err
}

// readUntil reads data that arrives by the deadline, or that has arrived already if stopReading was called.
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
	// The deadline may have passed while the process was stopped: data that arrived meanwhile is in time.
	n, arrived := gracefulclose.ReadAvailable(c.Conn, b, false)
	if errors.Is(arrived, gracefulclose.ErrNoData) {
		return 0, err
	}
	return n, arrived
}

// endSilent ends a connection on which nothing arrived in time. A request that arrives before the sending side is shut down
// is still read.
func (c *framedConn) endSilent(b []byte) (int, error) {
	c.stopReading()
	n, err := c.readRemaining(b)
	if errors.Is(err, errReadingStopped) {
		return 0, errMessageTimeout
	}
	return n, err
}

// remainingPollInterval is how often a closing connection is polled for further bytes while answers are due.
const remainingPollInterval = 2 * time.Millisecond

// readRemaining reads data that arrives on a closing connection, up to finalBytes, as long as answers are due on
// it. Once none is due and no data is available, it shuts down the sending side. A request that arrives before
// that is read and answered, even if the process was stopped in between.
func (c *framedConn) readRemaining(b []byte) (int, error) {
	for c.finalBytes > 0 {
		last := c.answersDue == nil || !c.answersDue()
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
