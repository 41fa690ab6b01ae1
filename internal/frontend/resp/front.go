// Package resp is the front for the platform's balancers: it parses their messages, asks the core and writes its
// answers, in whatever order they come.
package resp

import (
	"errors"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Core is what the front asks of the node.
type Core interface {
	Submit(q node.Request, reply func(node.Response))
	Cancel(id string)
	Abort(id string)
	RejectionStatus(class, key string) node.Status
}

// NodeStatus is what goes with every answer.
type NodeStatus interface {
	LoadSignal() (float64, bool)
	Healthy() bool
	IdleTimeout() time.Duration
}

// Options are what a front is made of.
type Options struct {
	Core           Core
	Status         NodeStatus
	Runner         node.Runner
	Classes        map[string]int
	Tenants        map[string]int
	OnUnknownClass func(class string) // told of each request refused for a class not in the settings; may be nil
	Limits         limits.Limits
	Log            *slog.Logger
	Timestamps     *clock.Timestamps // reads requests' time stamps; nil: one with the bounds of Limits
}

// Front serves balancers.
type Front struct {
	opts Options
	log  *lograte.Logger

	slots            *connlimit.Limiter
	classes          atomic.Pointer[map[string]int] // as of the latest Retune
	pending          atomic.Int64                   // connections accepted and not yet among conns
	closingListeners atomic.Int64                   // listeners that are to close and may still hand out connections
	unreadBytes      atomic.Int64                   // bytes of answers that wait for their peers to read

	unadmitted chan struct{} // as many as there are connections without a place

	closed chan struct{}

	evictions evictionList

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// New returns a front that serves nothing yet.
func New(o Options) *Front {
	if o.Timestamps == nil {
		o.Timestamps = clock.NewTimestamps(o.Limits.MaxClockAhead, o.Limits.MaxClockBehind, nil)
	}
	f := &Front{opts: o, log: lograte.New(o.Log, o.Limits.LogInterval), conns: map[*conn]struct{}{}, closed: make(chan struct{}), unadmitted: make(chan struct{}, o.Limits.UnadmittedConnections),
		evictions: evictionList{maxAwaitingPeer: o.Limits.EvictedConnections, maxUnflushed: o.Limits.UnadmittedConnections}, slots: connlimit.New(o.Limits.MaxConnections, o.Limits.NewConnectionGrace, o.Limits.IdleConnectionGrace)}
	f.classes.Store(&o.Classes)
	return f
}

// SetClasses takes the names of classes of new settings, for requests read from now on. The core must know them first.
func (f *Front) SetClasses(classes map[string]int) { f.classes.Store(&classes) }

// SetMaxConnections takes so many connections at once from now on; none is cut for it.
func (f *Front) SetMaxConnections(most int) { f.slots.Resize(most) }

// acceptUnadmitted takes a connection for which there is no place now: what it has to say within limits.Newcomer is read, and then it waits
// for a place, or is refused. Closed at once it would take along a request that has arrived; read only once it has a place, the request would
// be late. A few may be there at once; it waits for its turn.
func (f *Front) acceptUnadmitted(g *framedConn) {
	f.opts.Log.Debug("there is no place for a new connection", "peer", g.RemoteAddr())
	f.unadmitted <- struct{}{}
	g.unadmitted = true
	g.messageTimeout, g.timeoutFrom = f.opts.Limits.NewConnectionGrace, time.Now()
}

// Serve serves what comes in on ln until the front is closed.
func (f *Front) Serve(ln *Listener) error {
	accept := func(c redcon.Conn) bool {
		g := c.NetConn().(*framedConn)
		k := &conn{front: f, socket: g, slot: g.slot, openRequests: map[string]string{}, lastUsed: time.Now()}
		g.answersOwed = k.answersOwed
		c.SetContext(k)
		f.mu.Lock()
		f.conns[k] = struct{}{}
		f.mu.Unlock()
		f.pending.Add(-1)
		return true
	}
	handle := func(c redcon.Conn, cmd redcon.Command) {
		k := c.Context().(*conn)
		k.serve(c.Detach(), cmd) // answers come out of order, from other goroutines: redcon only reads
	}
	closed := func(c redcon.Conn, err error) {
		if k := c.Context().(*conn); !k.served {
			k.endReading(err) // it ended before its first whole command
		}
	}
	err := redcon.Serve(ln, handle, accept, closed)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// connections is the connections that are open now, for a look at each without the front's lock.
func (f *Front) connections() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.conns))
}

// CloseIdle closes connections that have been idle for longer than the core wishes, or all idle ones when leaving.
// It asks first, so that no request crosses the close; a peer that doesn't close in time is cut off.
func (f *Front) CloseIdle() {
	idle := f.opts.Status.IdleTimeout()
	now := time.Now()
	f.mu.Lock()
	leaving := f.draining
	f.mu.Unlock()
	for _, k := range f.connections() {
		k.closeIfIdle(now, idle, leaving)
	}
}

// RequestClose asks each connection that has not been asked yet to close, and cuts none: while leaving, balancers learn
// late and may still send on a connection that was asked, and what they send is served until the kill.
func (f *Front) RequestClose() {
	now := time.Now()
	for _, k := range f.connections() {
		k.mu.Lock()
		if k.closeRequestedAt.IsZero() {
			k.requestClose(now)
		}
		k.mu.Unlock()
	}
}

// StartDrain asks all balancers to send nothing more here.
func (f *Front) StartDrain() {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.CloseIdle()
}

// Shutdown ends all connections from this side, each as soon as all that came on it is answered and written. It waits until the peers have ended
// them too, at the longest for the given time. A process that ended without it would reset connections on which something unread stands, and
// answers that are on their way with them.
func (f *Front) Shutdown(within time.Duration) {
	by := time.Now().Add(within)
	for {
		for _, k := range f.connections() {
			k.socket.stopReading()
		}
		if f.OpenConnections() == 0 || !time.Now().Before(by) {
			return
		}
		time.Sleep(min(by.Sub(time.Now()), f.opts.Limits.MinBackoff/4))
	}
}

// Close ends Serve and closes all connections, once the listener is closed. It is to be called once.
func (f *Front) Close() { close(f.closed) }

// OpenConnections is the number of open connections; a listener that is to close and may still hand out some counts as one.
func (f *Front) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) + int(f.pending.Load()+f.closingListeners.Load())
}
