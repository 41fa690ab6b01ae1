// Package uwsgi implements both sides of the uwsgi protocol: Front serves clients, and Pool sends their requests to uwsgi servers.
// Package packet parses and encodes the protocol's packets; package balancer decides which server gets a request and whether the
// request is retried.
//
// A connection carries one request. serve.go reads the request and submit.go submits it to the node, which runs it on the pool
// (run.go) in one or more attempts (attempt.go). docs/uwsgi.md describes how the protocol is implemented here.
package uwsgi

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Core is the part of the node that the front uses.
type Core interface {
	Submit(q node.Request, reply func(node.Response))
	Cancel(id string)
	BeginResponse(id string) bool
	// RejectionStatusOf returns the status for a request that can't be submitted.
	RejectionStatusOf(q *node.Request) node.Status
	// MayRunAgainAs reports whether a submitted request, which would be of the given class if it were read now, may be run
	// again although it may have run.
	MayRunAgainAs(id string, classNow int) bool
}

// Mapper classifies a request by its variables. It sets the class, tenant, key and hints, and returns 0, or the HTTP status with
// which the request is rejected without being submitted to the node.
type Mapper interface {
	Map(get func(name string) string, q *node.Request) (status int)
}

// Options configure a front.
type Options struct {
	Core                  Core
	Mapper                Mapper // until SetMapper
	Pool                  *Pool
	Healthy               func() bool        // whether to answer pings; nil: always
	Modifiers             []byte             // values of modifier1 that are served; nil: only 0
	DeadlineVariable      string             // variable with the client's timeout in milliseconds; empty: none
	HalfCloseCancels      bool               // treat a client that ends its sending side as disconnected
	MaxConnectionsPerHost int                // 0: limited only by the total number of connections
	MaxBodyBytes          int64              // of a streamed request body
	OnRequestDone         func(RequestTimes) // called after each submitted request unless nil; must not block
	Limits                limits.Limits
	Log                   *slog.Logger
}

// Counts are totals since the start. They are logged under these names, which must not change.
type Counts struct {
	Read      int // requests that were read
	Malformed int // requests rejected as malformed
	Oversize  int // requests rejected as too large
	Slow      int // requests that were not received completely in time
	Left      int // clients that disconnected before they got a response
	Crowded   int // connections and requests rejected for lack of capacity
	Pings     int
	Streamed  int // responses that were streamed completely
	Broken    int // responses that were truncated by a reset
}

// Front serves uwsgi clients, one request per connection. Its methods are safe for concurrent use.
type Front struct {
	opts     Options
	log      *lograte.Logger
	idPrefix string
	slots    *connlimit.Limiter
	mapper   atomic.Pointer[Mapper]

	mu                sync.Mutex
	lastID            uint64
	counts            Counts
	connectionsByHost map[string]int
	reservedBodyBytes int
}

// New returns a front. Serve starts serving.
func New(o Options) *Front {
	if o.Modifiers == nil {
		o.Modifiers = []byte{0}
	}
	f := &Front{opts: o, log: lograte.New(o.Log, o.Limits.LogInterval), connectionsByHost: map[string]int{},
		slots:    connlimit.New(o.Limits.UwsgiConnections, o.Limits.NewConnectionGrace, o.Limits.IdleConnectionGrace),
		idPrefix: "uwsgi-" + strconv.FormatUint(rand.Uint64(), 36) + "-"}
	f.SetMapper(o.Mapper)
	return f
}

// SetMapper replaces the mapper, for requests that are read from now on and for retries of those in flight. The core must have
// its classes before the call.
func (f *Front) SetMapper(m Mapper) { f.mapper.Store(&m) }

// mapRequest classifies a request by the mapper in force.
func (f *Front) mapRequest(vars packet.Vars, q *node.Request) (status int) {
	return (*f.mapper.Load()).Map(vars.Get, q)
}

// mayRunAgain reports whether a submitted request may be sent to a server although one may have run it. The class that it has by
// the mapper in force counts too, if it has one.
func (f *Front) mayRunAgain(id string, vars packet.Vars) bool {
	var now node.Request
	return f.mapRequest(vars, &now) == 0 && f.opts.Core.MayRunAgainAs(id, now.Class)
}

// Serve accepts connections on ln and blocks until ln is closed.
func (f *Front) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // usually a temporary lack of descriptors
			f.log.Warn("cannot accept uwsgi connection", err)
			time.Sleep(f.opts.Limits.MinBackoff)
			continue
		}
		f.admitConnection(conn)
	}
}

// admitConnection serves a connection in a new goroutine, or closes it if there are too many.
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

// addConnection counts a connection of a host. It returns false if the host has too many connections.
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

// nextRequestID returns an id that is unique across processes.
func (f *Front) nextRequestID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return f.idPrefix + strconv.FormatUint(f.lastID, 10)
}

// reserveBody reserves n bytes of the budget for request bodies, and reports whether they were available. A negative n releases
// bytes.
func (f *Front) reserveBody(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n > 0 && f.reservedBodyBytes+n > f.opts.Limits.TotalBodyWindowBytes {
		return false
	}
	f.reservedBodyBytes += n
	return true
}

// clientTimeout returns the client's timeout, or 0 if the request has none.
func (f *Front) clientTimeout(vars packet.Vars) time.Duration {
	if f.opts.DeadlineVariable == "" {
		return 0
	}
	ms, err := strconv.ParseInt(vars.Get(f.opts.DeadlineVariable), 10, 32)
	if err != nil || ms <= 0 { // an invalid timeout is ignored
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
