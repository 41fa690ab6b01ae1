// Package uwsgi speaks the uwsgi protocol on both sides: Front serves clients, Pool sends their requests to uwsgi servers. Package
// packet reads and writes the protocol's bytes, package balancer decides which server gets a request and whether it is retried.
//
// A connection carries one request. serve.go reads it, submit.go has the node answer it; the node starts it on the pool (run.go),
// which makes one or more attempts (attempt.go). docs/uwsgi.md describes the protocol as it is spoken here.
package uwsgi

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Core is what the front needs of the node.
type Core interface {
	Submit(q node.Request, reply func(node.Response))
	Cancel(id string)
	BeginResponse(id string) bool
}

// Mapper classifies a request by its variables. It fills in class, tenant, key and hints, and returns 0, or the HTTP status with
// which the request is rejected before it reaches the node.
type Mapper interface {
	Map(get func(name string) string, q *node.Request) (status int)
}

// Options configure a front.
type Options struct {
	Core                  Core
	Mapper                Mapper
	Pool                  *Pool
	Idempotent            func(class int) bool // whether requests of the class may run twice
	Healthy               func() bool          // whether pings are answered; nil: always
	Modifiers             []byte               // modifier1 of the requests that are served; nil: 0 only
	DeadlineVariable      string               // in which a client says how many milliseconds it waits; empty: none
	HalfCloseCancels      bool                 // a client that ends its sending side counts as disconnected
	MaxConnectionsPerHost int                  // 0: no limit but that of all connections
	MaxBodyBytes          int64                // of a body that is streamed
	OnRequestDone         func(RequestTimes)   // called after each request that was submitted; nil: not called. It must not block
	Limits                limits.Limits
	Log                   *slog.Logger
}

// Counts are totals since the start. The log shows them under these names.
type Counts struct {
	Read      int // requests that were read
	Malformed int // requests rejected as malformed
	Oversize  int // requests rejected as too large
	Slow      int // requests that were not complete in time
	Left      int // clients that disconnected before their response
	Crowded   int // connections and requests rejected for lack of capacity
	Pings     int
	Streamed  int // responses that were streamed to their end
	Broken    int // responses that ended in a reset
}

// Front serves uwsgi clients, one request on each connection. Its methods are safe for concurrent use.
type Front struct {
	opts     Options
	log      *lograte.Logger
	idPrefix string
	slots    *connlimit.Limiter

	mu                sync.Mutex
	lastID            uint64
	counts            Counts
	connectionsByHost map[string]int
	reservedBodyBytes int
}

// New returns a front that serves nothing yet.
func New(o Options) *Front {
	if o.Modifiers == nil {
		o.Modifiers = []byte{0}
	}
	return &Front{opts: o, log: lograte.New(o.Log, o.Limits.LogInterval), connectionsByHost: map[string]int{},
		slots:    connlimit.New(o.Limits.UwsgiConnections, o.Limits.NewConnectionGrace, o.Limits.IdleConnectionGrace),
		idPrefix: "uwsgi-" + strconv.FormatUint(rand.Uint64(), 36) + "-"}
}

// Serve accepts connections on ln and blocks until ln is closed.
func (f *Front) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors for a moment
			f.log.Warn("accept failed", err)
			time.Sleep(f.opts.Limits.MinBackoff)
			continue
		}
		f.admitConnection(conn)
	}
}

// admitConnection serves a connection in a goroutine of its own, or closes it where there are too many.
func (f *Front) admitConnection(conn net.Conn) {
	host := hostOf(conn)
	if !f.addConnection(host) {
		conn.Close()
		return
	}
	c := &clientConn{Conn: conn}
	slot := f.slots.Acquire(c.evict)
	if slot == nil {
		conn.Close()
		f.removeConnection(host)
		f.count(func(n *Counts) { n.Crowded++ })
		return
	}
	go func() {
		defer f.removeConnection(host)
		defer slot.Release()
		defer conn.Close()
		f.serveConnection(c, slot, host)
	}()
}

// addConnection counts a connection of a host, unless it has too many.
func (f *Front) addConnection(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opts.MaxConnectionsPerHost > 0 && host != "" && f.connectionsByHost[host] >= f.opts.MaxConnectionsPerHost {
		f.counts.Crowded++
		return false
	}
	f.connectionsByHost[host]++
	return true
}

func (f *Front) removeConnection(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connectionsByHost[host]--; f.connectionsByHost[host] == 0 {
		delete(f.connectionsByHost, host)
	}
}

// Totals returns the counts so far.
func (f *Front) Totals() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// OpenConnections returns the number of open connections.
func (f *Front) OpenConnections() int { return f.slots.InUse() }

func (f *Front) count(add func(c *Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add(&f.counts)
}

// nextRequestID returns an id that no other request of any process has.
func (f *Front) nextRequestID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return f.idPrefix + strconv.FormatUint(f.lastID, 10)
}

// reserveBody takes n bytes of the budget for bodies, and says whether there were so many; a negative n gives bytes back.
func (f *Front) reserveBody(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n > 0 && f.reservedBodyBytes+n > f.opts.Limits.TotalBodyWindowBytes {
		return false
	}
	f.reservedBodyBytes += n
	return true
}

// clientTimeout returns how long the client waits, or 0 where it doesn't say.
func (f *Front) clientTimeout(vars packet.Vars) time.Duration {
	if f.opts.DeadlineVariable == "" {
		return 0
	}
	ms, err := strconv.ParseInt(vars.Get(f.opts.DeadlineVariable), 10, 32)
	if err != nil || ms <= 0 { // a hint that can't be read is ignored
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
