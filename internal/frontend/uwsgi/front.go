// Package uwsgi speaks the uwsgi protocol on both sides: a front for clients above, and a pool that takes work to servers
// below. Bytes are read and written by its sub-package packet, servers chosen by choice.
package uwsgi

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Core is what the front asks of the node.
type Core interface {
	Submit(q node.Request, reply func(node.Response))
	Cancel(id string)
	BeginResponse(id string) bool
}

// Mapper finds out what a request is from its variables. It fills class, tenant, key and expectations, or says with which status it
// is turned away unread by the core.
type Mapper interface {
	Map(get func(name string) string, q *node.Request) (status int)
}

// Options are what a front is made of.
type Options struct {
	Core      Core
	Mapper    Mapper
	Pool      *Pool
	Safe      func(class int) bool // whether running a request of the class twice does no harm
	Well      func() bool          // what pings are to hear; nil: always
	Modifiers []byte               // of applications; nil: 0 only
	Deadline  string               // the variable by which a client tells how many milliseconds it waits; empty: none
	HalfClose bool                 // a client that shuts its sending side has left
	PerSource int                  // connections from one host; 0: as many as there are places
	BodyMost  int64                // bytes of a body that is passed on as it comes
	Over      func(RequestTimes)   // is told of each request that the core was asked about; nil: nobody. It must not block
	Limits    limits.Limits
	Log       *slog.Logger
}

// RequestTimes is what happened to a request that the core was asked about.
type RequestTimes struct {
	ID             string
	Parent         string // the client's traceparent
	Read, Answered time.Time
	Outcome        string // served, refused, failed or left
	Streamed       bool
	Run            RunTimes // of one that ran and is over
}

// Counts are totals since the start.
type Counts struct{ Read, Malformed, Oversize, Slow, Left, Crowded, Pings, Streamed, Broken int }

// Front serves uwsgi clients: one request on each connection.
type Front struct {
	opts   Options
	log    *lograte.Logger
	prefix string
	seats  *connlimit.Limiter

	mu      sync.Mutex
	next    uint64
	counts  Counts
	sources map[string]int
	windows int // bytes of bodies that may be here
}

// New returns a front that serves nothing yet.
func New(o Options) *Front {
	if o.Modifiers == nil {
		o.Modifiers = []byte{0}
	}
	return &Front{opts: o, log: lograte.New(o.Log, o.Limits.LogInterval), sources: map[string]int{},
		seats: connlimit.New(o.Limits.UwsgiConnections, o.Limits.NewConnectionGrace, o.Limits.IdleConnectionGrace), prefix: "uwsgi-" + strconv.FormatUint(rand.Uint64(), 36) + "-"}
}

// Serve serves what comes in on ln until it is closed.
func (f *Front) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors for a moment
			f.log.Warn("accept failed", err)
			time.Sleep(f.opts.Limits.MinBackoff)
			continue
		}
		host := hostOf(c)
		if !f.enter(host) {
			c.Close()
			continue
		}
		k := &caller{Conn: c}
		seat := f.seats.Acquire(k.evict)
		if seat == nil {
			c.Close()
			f.leave(host)
			f.count(func(n *Counts) { n.Crowded++ })
			continue
		}
		go func() {
			defer f.leave(host)
			defer seat.Release()
			defer c.Close()
			f.serve(k, seat, host)
		}()
	}
}

// enter counts a connection of a host, unless it has too many.
func (f *Front) enter(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opts.PerSource > 0 && host != "" && f.sources[host] >= f.opts.PerSource {
		f.counts.Crowded++
		return false
	}
	f.sources[host]++
	return true
}

func (f *Front) leave(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sources[host]--; f.sources[host] == 0 {
		delete(f.sources, host)
	}
}

// Totals are the counts so far.
func (f *Front) Totals() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Open is the number of open connections.
func (f *Front) Open() int { return f.seats.InUse() }

func (f *Front) count(add func(c *Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add(&f.counts)
}

// errPing says that a ping was answered.
var errPing = errors.New("ping")

// serve reads one request, has it answered and closes the connection.
func (f *Front) serve(k *caller, seat *connlimit.Slot, host string) {
	lim, c := f.opts.Limits, k.Conn
	if err := k.readBy(time.Now().Add(lim.MessageTimeout)); err != nil {
		return
	}
	head, vars, err := f.readHead(k)
	if err != nil {
		if !k.isEvicted() { // else its request is not whole, and nothing is owed
			f.refuseInput(c, err)
		}
		return
	}
	read := time.Now()
	arrived := clock.System{}.Now()
	body, err := packet.RequestBody(vars)
	if err != nil {
		f.refuseInput(c, err)
		return
	}
	if !seat.SetState(connlimit.StateActive) { // it made room after its request had arrived
		f.count(func(n *Counts) { n.Crowded++ })
		lim.CloseTimeout /= evictedPart
		f.write(c, response(http.StatusServiceUnavailable, lim.RecordRetryAfter))
		linger(c, lim)
		return
	}
	f.count(func(n *Counts) { n.Read++ })
	q := node.Request{Protocol: "uwsgi", Runner: f.opts.Pool, ArrivedAt: arrived, CallerID: source(host), Tenant: -1, AttemptTimeout: f.told(vars)}
	if status := f.opts.Mapper.Map(vars.Get, &q); status != 0 {
		f.answer(c, nil, response(status, 0))
		return
	}
	f.mu.Lock()
	f.next++
	q.ID = f.prefix + strconv.FormatUint(f.next, 10)
	f.mu.Unlock()
	j := &job{head: head, headOnly: vars.Get("REQUEST_METHOD") == http.MethodHead, safe: f.opts.Safe(q.Class), stream: q.IdempotencyKey == "", conn: c}
	most := f.opts.BodyMost
	if q.IdempotencyKey != "" {
		most = int64(lim.BufferedBodyBytes)
		lim.BodyWindowBytes = lim.BufferedBodyBytes + 64<<10 // its framing may be in chunks
	}
	j.body = newInflow(c, body, lim, most, f.opts.HalfClose)
	if body.Length > most {
		f.refuseBody(c, j.body, packet.ErrOversize)
		return
	}
	room := lim.BodyWindowBytes
	if body.Length >= 0 {
		room = int(min(body.Length, int64(room)))
	}
	if !f.reserve(room) { // its body must not be read: it is refused while it is with the client
		f.count(func(n *Counts) { n.Crowded++ })
		f.answer(c, nil, response(http.StatusServiceUnavailable, lim.RecordRetryAfter))
		return
	}
	defer f.reserve(-room)
	j.body.start()
	if q.IdempotencyKey != "" { // all tries of it must have the same body, so it is needed whole
		whole, err := j.body.all(lim.MessageTimeout + lim.BodyIdleTimeout)
		if err != nil {
			f.refuseBody(c, j.body, err)
			return
		}
		q.Body, q.Content, j.body.held = whole, whole, true
	}
	if q.MemoryKB == 0 {
		q.MemoryKB = max(1, float64(len(head)+lim.BodyWindowBytes)/1024)
		if body.Length >= 0 {
			q.MemoryKB = max(1, float64(int64(len(head))+min(body.Length, int64(lim.BodyWindowBytes)))/1024)
		}
	}
	outcome := f.ask(c, q, j)
	if f.opts.Over == nil {
		return
	}
	t := RequestTimes{ID: q.ID, Parent: vars.Get("HTTP_TRACEPARENT"), Read: read, Answered: time.Now(), Outcome: outcome, Streamed: j.passed()}
	j.mu.Lock()
	t.Run = j.run
	j.mu.Unlock()
	f.opts.Over(t)
}

// reserve takes room for a body's window, or gives it back, and says whether there was some.
func (f *Front) reserve(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n > 0 && f.windows+n > f.opts.Limits.TotalBodyWindowBytes {
		return false
	}
	f.windows += n
	return true
}

// told is how long the client waits, where it says so.
func (f *Front) told(vars packet.Vars) time.Duration {
	if f.opts.Deadline == "" {
		return 0
	}
	ms, err := strconv.ParseInt(vars.Get(f.opts.Deadline), 10, 32)
	if err != nil || ms <= 0 { // a hint that can't be read is none
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// ask has the core answer a request, writes the answer, and says what became of the request.
func (f *Front) ask(c net.Conn, q node.Request, j *job) (outcome string) {
	j.core = func() bool { return f.opts.Core.BeginResponse(q.ID) }
	j.due = time.Now().Add(clock.System{}.Until(f.due(q))) // with a monotonic reading, as the pool compares it
	answers := make(chan node.Response, 1)
	f.opts.Pool.expect(q.ID, j)
	defer f.opts.Pool.forget(q.ID)
	f.opts.Core.Submit(q, func(a node.Response) { answers <- a })
	var a node.Response
	select {
	case a = <-answers:
	case <-j.body.gone:
		f.opts.Core.Cancel(q.ID)
		select { // the answer may just have been made
		case a = <-answers:
		default:
			f.left(c, j)
			return "left"
		}
	case <-j.body.extra:
		// What follows a body may be another request in the eyes of whoever is between: neither is answered as if it were sound.
		f.opts.Core.Cancel(q.ID)
		f.badBody(c, j, fmt.Errorf("%w: bytes behind the body", packet.ErrMalformed))
		return "left"
	}
	switch {
	case a.ResponseStarted && a.Status == node.StatusServed:
		f.count(func(n *Counts) { n.Streamed++ })
		f.finish(c, j.body)
	case a.ResponseStarted:
		f.count(func(n *Counts) { n.Broken++ })
		abort(c)
	case a.Status == node.StatusFailed && j.body.left(): // it failed because the client left, or sent what is bad: both were told at once
		f.left(c, j)
		return "left"
	default:
		f.answer(c, j.body, render(a))
	}
	return map[node.Status]string{node.StatusServed: "served", node.StatusRejected: "refused", node.StatusFailed: "failed"}[a.Status]
}

// due is when the core will have answered at the latest, for the pool's own guard.
func (f *Front) due(q node.Request) time.Time {
	if q.AttemptTimeout > 0 {
		return q.ArrivedAt.Add(q.AttemptTimeout)
	}
	return q.ArrivedAt.Add(f.opts.Limits.UpstreamTimeout + f.opts.Limits.OrphanTimeout)
}

// left ends a request whose client has gone, or whose body ended badly.
func (f *Front) left(c net.Conn, j *job) {
	err := j.body.why()
	if errors.Is(err, packet.ErrMalformed) || errors.Is(err, packet.ErrOversize) || errors.Is(err, os.ErrDeadlineExceeded) {
		f.badBody(c, j, err)
		return
	}
	f.count(func(n *Counts) { n.Left++ })
}

// badBody ends a request whose body turned out bad after the core was asked. The core has been told that nobody waits, so
// that nothing else is written from here on.
func (f *Front) badBody(c net.Conn, j *job, err error) {
	if j.passed() {
		f.count(func(n *Counts) { n.Broken++ })
		abort(c)
		return
	}
	f.refuseBody(c, j.body, err)
}

// readHead reads a packet's header and variables. A ping is answered here.
func (f *Front) readHead(c net.Conn) (head []byte, vars packet.Vars, err error) {
	var first [packet.HeaderSize]byte
	if _, err := io.ReadFull(c, first[:]); err != nil {
		return nil, vars, err
	}
	h := packet.ReadHeader(first[:])
	switch {
	case h.Mod1 == packet.Ping && h.Mod2 == 0 && h.Size == 0:
		f.count(func(n *Counts) { n.Pings++ })
		if f.opts.Well == nil || f.opts.Well() { // one that is not well hears nothing but the close
			f.write(c, packet.Pong.Append(nil))
		}
		return nil, vars, errPing
	case !bytes.Contains(f.opts.Modifiers, []byte{h.Mod1}):
		return nil, vars, fmt.Errorf("%w: modifier %d is not served here", packet.ErrMalformed, h.Mod1)
	case h.Size > f.opts.Limits.UwsgiVarBytes:
		return nil, vars, fmt.Errorf("%w: %d bytes of variables", packet.ErrOversize, h.Size)
	}
	head = make([]byte, packet.HeaderSize+h.Size)
	copy(head, first[:])
	if _, err := io.ReadFull(c, head[packet.HeaderSize:]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, vars, err
	}
	vars, err = packet.ReadVars(head[packet.HeaderSize:], f.opts.Limits.UwsgiVars)
	return head, vars, err
}

// refuseInput answers what could not be read as a request, counts it and logs it at a sane rate.
func (f *Front) refuseInput(c net.Conn, err error) {
	status := 0
	f.count(func(n *Counts) {
		switch {
		case errors.Is(err, errPing):
		case errors.Is(err, packet.ErrMalformed):
			status = http.StatusBadRequest
			n.Malformed++
		case errors.Is(err, packet.ErrOversize):
			status = http.StatusRequestEntityTooLarge
			n.Oversize++
		case errors.Is(err, os.ErrDeadlineExceeded):
			status = http.StatusRequestTimeout
			n.Slow++
		default: // it left before its request was whole: nothing was read, nothing is owed
			n.Left++
		}
	})
	if status == 0 {
		return
	}
	f.log.Warn("bad uwsgi request: refused", err)
	f.write(c, response(status, 0))
	linger(c, f.opts.Limits)
}

// refuseBody is refuseInput for what was found while the body was read.
func (f *Front) refuseBody(c net.Conn, body *inflow, err error) {
	body.stop()
	f.refuseInput(c, err)
}

// answer writes a whole response and ends the connection.
func (f *Front) answer(c net.Conn, body *inflow, b []byte) {
	if !f.write(c, b) {
		return
	}
	if body == nil {
		linger(c, f.opts.Limits) // a body may be on its way
		return
	}
	f.finish(c, body)
}

// finish ends a connection whose response is whole. A client that is still sending must be able to read it first.
func (f *Front) finish(c net.Conn, body *inflow) {
	if body.stop() {
		linger(c, f.opts.Limits)
	}
}

func (f *Front) write(c net.Conn, b []byte) bool {
	if err := c.SetWriteDeadline(time.Now().Add(f.opts.Limits.WriteTimeout)); err != nil {
		return false
	}
	if _, err := c.Write(b); err != nil {
		f.opts.Log.Debug("uwsgi answer not written", "error", err)
		return false
	}
	return true
}

// linger shuts the sending side and reads away what still comes, for a while: a connection that is closed with bytes unread is reset,
// and the reset may overtake the answer.
func linger(c net.Conn, l limits.Limits) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(l.CloseTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, 16<<20)) // how it ends makes no difference
}

// abort ends a connection so that its client can tell that the response is not whole: by a reset where the close would mark its
// end. On a Unix socket there is no reset; there a response that only the close ends can't be told from a whole one.
func abort(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn() // without TLS's own word of the end
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // where that fails the connection is gone already
	}
	c.Close()
}

func hostOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return "" // a Unix socket's client has no address
	}
	return host
}

// source numbers a caller by its host.
func source(host string) int {
	h := fnv.New32a()
	h.Write([]byte(host))
	return int(h.Sum32() >> 1)
}

// render turns an answer into the bytes of a response.
func render(a node.Response) []byte {
	switch {
	case a.Status == node.StatusServed:
		return a.Result
	case a.Status == node.StatusRejected:
		return response(http.StatusServiceUnavailable, a.RetryAfter)
	case a.KeyReused:
		return response(http.StatusUnprocessableEntity, 0)
	case a.DeadlineExceeded:
		return response(http.StatusGatewayTimeout, 0)
	}
	return response(http.StatusBadGateway, 0)
}

// response is a short response of our own. A 503 says when to come back, in whole seconds.
func response(status int, holdoff time.Duration) []byte {
	text := http.StatusText(status) + "\n"
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, http.StatusText(status), len(text))
	if status == http.StatusServiceUnavailable {
		b = fmt.Appendf(b, "Retry-After: %d\r\n", max(1, int64((holdoff+time.Second-1)/time.Second)))
	}
	return fmt.Appendf(b, "\r\n%s", text)
}
