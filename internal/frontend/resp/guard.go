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
	"sloehitch/internal/platform/sockerr"
)

// errReadingStopped ends the reading of a connection that is being closed from this side.
var errReadingStopped = errors.New("nothing more is read: the connection is being closed")

// framedConn is a connection whose reads are well framed and come in time; after what is not, they fail.
type framedConn struct {
	net.Conn
	frames         frameValidator
	readErr        error
	messageTimeout time.Duration // for a message to come whole, and for the first one to come
	timeoutFrom    time.Time     // when that time began
	slot           *connlimit.Slot
	unadmitted     bool // there is no place for it: it is refused and ends
	finalBytes     int  // bytes that may still be read once the reading is to stop

	flushed     atomic.Bool // nothing is left to write on it
	answersOwed func() bool // whether answers are owed on it; nil: none are, ever

	mu       sync.Mutex
	stopping bool
}

// Close closes the connection.
func (g *framedConn) Close() error {
	g.flushed.Store(true)
	return g.Conn.Close()
}

// stopReading has the connection end from this side once no answer is owed on it; what arrives until then is read, up to spare bytes. It may be called
// from any goroutine, and more than once.
func (g *framedConn) stopReading() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return
	}
	g.stopping = true
	_ = g.SetReadDeadline(time.Now()) // it wakes the reader; one whose connection is closed is awake
}

// armDeadline sets the time by which the next bytes must come. It returns false where the reading is to stop.
func (g *framedConn) armDeadline(deadline time.Time) (reading bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return false, nil
	}
	return true, g.SetReadDeadline(deadline)
}

// isStopping says whether the reading is to stop.
func (g *framedConn) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

func (g *framedConn) Read(b []byte) (int, error) {
	if g.readErr != nil {
		return 0, g.readErr
	}
	whole, begun := g.frames.complete, g.frames.state != wantArray
	deadline := time.Time{} // between messages a connection may be quiet for as long as the front lets it
	if begun || whole == 0 {
		deadline = g.timeoutFrom.Add(g.messageTimeout)
	}
	n, err := g.readUntil(deadline, b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err, g.readErr = errMessageTimeout, errMessageTimeout
	}
	ok, bad := g.frames.check(b[:n])
	if g.frames.complete > whole || whole > 0 && !begun {
		g.timeoutFrom = time.Now()
	}
	if bad != nil {
		g.readErr = bad // what came whole before it is handed on first
		if ok == 0 {
			return 0, bad
		}
		return ok, nil
	}
	return n, err
}

// readUntil reads what comes by the deadline, or has come where the reading is to stop.
func (g *framedConn) readUntil(deadline time.Time, b []byte) (int, error) {
	reading, err := g.armDeadline(deadline)
	if err != nil {
		return 0, err
	}
	if !reading {
		return g.readRemaining(b)
	}
	n, err := g.Conn.Read(b)
	for tries := 0; n == 0 && sockerr.IsTransient(err) && tries < maxTransientRetries; tries++ {
		time.Sleep(transientRetryDelay) // nothing is wrong with the connection, and its requests are owed answers
		n, err = g.Conn.Read(b)
	}
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if g.isStopping() {
		return g.readRemaining(b)
	}
	// The deadline may have passed while the process stood still, and what came meanwhile came in time.
	n, arrived := gracefulclose.ReadAvailable(g.Conn, b, false)
	if errors.Is(arrived, gracefulclose.ErrNoData) {
		return 0, err
	}
	return n, arrived
}

// maxTransientRetries is how many times in a row a read is tried again after errors that pass by themselves.
const maxTransientRetries = 500

// remainingPollInterval is how often a connection that is to end looks for further bytes while answers are owed on it.
const remainingPollInterval = 2 * time.Millisecond

// readRemaining reads what arrives on a connection that is to end, up to spare bytes, as long as answers are owed on it. Once none is and nothing has
// arrived, it ends the connection from this side: a request that arrives before that is read and answered, whenever the process stood still.
func (g *framedConn) readRemaining(b []byte) (int, error) {
	for g.finalBytes > 0 {
		last := g.answersOwed == nil || !g.answersOwed()
		n, err := gracefulclose.ReadAvailable(g.Conn, b, last)
		if !errors.Is(err, gracefulclose.ErrNoData) {
			g.finalBytes -= n
			return n, err
		}
		if last {
			break
		}
		time.Sleep(remainingPollInterval)
	}
	return 0, errReadingStopped
}
