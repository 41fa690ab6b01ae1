package uwsgi

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"time"

	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
)

// chunkFramingBytes is the allowance for chunk framing in the window of a buffered body.
const chunkFramingBytes = 64 << 10

// errPingAnswered is returned if the connection carried a ping, which needs no further response.
var errPingAnswered = errors.New("ping")

// message is a packet without its body.
type message struct {
	head      []byte // header and variables, as received
	vars      packet.Vars
	framing   packet.Framing // of the body
	readAt    time.Time
	arrivedAt time.Time // by the node's clock
}

// serveConnection reads one request and serves it.
func (f *Front) serveConnection(c *clientConn, slot *connlimit.Slot, host string) {
	conn := c.Conn
	m, err := f.readMessage(c)
	if err != nil {
		return
	}
	hasSlot := slot.SetState(connlimit.StateActive)
	if hasSlot {
		f.count(func(n *Counts) { n.Read++ })
	}
	q := node.Request{Protocol: "uwsgi", Runner: f.opts.Pool, ArrivedAt: m.arrivedAt, CallerID: callerID(host), Tenant: -1,
		AttemptTimeout: f.clientTimeout(m.vars)}
	if status := f.mapRequest(m.vars, &q); status != 0 {
		f.writeResponse(conn, nil, statusResponse(status, 0))
		return
	}
	if !hasSlot { // the connection was evicted after its request had arrived
		f.rejectUnsubmitted(conn, &q, errEvicted, f.opts.Limits.CloseTimeout/evictedCloseDivisor)
		return
	}
	q.ID = f.nextRequestID()
	f.serveRequest(conn, &m, &q)
}

// readMessage reads a packet up to its body. It also rejects invalid packets.
func (f *Front) readMessage(c *clientConn) (m message, err error) {
	if err := c.setReadDeadline(time.Now().Add(f.opts.Limits.MessageTimeout)); err != nil {
		return m, err
	}
	m.head, m.vars, err = f.readHead(c)
	if err != nil {
		if !c.isEvicted() { // the request of an evicted connection is incomplete here, and needs no response
			f.rejectInput(c.Conn, err)
		}
		return m, err
	}
	m.readAt = time.Now()
	m.arrivedAt = clock.System{}.Now()
	if m.framing, err = packet.RequestFraming(m.vars); err != nil {
		f.rejectInput(c.Conn, err)
	}
	return m, err
}

// readHead reads a packet's header and variables. It also answers pings.
func (f *Front) readHead(c net.Conn) (head []byte, vars packet.Vars, err error) {
	var first [packet.HeaderSize]byte
	if _, err := io.ReadFull(c, first[:]); err != nil {
		return nil, vars, err
	}
	h := packet.ReadHeader(first[:])
	switch {
	case h.Modifier1 == packet.Ping && h.Modifier2 == 0 && h.Size == 0:
		f.count(func(n *Counts) { n.Pings++ })
		if f.opts.Healthy == nil || f.opts.Healthy() { // otherwise the connection is closed without a response
			f.write(c, packet.Pong.Append(nil))
		}
		return nil, vars, errPingAnswered
	case !bytes.Contains(f.opts.Modifiers, []byte{h.Modifier1}):
		return nil, vars, fmt.Errorf("%w: modifier1 %d is not served", packet.ErrMalformed, h.Modifier1)
	case h.Size > f.opts.Limits.UwsgiVarBytes:
		return nil, vars, fmt.Errorf("%w: the packet has %d bytes of variables", packet.ErrOversize, h.Size)
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

// serveRequest submits a request to the node. The body of a keyed request is read completely first.
func (f *Front) serveRequest(conn net.Conn, m *message, q *node.Request) {
	keyed := q.IdempotencyKey != ""
	lim, maxBody := f.bodyLimits(keyed)
	r := &clientRequest{head: m.head, headOnly: m.vars.Get("REQUEST_METHOD") == http.MethodHead,
		mayRunAgain: func() bool { return f.mayRunAgain(q.ID, m.vars) },
		streamable:  !keyed, client: conn, body: newBodyReader(conn, m.framing, lim, maxBody, f.opts.HalfCloseCancels)}
	if m.framing.Length > maxBody {
		f.rejectBody(conn, r.body, packet.ErrOversize)
		return
	}
	reserved := lim.BodyWindowBytes
	if m.framing.Length >= 0 {
		reserved = int(min(m.framing.Length, int64(reserved)))
	}
	if !f.reserveBody(reserved) { // rejected before the body is read
		f.rejectUnsubmitted(conn, q, errBodyBudgetExceeded, lim.CloseTimeout)
		return
	}
	defer f.reserveBody(-reserved)
	r.body.start()
	if keyed { // requests with the same key must have the same body, so the whole body is needed for comparison
		body, err := r.body.readAll(lim.MessageTimeout + lim.BodyIdleTimeout)
		if err != nil {
			f.rejectBody(conn, r.body, err)
			return
		}
		q.Body, q.Content, r.body.buffered = body, body, true
	}
	if q.MemoryKB == 0 {
		q.MemoryKB = max(1, float64(len(m.head)+reserved)/1024)
	}
	outcome := f.submit(conn, q, r)
	if f.opts.OnRequestDone == nil {
		return
	}
	f.opts.OnRequestDone(RequestTimes{ID: q.ID, TraceParent: m.vars.Get("HTTP_TRACEPARENT"), ReadAt: m.readAt, AnsweredAt: time.Now(),
		Outcome: outcome, Streamed: r.hasStartedResponse(), Run: r.getRunTimes()})
}

// bodyLimits returns the limits for a request body and its maximum content in bytes. The body of a keyed request is buffered, so
// its window must hold the whole body.
func (f *Front) bodyLimits(keyed bool) (lim limits.Limits, maxBody int64) {
	lim = f.opts.Limits
	if !keyed {
		return lim, f.opts.MaxBodyBytes
	}
	lim.BodyWindowBytes = lim.BufferedBodyBytes + chunkFramingBytes
	return lim, int64(lim.BufferedBodyBytes)
}

// hostOf returns the client's host, or "" for a client on a Unix socket.
func hostOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// callerID derives a caller's number from its host.
func callerID(host string) int {
	h := fnv.New32a()
	h.Write([]byte(host))
	return int(h.Sum32() >> 1)
}
