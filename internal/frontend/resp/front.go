// Package resp is the front for the platform's balancers: it decodes their messages, hands requests to the
// core and writes its answers, in whatever order they come.
//
// A listener (listener.go) accepts connections that are within the slots of the front, and a few beyond them
// (unadmitted.go). framedConn checks the framing of what redcon reads from them, and its timing; conn handles
// the messages, which wire.go decodes. closing.go says when a connection may be closed, eviction.go what
// becomes of those that give their slot to another, output.go what of peers that do not read.
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

// Core is what the front asks of the node. Its methods must not block.
type Core interface {
	// Submit takes a request; reply gets its one final answer, unless Cancel comes first.
	Submit(q node.Request, reply func(node.Response))
	// Cancel says that nobody waits for a request any more.
	Cancel(id string)
	// Abort has a request answered at once, whatever runs.
	Abort(id string)
	// RejectionStatus is how to answer a request that can't be submitted, by its class and idempotency key
	// (empty: none).
	RejectionStatus(class, key string) node.Status
}

// NodeStatus is the state of the node that is reported to balancers. Its methods must not block.
type NodeStatus interface {
	// LoadSignal is the value that goes with every answer, if there is one yet.
	LoadSignal() (signal float64, set bool)
	// Healthy is the answer to health checks.
	Healthy() bool
	// IdleTimeout is how long a connection may be idle before its peer is asked to close it; 0: for ever.
	IdleTimeout() time.Duration
}

// Options are what a front is made of.
type Options struct {
	Core           Core
	Status         NodeStatus
	Runner         node.Runner
	Classes        map[string]int     // by name
	Tenants        map[string]int     // by name
	OnUnknownClass func(class string) // gets each request rejected for a class not in the settings; may be nil
	Limits         limits.Limits
	Log            *slog.Logger
	Timestamps     *clock.Timestamps // reads requests' time stamps; nil: one with the bounds of Limits
}

// Front serves balancers. Its methods may be called from any goroutine.
type Front struct {
	opts Options
	log  *lograte.Logger

	slots            *connlimit.Limiter
	classes          atomic.Pointer[map[string]int] // as of the latest SetClasses
	pending          atomic.Int64                   // connections accepted and not yet among conns
	closingListeners atomic.Int64                   // listeners that are to close and may still hand out connections
	unreadBytes      atomic.Int64                   // of answers that wait for their peers to read
	unadmitted       chan struct{}                  // holds one element for each connection without a slot
	evictions        evictionList
	closed           chan struct{}

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// New returns a front that serves nothing yet.
func New(o Options) *Front {
	lim := &o.Limits
	if o.Timestamps == nil {
		o.Timestamps = clock.NewTimestamps(lim.MaxClockAhead, lim.MaxClockBehind, nil)
	}
	f := &Front{
		opts:       o,
		log:        lograte.New(o.Log, lim.LogInterval),
		slots:      connlimit.New(lim.MaxConnections, lim.NewConnectionGrace, lim.IdleConnectionGrace),
		unadmitted: make(chan struct{}, lim.UnadmittedConnections),
		evictions:  evictionList{maxAwaitingPeer: lim.EvictedConnections, maxUnflushed: lim.UnadmittedConnections},
		closed:     make(chan struct{}),
		conns:      map[*conn]struct{}{},
	}
	f.classes.Store(&o.Classes)
	return f
}

// SetClasses sets the classes by name for requests read from now on. The core must know them first.
func (f *Front) SetClasses(classes map[string]int) { f.classes.Store(&classes) }

// SetMaxConnections sets how many connections may hold slots from now on; none is closed for it at once.
func (f *Front) SetMaxConnections(n int) { f.slots.Resize(n) }

// Serve serves what comes in on ln, and blocks until the front is closed.
func (f *Front) Serve(ln *Listener) error {
	accept := func(rc redcon.Conn) bool {
		socket := rc.NetConn().(*framedConn)
		c := &conn{front: f, socket: socket, slot: socket.slot, openRequests: map[string]string{}, lastUsed: time.Now()}
		socket.answersOwed = c.answersOwed
		rc.SetContext(c)
		f.mu.Lock()
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		f.pending.Add(-1)
		return true
	}
	handle := func(rc redcon.Conn, cmd redcon.Command) {
		c := rc.Context().(*conn)
		c.serve(rc.Detach(), cmd) // answers come out of order, from other goroutines: redcon only reads
	}
	closed := func(rc redcon.Conn, err error) {
		if c := rc.Context().(*conn); !c.served {
			c.endReading(err) // it ended before its first complete message
		}
	}
	err := redcon.Serve(ln, handle, accept, closed)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// connections returns the connections that are open now, for a look at each without the front's lock.
func (f *Front) connections() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.conns))
}

// CloseIdle applies the closing rule (closing.go) to connections that are idle, or to all while draining. It
// is to be called periodically.
func (f *Front) CloseIdle() {
	idleTimeout := f.opts.Status.IdleTimeout()
	now := time.Now()
	f.mu.Lock()
	draining := f.draining
	f.mu.Unlock()
	for _, c := range f.connections() {
		c.closeIfIdle(now, idleTimeout, draining)
	}
}

// RequestClose asks the peer of each connection that was not asked yet to close it, and closes none: while
// the node drains, balancers learn of it late and may still send on a connection that was asked, and what
// they send is served until the end.
func (f *Front) RequestClose() {
	now := time.Now()
	for _, c := range f.connections() {
		c.mu.Lock()
		if c.closeRequestedAt.IsZero() {
			c.requestClose(now)
		}
		c.mu.Unlock()
	}
}

// StartDrain asks all balancers to send nothing more here.
func (f *Front) StartDrain() {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.CloseIdle()
}

// Shutdown ends all connections from this side, each as soon as all that came on it is answered and written.
// It blocks until the peers have ended them too, for the timeout at most. A process that ended without it
// would reset connections with unread data, and lose answers that are on their way.
func (f *Front) Shutdown(timeout time.Duration) {
	start := time.Now()
	for {
		for _, c := range f.connections() {
			c.socket.stopReading()
		}
		if f.OpenConnections() == 0 || time.Since(start) >= timeout {
			return
		}
		time.Sleep(min(timeout-time.Since(start), f.opts.Limits.MinBackoff/4))
	}
}

// Close ends Serve and closes all connections, once the listener is closed. It is to be called once.
func (f *Front) Close() { close(f.closed) }

// OpenConnections returns the number of open connections; a listener that is to close and may still hand out
// some counts as one.
func (f *Front) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) + int(f.pending.Load()+f.closingListeners.Load())
}
