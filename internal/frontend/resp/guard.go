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

// errStopped ends the reading of a connection that is being closed from this side.
var errStopped = errors.New("nothing more is read: the connection is being closed")

// guarded is a connection whose reads are well framed and come in time; after what is not, they fail.
type guarded struct {
	net.Conn
	frames   frames
	bad      error
	limit    time.Duration // for a message to come whole, and for the first one to come
	since    time.Time     // when that time began
	seat     *connlimit.Seat
	unseated bool // there is no place for it: it is refused and ends
	spare    int  // bytes that may still be read once the reading is to stop

	settled atomic.Bool // nothing is left to write on it
	owes    func() bool // whether answers are owed on it; nil: none are, ever

	mu       sync.Mutex
	stopping bool
}

// Close closes the connection.
func (g *guarded) Close() error {
	g.settled.Store(true)
	return g.Conn.Close()
}

// stop has the connection end from this side once no answer is owed on it; what arrives until then is read, up to spare bytes. It may be called
// from any goroutine, and more than once.
func (g *guarded) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return
	}
	g.stopping = true
	_ = g.SetReadDeadline(time.Now()) // it wakes the reader; one whose connection is closed is awake
}

// arm sets the time by which the next bytes must come. It returns false where the reading is to stop.
func (g *guarded) arm(deadline time.Time) (reading bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return false, nil
	}
	return true, g.SetReadDeadline(deadline)
}

// isStopping says whether the reading is to stop.
func (g *guarded) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

func (g *guarded) Read(b []byte) (int, error) {
	if g.bad != nil {
		return 0, g.bad
	}
	whole, begun := g.frames.whole, g.frames.state != wantArray
	deadline := time.Time{} // between messages a connection may be quiet for as long as the front lets it
	if begun || whole == 0 {
		deadline = g.since.Add(g.limit)
	}
	n, err := g.readBy(deadline, b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err, g.bad = errSlow, errSlow
	}
	ok, bad := g.frames.check(b[:n])
	if g.frames.whole > whole || whole > 0 && !begun {
		g.since = time.Now()
	}
	if bad != nil {
		g.bad = bad // what came whole before it is handed on first
		if ok == 0 {
			return 0, bad
		}
		return ok, nil
	}
	return n, err
}

// readBy reads what comes by the deadline, or has come where the reading is to stop.
func (g *guarded) readBy(deadline time.Time, b []byte) (int, error) {
	reading, err := g.arm(deadline)
	if err != nil {
		return 0, err
	}
	if !reading {
		return g.readRest(b)
	}
	n, err := g.Conn.Read(b)
	for tries := 0; n == 0 && sockerr.Passing(err) && tries < passingMost; tries++ {
		time.Sleep(passingRest) // nothing is wrong with the connection, and its requests are owed answers
		n, err = g.Conn.Read(b)
	}
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if g.isStopping() {
		return g.readRest(b)
	}
	// The deadline may have passed while the process stood still, and what came meanwhile came in time.
	n, arrived := gracefulclose.ReadArrived(g.Conn, b, false)
	if errors.Is(arrived, gracefulclose.ErrNothing) {
		return 0, err
	}
	return n, arrived
}

// passingMost is how many times in a row a read is tried again after errors that pass by themselves.
const passingMost = 500

// restLook is how often a connection that is to end looks for further bytes while answers are owed on it.
const restLook = 2 * time.Millisecond

// readRest reads what arrives on a connection that is to end, up to spare bytes, as long as answers are owed on it. Once none is and nothing has
// arrived, it ends the connection from this side: a request that arrives before that is read and answered, whenever the process stood still.
func (g *guarded) readRest(b []byte) (int, error) {
	for g.spare > 0 {
		last := g.owes == nil || !g.owes()
		n, err := gracefulclose.ReadArrived(g.Conn, b, last)
		if !errors.Is(err, gracefulclose.ErrNothing) {
			g.spare -= n
			return n, err
		}
		if last {
			break
		}
		time.Sleep(restLook)
	}
	return 0, errStopped
}
