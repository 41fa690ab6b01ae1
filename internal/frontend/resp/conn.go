package resp

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/node"
)

// conn is one balancer's connection.
type conn struct {
	front       *Front
	socket      *framedConn
	slot        *connlimit.Slot
	served      bool // its read loop was entered
	badMessages int  // malformed ones so far; of the read loop

	mu               sync.Mutex
	openRequests     map[string]string // the ids of open requests by their tags
	messagesRead     int
	lastUsed         time.Time
	closeRequestedAt time.Time // when the peer was asked to close it; zero: it was not
	output           []byte    // answers that wait to be written
	flushing         bool      // a goroutine writes answers
	readEnded        bool      // nothing more is read from it
	peerGone         bool      // its peer ended it, or it was aborted: nothing can follow
	writeEnded       bool      // nothing more is written to it
	closing          bool      // its socket is closed, or soon will be
}

// Errors of messages after which a connection takes nothing more. A message with errDuplicateTag or
// errTooManyOpen gets no answer of its own; the connection's open requests are answered at once, without
// waiting for their runs, and it closes (endReading).
var (
	errDuplicateTag       = errors.New("the tag of an open request")
	errTooManyOpen        = errors.New("too many open requests")
	errTooManyBadMessages = errors.New("too many malformed messages")
	errAborted            = errors.New("the message came as the connection was aborted")
)

// errSlotLost is the error of a message that came without a slot: it was rejected, and the connection ends
// once all that has arrived is answered.
var errSlotLost = errors.New("the connection has no slot")

// serve reads messages until the connection ends.
func (c *conn) serve(dc redcon.DetachedConn, cmd redcon.Command) {
	c.served = true
	var err error
	for err == nil {
		if err = c.handleMessage(cmd.Args); errors.Is(err, errSlotLost) {
			c.socket.stopReading() // what arrived behind it is owed an answer as well
			err = nil
		}
		if err == nil {
			cmd, err = dc.ReadCommand()
		}
	}
	c.endReading(err)
}

// handleMessage handles one array. An error ends the reading.
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

// begin notes that a message has come, and opens the request that it asks for; submit is nil for any other
// message. It reports whether the connection holds a slot, for which it may wait.
func (c *conn) begin(tag string, submit *submitMessage) (hasSlot bool, err error) {
	c.mu.Lock()
	if c.writeEnded {
		// No answer could follow: it must not run, and its caller learns by the close that it did not.
		c.mu.Unlock()
		return false, errAborted
	}
	// An answer with the tag of an open request would be taken for the answer to that one.
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

// handleSubmit hands a request to the core, or rejects it; err is that of its decoding.
func (c *conn) handleSubmit(m *submitMessage, err error) error {
	tag := m.messageTag()
	hasSlot, beginErr := c.begin(tag, m)
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
	// Well formed, of a class that the settings do not name (yet, or any more): balancers learn of new settings late, and the
	// connection carries others' requests, so it does not count against the connection. It is counted before it is answered,
	// as every other request is.
	if c.front.opts.OnUnknownClass != nil {
		c.front.opts.OnUnknownClass(m.class)
	}
	c.reject(m)
	c.front.log.Warn("request of an unknown class rejected", err)
	return nil
}

// reject answers a request that can't be submitted. It was read, so it is owed an answer; the core knows
// whether an attempt with its key ran.
func (c *conn) reject(m *submitMessage) {
	c.sendAnswer(m.messageTag(), node.Response{Status: c.front.opts.Core.RejectionStatus(m.class, m.idempotencyKey)})
}

// handlePing answers a health check.
func (c *conn) handlePing(m *pingMessage) error {
	tag := m.messageTag()
	hasSlot, err := c.begin(tag, nil)
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

// handleUnknown answers a message that is none of the protocol's; err says why.
func (c *conn) handleUnknown(m *unknownMessage, err error) error {
	tag := m.messageTag()
	if _, err := c.begin(tag, nil); err != nil {
		return err
	}
	c.enqueueAnswer(tag, answerWords[node.StatusFailed], c.loadSignal(), nil, false)
	return c.countBadMessage(err)
}

// countBadMessage counts a malformed message; it returns an error if there were too many.
func (c *conn) countBadMessage(err error) error {
	c.front.log.Warn("malformed message rejected", err)
	if c.badMessages++; c.badMessages >= c.front.opts.Limits.BadMessagesPerConnection {
		return errTooManyBadMessages
	}
	return nil
}

var errUnknownClass = errors.New("unknown class")

// nodeRequest returns a message's request in the core's terms, if its class and tenant are known and its time
// stamp is plausible.
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

// slotState is what the connection is doing; the caller holds mu.
func (c *conn) slotState() connlimit.State {
	switch {
	case c.hasWork():
		return connlimit.StateActive
	case c.messagesRead == 1:
		return connlimit.StateIdleAfterOne
	}
	return connlimit.StateIdle
}

// hasWork reports whether a request is open, or an answer still to be written; the caller holds mu.
func (c *conn) hasWork() bool { return len(c.openRequests) > 0 || len(c.output) > 0 || c.flushing }

// cancelRequest cancels a request that its balancer waits no longer for.
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

// loadSignal returns the field that goes with every answer; nil until the node has a load signal.
func (c *conn) loadSignal() []byte {
	signal, set := c.front.opts.Status.LoadSignal()
	if !set {
		return nil
	}
	return appendLoadSignal(nil, signal)
}
