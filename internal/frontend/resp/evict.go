package resp

import (
	"slices"
	"sync"
	"time"
)

// evictPollInterval is how often a newcomer that waits for others to make room looks whether they have.
const evictPollInterval = time.Millisecond

// evictionList are the connections that made room for others and are still to end. Each holds a descriptor beyond the seats.
type evictionList struct {
	maxAwaitingPeer int // that wait for their peers to end them
	maxUnflushed    int // and beyond these, that may be there until what has arrived on them is answered

	mu   sync.Mutex
	list []*framedConn // the longest first
}

// add has a connection end that has to make room, and waits until there are not too many. The process may have stood still, so what has arrived on
// them is answered before any is closed, whatever the time; time in which the process stands still counts as one look.
func (e *evictionList) add(g *framedConn, patience time.Duration) {
	e.mu.Lock()
	e.list = append(e.list, g)
	e.mu.Unlock()
	g.stopReading() // it may be over, and removed, from here on
	for looks := int(patience / evictPollInterval); e.trim() && looks > 0; looks-- {
		time.Sleep(evictPollInterval)
	}
}

// trim closes connections on which nothing is left to write, the longest first, until there are not more than may be there. It returns
// whether there still are too many.
func (e *evictionList) trim() (tooMany bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.list) > e.maxAwaitingPeer {
		settled := slices.IndexFunc(e.list, func(g *framedConn) bool { return g.flushed.Load() })
		if settled < 0 {
			break
		}
		e.list[settled].Close()
		e.list = slices.Delete(e.list, settled, settled+1)
	}
	return len(e.list) > e.maxAwaitingPeer+e.maxUnflushed
}

// remove takes a connection that has ended off the list.
func (e *evictionList) remove(g *framedConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = slices.DeleteFunc(e.list, func(other *framedConn) bool { return other == g })
}

// len is how many there are.
func (e *evictionList) len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.list)
}

// evict ends a connection that made room for another. What has arrived on it by now is read and answered; it then has limits.Linger to end from
// the other side, or less where many do. It blocks while too many connections are being ended.
func (f *Front) evict(g *framedConn) {
	f.opts.Log.Debug("a connection makes room for another", "peer", g.RemoteAddr())
	f.evictions.add(g, f.opts.Limits.CloseTimeout)
}
