package resp

import (
	"slices"
	"sync"
	"time"
)

// The rule for evicted connections: they have lost their slot to another connection and still hold a file
// descriptor. Package connlimit selects the connection to evict.
//
//   - Requests that have arrived on an evicted connection are read and rejected before it is closed, however
//     long that takes: the process may have been stopped with requests unread. Then the peer has
//     limits.CloseTimeout to close its side.
//   - At most limits.EvictedConnections of them may wait for their peers. Beyond that, the one that has waited
//     longest is closed, among those whose answers are all written.
//   - At most limits.UnadmittedConnections more may have unwritten answers. Beyond that, the evicting connection
//     waits for up to limits.CloseTimeout, measured in polls: time during which the process is stopped counts
//     as one poll.

// evictPollInterval is how often an evicting connection checks whether earlier evictions have completed.
const evictPollInterval = time.Millisecond

// evictionList holds the connections that were evicted and are still open.
type evictionList struct {
	maxAwaitingPeer int
	maxUnflushed    int

	mu    sync.Mutex
	conns []*framedConn // in the order of their eviction
}

// add starts closing an evicted connection, and blocks while there are too many, for at most maxWait.
func (e *evictionList) add(c *framedConn, maxWait time.Duration) {
	e.mu.Lock()
	e.conns = append(e.conns, c)
	e.mu.Unlock()
	c.stopReading() // from here on, the connection may end and be removed from the list
	for polls := int(maxWait / evictPollInterval); e.closeExcess() && polls > 0; polls-- {
		time.Sleep(evictPollInterval)
	}
}

// closeExcess closes connections whose answers are all written, oldest eviction first, until at most maxAwaitingPeer
// are left. It reports whether there are still too many.
func (e *evictionList) closeExcess() (tooMany bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.conns) > e.maxAwaitingPeer {
		flushed := slices.IndexFunc(e.conns, func(c *framedConn) bool { return c.flushed.Load() })
		if flushed < 0 {
			break
		}
		_ = e.conns[flushed].Close()
		e.conns = slices.Delete(e.conns, flushed, flushed+1)
	}
	return len(e.conns) > e.maxAwaitingPeer+e.maxUnflushed
}

// remove removes a connection that has ended from the list.
func (e *evictionList) remove(c *framedConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns = slices.DeleteFunc(e.conns, func(other *framedConn) bool { return other == c })
}

func (e *evictionList) len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// evict closes a connection that lost its slot to another one. It blocks while too many evictions are pending.
func (f *Front) evict(c *framedConn) {
	f.opts.Log.Debug("evicting a connection to free its slot", "peer", c.RemoteAddr())
	f.evictions.add(c, f.opts.Limits.CloseTimeout)
}
