package resp

import (
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/node"
)

// conn is one balancer's connection.
type conn struct {
	front       *Front
	socket      *framedConn
	slot        *connlimit.Slot
	badMessages int // malformed messages so far; used by the read loop only

	mu               sync.Mutex
	openRequests     map[string]string // the ids of open requests by their tags
	messagesRead     int
	lastUsed         time.Time
	closeRequestedAt time.Time // when the peer was asked to close the connection; zero: not yet
	output           []byte    // answers that are not yet written
	flushing         bool      // a goroutine is writing answers
	readEnded        bool      // nothing more is read from the connection
	peerGone         bool      // the peer closed the connection, or it was aborted: nothing can be delivered
	writeEnded       bool      // nothing more is written to the connection
	closing          bool      // the socket is closed or about to be
}

// Errors after which no further message is read from a connection. A message that causes errDuplicateTag or
// errTooManyOpen gets no answer of its own; the connection's open requests are answered at once, without
// waiting for their runs, and the connection is closed (endReading).
var (
	errDuplicateTag       = errors.New("message has the tag of a request that is still open")
	errTooManyOpen        = errors.New("too many open requests on the connection")
	errTooManyBadMessages = errors.New("too many malformed messages on the connection")
	errAborted            = errors.New("message received after the connection was aborted")
)

// errSlotLost is returned for a message on a connection without a slot: the message was rejected, and the
// connection is closed once everything that has arrived on it is answered.
var errSlotLost = errors.New("connection holds no slot")

// messagesPerTurn is how many messages of a connection are handled before others get their turn. A connection on which
// data is always available would otherwise use a core until the scheduler preempts it.
const messagesPerTurn = 8

// serve reads messages until the connection ends.
func (c *conn) serve() {
	messages := newMessageReader(c.socket)
	for n := 1; ; n++ {
		parts, err := messages.next()
		if err != nil && n == 1 {
			_ = c.socket.Close() // no complete message was received, so nothing is due on the connection
		}
		if err == nil {
			err = c.handleMessage(parts)
		}
		if errors.Is(err, errSlotLost) {
			c.socket.stopReading() // messages that arrived after this one must be answered too
			err = nil
		}
		if err != nil {
			c.endReading(err)
			return
		}
		if n%messagesPerTurn == 0 {
			runtime.Gosched()
		}
	}
}

// handleMessage handles one message. After an error, no further message is read.
func (c *conn) handleMessage(args [][]byte) error {
	lim := &c.front.opts.Limits
	m, err := decodeMessage(args, lim.BodyBytes, lim.FieldListBytes)
	switch m := m.(type) {
	case *submitMessage:
		return c.handleSubmit(m, err)
	case *cancelMessage:
		c.cancelRequest(m.messageTag())
		return nil
	case *pingMessage:
		return c.handlePing(m)
	case *unknownMessage:
		return c.handleUnknown(m, err)
	}
	return err
}

// recordMessage records that a message was received, and opens its request if it is a submit message; otherwise submit
// is nil. It reports whether the connection holds a slot, and may wait for one.
func (c *conn) recordMessage(tag string, submit *submitMessage) (hasSlot bool, err error) {
	c.mu.Lock()
	if c.writeEnded {
		// No answer can be sent, so the request must not run. The closed connection tells the caller that it did not.
		c.mu.Unlock()
		return false, errAborted
	}
	// The peer would take an answer with this tag for the answer to the request that is already open.
	if _, duplicate := c.openRequests[tag]; duplicate {
		c.mu.Unlock()
		return false, errDuplicateTag
	}
	if submit != nil && len(c.openRequests) >= c.front.opts.Limits.RequestsPerConnection {
		c.mu.Unlock()
		return false, errTooManyOpen
	}
	c.lastUsed = time.Now()
	c.messagesRead++
	var timeout time.Duration
	if submit != nil {
		c.openRequests[tag] = submit.requestID
		timeout = submit.timeout
	}
	hasSlot = c.slot.SetState(c.slotState())
	wait := !hasSlot && c.socket.unadmitted && !c.socket.isStopping()
	c.mu.Unlock()
	if wait {
		hasSlot = c.waitForSlot(timeout)
	}
	return hasSlot, nil
}

// handleSubmit submits a request to the core or rejects it; err is the decoding error, if any.
func (c *conn) handleSubmit(m *submitMessage, err error) error {
	tag := m.messageTag()
	hasSlot, beginErr := c.recordMessage(tag, m)
	if beginErr != nil {
		return beginErr
	}
	if !hasSlot {
		c.reject(m)
		return errSlotLost
	}
	var q node.Request
	if err == nil {
		q, err = c.nodeRequest(m)
	}
	if err == nil {
		c.front.opts.Core.Submit(q, func(r node.Response) { c.sendAnswer(tag, r) })
		return nil
	}
	if !errors.Is(err, errUnknownClass) {
		c.reject(m)
		return c.countBadMessage(err)
	}
	// The message is well formed, but the settings do not (or no longer) contain its class. Balancers learn of new
	// settings late, and the connection carries other callers' requests, so this does not count as a malformed
	// message. OnUnknownClass counts the request before it is answered, as is done for every other request.
	if c.front.opts.OnUnknownClass != nil {
		c.front.opts.OnUnknownClass(m.class)
	}
	c.reject(m)
	c.front.log.Warn("rejected a request of an unknown class", err)
	return nil
}

// reject answers a request that was read and can't be submitted. The core chooses the status, as it knows whether
// an earlier attempt with the same idempotency key ran.
func (c *conn) reject(m *submitMessage) {
	c.sendAnswer(m.messageTag(), node.Response{Status: c.front.opts.Core.RejectionStatus(m.class, m.idempotencyKey)})
}

// handlePing answers a health check.
func (c *conn) handlePing(m *pingMessage) error {
	tag := m.messageTag()
	hasSlot, err := c.recordMessage(tag, nil)
	if err != nil {
		return err
	}
	word := wordHealthy
	if !c.front.opts.Status.Healthy() {
		word = wordUnhealthy
	}
	c.enqueueAnswer(tag, word, c.loadSignal(), nil, false)
	if !hasSlot {
		return errSlotLost
	}
	return nil
}

// handleUnknown answers a message that the protocol does not define; err describes it.
func (c *conn) handleUnknown(m *unknownMessage, err error) error {
	tag := m.messageTag()
	if _, err := c.recordMessage(tag, nil); err != nil {
		return err
	}
	c.enqueueAnswer(tag, answerWords[node.StatusFailed], c.loadSignal(), nil, false)
	return c.countBadMessage(err)
}

// countBadMessage counts a malformed message, and returns an error once there were too many.
func (c *conn) countBadMessage(err error) error {
	c.front.log.Warn("rejected a malformed message", err)
	if c.badMessages++; c.badMessages >= c.front.opts.Limits.BadMessagesPerConnection {
		return errTooManyBadMessages
	}
	return nil
}

var errUnknownClass = errors.New("unknown class")

// nodeRequest converts a message to a request for the core. It returns an error if the class or the tenant is
// unknown, or the time stamp is implausible.
func (c *conn) nodeRequest(m *submitMessage) (node.Request, error) {
	o := &c.front.opts
	class, known := (*c.front.classes.Load())[m.class]
	if !known {
		return node.Request{}, fmt.Errorf("%w %.40q", errUnknownClass, m.class)
	}
	tenant, known := o.Tenants[m.tenant]
	if !known {
		if tenant = -1; m.tenant != "" && len(o.Tenants) > 0 {
			return node.Request{}, fmt.Errorf("unknown tenant %.40q", m.tenant)
		}
	}
	arrivedAt, err := o.Timestamps.Instant(m.arrivedAt)
	if err != nil {
		return node.Request{}, err
	}
	return node.Request{
		ID:             m.requestID,
		Class:          class,
		Tenant:         tenant,
		MemoryKB:       m.memoryKB,
		WorkHint:       m.workHint,
		PriorityRank:   m.priorityRank,
		Retry:          m.retry,
		CallerID:       m.balancer,
		ArrivedAt:      arrivedAt,
		AttemptTimeout: m.timeout,
		IdempotencyKey: m.idempotencyKey,
		Body:           m.body,
		Content:        m.body,
		Runner:         o.Runner,
		Protocol:       "resp",
	}, nil
}

// slotState returns the connection's state for the limiter; the caller holds mu.
func (c *conn) slotState() connlimit.State {
	switch {
	case c.hasWork():
		return connlimit.StateActive
	case c.messagesRead == 1:
		return connlimit.StateIdleAfterOne
	}
	return connlimit.StateIdle
}

// hasWork reports whether a request is open or an answer is not yet written; the caller holds mu.
func (c *conn) hasWork() bool { return len(c.openRequests) > 0 || len(c.output) > 0 || c.flushing }

// cancelRequest cancels a request for which the balancer no longer waits.
func (c *conn) cancelRequest(tag string) {
	c.mu.Lock()
	id, known := c.openRequests[tag]
	delete(c.openRequests, tag)
	c.lastUsed = time.Now()
	c.slot.SetState(c.slotState())
	c.closeIfDone()
	c.mu.Unlock()
	if known {
		c.front.opts.Core.Cancel(id)
	}
}

// sendAnswer queues a request's final answer.
func (c *conn) sendAnswer(tag string, r node.Response) {
	c.enqueueAnswer(tag, answerWords[r.Status], appendRejection(c.loadSignal(), r), r.Result, true)
}

// loadSignal returns the encoded field that is sent with every answer; nil until the node has a load signal.
func (c *conn) loadSignal() []byte {
	signal, set := c.front.opts.Status.LoadSignal()
	if !set {
		return nil
	}
	return appendLoadSignal(nil, signal)
}
