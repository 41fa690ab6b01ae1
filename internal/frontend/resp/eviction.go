package resp

import (
	"slices"
	"sync"
	"time"
)

// The rule for evicted connections, which gave their slot to another one and still hold a descriptor each.
// Which connection is evicted, package connlimit says.
//
//   - What has arrived on an evicted connection is read and rejected before it ends, however long that takes:
//     the process may have been stopped, with requests unread. Then its peer has limits.CloseTimeout to end
//     its side.
//   - At most limits.EvictedConnections of them may wait for their peers: beyond that the longest waiting on
//     which all is written is closed.
//   - At most limits.UnadmittedConnections more may be there on which something is still to be answered.
//     Beyond that the connection that evicts waits, for limits.CloseTimeout by counted polls: time in which
//     the process is stopped counts as one poll.

// evictPollInterval is how often a connection that waits for evictions to end looks whether they have.
const evictPollInterval = time.Millisecond

// evictionList is the connections that were evicted and are still open.
type evictionList struct {
	maxAwaitingPeer int
	maxUnflushed    int

	mu   sync.Mutex
	list []*framedConn // the longest waiting first
}

// add has an evicted connection end, and blocks while there are too many, for maxWait at most.
func (e *evictionList) add(c *framedConn, maxWait time.Duration) {
	e.mu.Lock()
	e.list = append(e.list, c)
	e.mu.Unlock()
	c.stopReading() // it may be over, and removed, from here on
	for polls := int(maxWait / evictPollInterval); e.trim() && polls > 0; polls-- {
		time.Sleep(evictPollInterval)
	}
}

// trim closes connections on which nothing is left to write, the longest waiting first, until there are not
// more than may wait for their peers. It reports whether there still are too many.
func (e *evictionList) trim() (tooMany bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.list) > e.maxAwaitingPeer {
		flushed := slices.IndexFunc(e.list, func(c *framedConn) bool { return c.flushed.Load() })
		if flushed < 0 {
			break
		}
		_ = e.list[flushed].Close()
		e.list = slices.Delete(e.list, flushed, flushed+1)
	}
	return len(e.list) > e.maxAwaitingPeer+e.maxUnflushed
}

// remove takes a connection that has ended off the list.
func (e *evictionList) remove(c *framedConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = slices.DeleteFunc(e.list, func(other *framedConn) bool { return other == c })
}

// len returns how many there are.
func (e *evictionList) len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.list)
}

// evict ends a connection whose slot was given to another one. It blocks while too many are being ended.
func (f *Front) evict(c *framedConn) {
	f.opts.Log.Debug("evicting a connection to free its slot", "peer", c.RemoteAddr())
	f.evictions.add(c, f.opts.Limits.CloseTimeout)
}
