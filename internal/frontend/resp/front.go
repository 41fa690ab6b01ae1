// Package resp is the front end for the platform's balancers: it decodes their messages, submits requests to
// the core and writes the core's answers in the order in which they are produced.
//
// A listener (listener.go) accepts connections up to the number of slots, and a few beyond it (unadmitted.go).
// framedConn checks the framing and the timing of the data that messageReader reads from a connection; conn handles
// the messages, which wire.go decodes. closing.go has the rule for closing connections, eviction.go that for
// connections that lost their slot, output.go that for peers that do not read their answers.
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

	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Core is the interface of the node that handles requests. Its methods must not block.
type Core interface {
	// Submit submits a request; reply is called once with its final answer, unless Cancel is called first.
	Submit(q node.Request, reply func(node.Response))
	// Cancel reports that no client waits for the request any more.
	Cancel(id string)
	// Abort makes the core answer the request at once, even if it is running.
	Abort(id string)
	// RejectionStatus returns the status for a request that can't be submitted, by its class and idempotency
	// key (empty: none).
	RejectionStatus(class, key string) node.Status
}

// NodeStatus is the state of the node that is reported to balancers. Its methods must not block.
type NodeStatus interface {
	// LoadSignal returns the value that is sent with every answer, and whether there is one yet.
	LoadSignal() (signal float64, set bool)
	// Healthy returns the result of health checks.
	Healthy() bool
	// IdleTimeout returns how long a connection may be idle before its peer is asked to close it; 0: no limit.
	IdleTimeout() time.Duration
}

// Options configure a front end.
type Options struct {
	Core           Core
	Status         NodeStatus
	Runner         node.Runner
	Classes        map[string]int     // by name
	Tenants        map[string]int     // by name
	OnUnknownClass func(class string) // called for each request rejected because of an unknown class; may be nil
	Limits         limits.Limits
	Log            *slog.Logger
	Timestamps     *clock.Timestamps // converts requests' time stamps; nil: one with the bounds in Limits
}

// Front serves balancers. It is safe for concurrent use.
type Front struct {
	opts Options
	log  *lograte.Logger

	slots            *connlimit.Limiter
	classes          atomic.Pointer[map[string]int] // as of the latest SetClasses
	pending          atomic.Int64                   // connections that are accepted and not yet in conns
	closingListeners atomic.Int64                   // listeners that are closing and may still accept connections
	unreadBytes      atomic.Int64                   // total size of the answers that are queued for slow peers
	unadmitted       chan struct{}                  // holds one element for each connection without a slot
	evictions        evictionList
	closed           chan struct{}

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// New returns a front end that does not serve any listener yet.
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

// SetClasses replaces the map from class names to class indices, for requests that are read from now on. The
// core must have these classes before the call.
func (f *Front) SetClasses(classes map[string]int) { f.classes.Store(&classes) }

// SetMaxConnections sets the number of connection slots. Connections beyond it are not closed at once.
func (f *Front) SetMaxConnections(n int) { f.slots.Resize(n) }

// Serve serves the connections of ln, and blocks until the front end is closed. Then it closes all connections.
func (f *Front) Serve(ln *Listener) error {
	for {
		socket, err := ln.Accept()
		if err != nil {
			for _, c := range f.connections() {
				_ = c.socket.Close()
			}
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		go f.addConnection(socket.(*framedConn)).serve()
	}
}

// addConnection registers a connection that was accepted.
func (f *Front) addConnection(socket *framedConn) *conn {
	c := &conn{front: f, socket: socket, slot: socket.slot, openRequests: map[string]string{}, lastUsed: time.Now()}
	socket.answersDue = c.answersDue
	f.mu.Lock()
	f.conns[c] = struct{}{}
	f.mu.Unlock()
	f.pending.Add(-1)
	return c
}

// connections returns a copy of the set of open connections, to be iterated over without the lock.
func (f *Front) connections() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.conns))
}

// CloseIdle applies the closing rule (closing.go) to idle connections, or to all connections while draining.
// It must be called periodically.
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

// RequestClose asks the peer of every connection to close it, unless it was asked before. It closes no
// connection itself: balancers learn of a drain late and may still send on a connection that they were asked
// to close, and those requests are served until the drain ends.
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

// StartDrain asks all balancers to close their connections and to send no new requests to this node.
func (f *Front) StartDrain() {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.CloseIdle()
}

// Shutdown closes all connections from this side, each as soon as every message received on it is answered and
// the answers are written. It blocks until the peers have closed them too, for at most the timeout. If the
// process exited without it, connections with unread data would be reset and answers in transit lost.
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

// Close makes Serve return and closes all connections, once the listener is closed. It must be called once.
func (f *Front) Close() { close(f.closed) }

// OpenConnections returns the number of open connections. A listener that is closing and may still accept
// connections counts as one.
func (f *Front) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) + int(f.pending.Load()+f.closingListeners.Load())
}
