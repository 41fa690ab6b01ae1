package resp

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/redcon"
	"sloehitch/internal/frontend/connlimit"
	"sloehitch/internal/node"
)

// conn is one balancer's connection.
type conn struct {
	front        *Front
	socket       *framedConn
	slot         *connlimit.Slot
	served       bool // its read loop was entered
	badMessages  int  // messages that could not be taken
	messagesRead int  // messages so far

	mu               sync.Mutex
	openRequests     map[string]string // tags of open requests to their ids
	lastUsed         time.Time
	closeRequestedAt time.Time // when it was asked to close
	output           []byte
	flushing         bool
	readEnded        bool // nothing more is read from it
	peerGone         bool // its reading ended by its peer, or the connection is cut: nothing can follow
	writeEnded       bool // nothing more is written to it
	closing          bool // its socket is closed, or soon will be
}

// serve reads messages until the connection ends.
func (k *conn) serve(dc redcon.DetachedConn, cmd redcon.Command) {
	k.served = true
	var err error
	for err == nil {
		if err = k.handleMessage(cmd.Args); errors.Is(err, errSlotLost) {
			k.socket.stopReading() // what arrived behind it is owed an answer as well
			err = nil
		}
		if err == nil {
			cmd, err = dc.ReadCommand()
		}
	}
	k.endReading(err)
}

// Errors of messages after which a connection takes nothing more.
var (
	errDuplicateTag       = errors.New("the tag of an open request, or too many open requests")
	errTooManyBadMessages = errors.New("too many messages that can't be taken")
	errSlotLost           = errors.New("its place was given away")
	errAborted            = errors.New("it came as the connection was cut")
)

// Causes of the end of reading.
type endCause int

const (
	endedByPeer     endCause = iota // it left, or the connection is lost: nobody waits for what is open
	endedLocally                    // the connection is being closed from this side: what was read is still answered
	endedByBadInput                 // what can't be taken came
)

func endCauseOf(err error) endCause {
	for _, bad := range []error{errFraming, errMessageTimeout, errNoTag, errDuplicateTag, errTooManyBadMessages} {
		if errors.Is(err, bad) {
			return endedByBadInput
		}
	}
	if errors.Is(err, errReadingStopped) || errors.Is(err, errSlotLost) {
		return endedLocally
	}
	return endedByPeer
}

// endReading takes the end of reading. If the peer left, nobody waits for what is open. If it sent what can't be taken, what
// it sent before is answered at once, without waiting for runs, and the connection closes.
func (k *conn) endReading(err error) {
	why := endCauseOf(err)
	k.mu.Lock()
	k.readEnded = true
	var ids []string
	for _, id := range k.openRequests {
		ids = append(ids, id)
	}
	if why == endedByPeer {
		k.peerGone, k.writeEnded = true, true
		clear(k.openRequests)
	}
	k.closeIfDone()
	k.mu.Unlock()
	if why == endedByBadInput {
		k.front.log.Warn("bad message: the connection is closed", err)
	} else {
		k.front.opts.Log.Debug("nothing more is read from a connection", "peer", k.socket.RemoteAddr(), "error", err, "open", ids)
	}
	for _, id := range ids {
		switch why {
		case endedByPeer:
			k.front.opts.Core.Cancel(id)
		case endedByBadInput:
			k.front.opts.Core.Abort(id)
		}
	}
}

// handleMessage handles one array. An error ends the reading.
func (k *conn) handleMessage(args [][]byte) error {
	lim := k.front.opts.Limits
	m, err := parse(args, lim.BodyBytes, lim.FieldListBytes)
	if errors.Is(err, errNoTag) {
		return err
	}
	if err == nil && m.verb == "UNDO" {
		k.cancelRequest(m.tag)
		return nil
	}
	k.mu.Lock()
	if k.writeEnded {
		k.mu.Unlock()
		return errAborted // no answer could follow: it must not run, and its caller learns by the close that it did not
	}
	// Whatever is said under the tag of an open request would be taken for that one's answer.
	if _, twice := k.openRequests[m.tag]; twice || m.verb == "DO" && len(k.openRequests) >= lim.RequestsPerConnection {
		k.mu.Unlock()
		return errDuplicateTag
	}
	k.lastUsed = time.Now()
	k.messagesRead++
	if m.verb == "DO" {
		k.openRequests[m.tag] = m.do.req
	}
	seated := k.slot.SetState(k.slotState())
	waits := !seated && k.socket.unadmitted && !k.socket.isStopping()
	k.mu.Unlock()
	if waits {
		seated = k.waitForSlot(&m.do)
	}
	var q node.Request
	switch {
	case m.verb == "DO" && !seated:
		// It was read, so it is owed an answer, but there is no place for its connection: the core never hears of it.
		k.sendAnswer(m.tag, node.Response{Status: k.front.opts.Core.RejectionStatus(m.do.class, m.do.opkey)})
		return errSlotLost
	case m.verb == "DO":
		if err == nil {
			q, err = k.nodeRequest(&m.do)
		}
		if err != nil { // it was read, so it is owed an answer; this try never ran
			k.sendAnswer(m.tag, node.Response{Status: k.front.opts.Core.RejectionStatus(m.do.class, m.do.opkey)})
		}
		if errors.Is(err, errUnknownClass) {
			// Well formed, of a class that the settings do not name (yet, or any more): balancers learn of a retuning
			// late, and the connection carries others' requests, so it is no fault of the connection's.
			k.front.log.Warn("unknown class: refused", err)
			if k.front.opts.OnUnknownClass != nil {
				k.front.opts.OnUnknownClass(m.do.class)
			}
			return nil
		}
	case err != nil:
		k.enqueueAnswer(m.tag, answerWords[node.StatusFailed], k.loadSignal(), nil, "")
	default:
		word := "GREEN"
		if !k.front.opts.Status.Healthy() {
			word = "RED"
		}
		k.enqueueAnswer(m.tag, word, k.loadSignal(), nil, "")
		if !seated {
			return errSlotLost
		}
		return nil
	}
	if err != nil {
		k.front.log.Warn("bad message: turned away", err)
		if k.badMessages++; k.badMessages >= lim.BadMessagesPerConnection {
			return errTooManyBadMessages
		}
		return nil
	}
	k.front.opts.Core.Submit(q, func(a node.Response) { k.sendAnswer(m.tag, a) })
	return nil
}

// slotWaitDivisor is the part of its caller's time that a newcomer's request may spend waiting for a place.
const slotWaitDivisor = 8

// waitForSlot has a newcomer wait for a place, for as long as a connection that spoke just now keeps its own, but not for long by its caller's measure.
func (k *conn) waitForSlot(d *do) bool {
	patience := k.front.opts.Limits.IdleConnectionGrace
	if d.wait > 0 {
		patience = min(patience, d.wait/slotWaitDivisor)
	}
	if !k.slot.AcquireWithin(patience) {
		return false
	}
	k.mu.Lock()
	k.socket.unadmitted = false
	k.slot.SetState(k.slotState())
	k.mu.Unlock()
	k.socket.messageTimeout = k.front.opts.Limits.MessageTimeout
	<-k.front.unadmitted
	return true
}

var errUnknownClass = errors.New("unknown class")

// nodeRequest is what DO asks for in the core's terms, if there can be such a request at all.
func (k *conn) nodeRequest(d *do) (node.Request, error) {
	o := &k.front.opts
	class, known := (*k.front.classes.Load())[d.class]
	if !known {
		return node.Request{}, fmt.Errorf("%w %.40q", errUnknownClass, d.class)
	}
	tenant, known := o.Tenants[d.owner]
	if !known {
		if tenant = -1; d.owner != "" && len(o.Tenants) > 0 {
			return node.Request{}, fmt.Errorf("unknown tenant %.40q", d.owner)
		}
	}
	arrived, err := o.Timestamps.Instant(d.stamp)
	if err != nil {
		return node.Request{}, err
	}
	return node.Request{ID: d.req, Class: class, Tenant: tenant, MemoryKB: d.need, WorkHint: d.work, PriorityRank: d.level, Retry: d.resent,
		CallerID: d.via, ArrivedAt: arrived, AttemptTimeout: d.wait, IdempotencyKey: d.opkey, Body: d.body, Content: d.body, Runner: o.Runner, Protocol: "resp"}, nil
}

// slotState is what the connection is doing; the caller holds mu.
func (k *conn) slotState() connlimit.State {
	if len(k.openRequests) > 0 || len(k.output) > 0 || k.flushing {
		return connlimit.StateActive
	}
	if k.messagesRead == 1 {
		return connlimit.StateIdleAfterOne
	}
	return connlimit.StateIdle
}

// answersOwed says whether an answer is owed on the connection or still to be written. Where none is, the connection is about to end, and its peer is
// not asked to close it any more.
func (k *conn) answersOwed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.openRequests) > 0 || len(k.output) > 0 || k.flushing {
		return true
	}
	if k.closeRequestedAt.IsZero() {
		k.closeRequestedAt = time.Now()
	}
	return false
}

func (k *conn) cancelRequest(tag string) {
	k.mu.Lock()
	id, known := k.openRequests[tag]
	delete(k.openRequests, tag)
	k.lastUsed = time.Now()
	k.slot.SetState(k.slotState())
	k.closeIfDone()
	k.mu.Unlock()
	if known {
		k.front.opts.Core.Cancel(id)
	}
}

var answerWords = map[node.Status]string{node.StatusServed: "ACK", node.StatusRejected: "NAK", node.StatusFailed: "FAIL"}

func (k *conn) sendAnswer(tag string, a node.Response) {
	fields := k.loadSignal()
	if a.Status == node.StatusRejected && a.RetryAfter > 0 {
		fields = appendField(fields, "holdoff")
		fields = strconv.AppendInt(fields, (a.RetryAfter + time.Millisecond - 1).Milliseconds(), 10)
	}
	if a.Status == node.StatusRejected && a.NoFailover {
		fields = append(appendField(fields, "nomore"), '1')
	}
	k.enqueueAnswer(tag, answerWords[a.Status], fields, a.Result, tag)
}

func appendField(fields []byte, name string) []byte {
	if len(fields) > 0 {
		fields = append(fields, ',')
	}
	return append(append(fields, name...), '=')
}

// loadSignal is the field that goes with every answer once there is something to tell.
func (k *conn) loadSignal() []byte {
	v, set := k.front.opts.Status.LoadSignal()
	if !set {
		return nil
	}
	return strconv.AppendFloat(appendField(nil, "signal"), v, 'f', 4, 64)
}

func (k *conn) closeIfIdle(now time.Time, idle time.Duration, leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.readEnded:
	case !k.closeRequestedAt.IsZero():
		if len(k.openRequests) == 0 && len(k.output) == 0 && !k.flushing && now.Sub(k.closeRequestedAt) > k.front.opts.Limits.PeerCloseTimeout {
			k.socket.stopReading()
		}
	case leaving, len(k.openRequests) == 0 && idle > 0 && now.Sub(k.lastUsed) > idle:
		k.requestClose(now)
	}
}

// requestClose asks the balancer to close the connection; k.mu is held.
func (k *conn) requestClose(now time.Time) {
	k.closeRequestedAt = now
	k.front.opts.Log.Debug("a peer is asked to close", "peer", k.socket.RemoteAddr())
	k.enqueue("0", "FIN", nil, nil)
}
