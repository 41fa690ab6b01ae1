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
	front  *Front
	net    *guarded
	seat   *connlimit.Seat
	served bool // its read loop was entered
	bad    int  // messages that could not be taken
	spoken int  // messages so far

	mu      sync.Mutex
	open    map[string]string // tags of open requests to their ids
	used    time.Time
	finAt   time.Time // when it was asked to close
	out     []byte
	writing bool
	ended   bool // nothing more is read from it
	lost    bool // its reading ended by its peer, or the connection is cut: nothing can follow
	dead    bool // nothing more is written to it
	ending  bool // its socket is closed, or soon will be
}

// serve reads messages until the connection ends.
func (k *conn) serve(dc redcon.DetachedConn, cmd redcon.Command) {
	k.served = true
	var err error
	for err == nil {
		if err = k.message(cmd.Args); errors.Is(err, errUnseated) {
			k.net.stop() // what arrived behind it is owed an answer as well
			err = nil
		}
		if err == nil {
			cmd, err = dc.ReadCommand()
		}
	}
	k.end(err)
}

// Errors of messages after which a connection takes nothing more.
var (
	errTagTwice = errors.New("the tag of an open request, or too many open requests")
	errTooBad   = errors.New("too many messages that can't be taken")
	errUnseated = errors.New("its place was given away")
	errCut      = errors.New("it came as the connection was cut")
)

// Causes of the end of reading.
type cause int

const (
	byPeer  cause = iota // it left, or the connection is lost: nobody waits for what is open
	byFront              // the connection is being closed from this side: what was read is still answered
	byInput              // what can't be taken came
)

func causeOf(err error) cause {
	for _, bad := range []error{errFrame, errSlow, errTag, errTagTwice, errTooBad} {
		if errors.Is(err, bad) {
			return byInput
		}
	}
	if errors.Is(err, errStopped) || errors.Is(err, errUnseated) {
		return byFront
	}
	return byPeer
}

// end takes the end of reading. If the peer left, nobody waits for what is open. If it sent what can't be taken, what
// it sent before is answered at once, without waiting for runs, and the connection closes.
func (k *conn) end(err error) {
	why := causeOf(err)
	k.mu.Lock()
	k.ended = true
	var ids []string
	for _, id := range k.open {
		ids = append(ids, id)
	}
	if why == byPeer {
		k.lost, k.dead = true, true
		clear(k.open)
	}
	k.closeIfDone()
	k.mu.Unlock()
	if why == byInput {
		k.front.log.Warn("bad message: the connection is closed", err)
	} else {
		k.front.opts.Log.Debug("nothing more is read from a connection", "peer", k.net.RemoteAddr(), "error", err, "open", ids)
	}
	for _, id := range ids {
		switch why {
		case byPeer:
			k.front.opts.Core.Gone(id)
		case byInput:
			k.front.opts.Core.GiveUp(id)
		}
	}
}

// message handles one array. An error ends the reading.
func (k *conn) message(args [][]byte) error {
	lim := k.front.opts.Limits
	m, err := parse(args, lim.Body, lim.Fields)
	if errors.Is(err, errTag) {
		return err
	}
	if err == nil && m.verb == "UNDO" {
		k.undo(m.tag)
		return nil
	}
	k.mu.Lock()
	if k.dead {
		k.mu.Unlock()
		return errCut // no answer could follow: it must not run, and its caller learns by the close that it did not
	}
	// Whatever is said under the tag of an open request would be taken for that one's answer.
	if _, twice := k.open[m.tag]; twice || m.verb == "DO" && len(k.open) >= lim.OpenPerConn {
		k.mu.Unlock()
		return errTagTwice
	}
	k.used = time.Now()
	k.spoken++
	if m.verb == "DO" {
		k.open[m.tag] = m.do.req
	}
	seated := k.seat.Set(k.state())
	waits := !seated && k.net.unseated && !k.net.isStopping()
	k.mu.Unlock()
	if waits {
		seated = k.sit(&m.do)
	}
	var q node.Request
	switch {
	case m.verb == "DO" && !seated:
		// It was read, so it is owed an answer, but there is no place for its connection: the core never hears of it.
		k.answer(m.tag, node.Answer{Kind: k.front.opts.Core.Refusal(m.do.class, m.do.opkey)})
		return errUnseated
	case m.verb == "DO":
		if err == nil {
			q, err = k.request(&m.do)
		}
		if err != nil { // it was read, so it is owed an answer; this try never ran
			k.answer(m.tag, node.Answer{Kind: k.front.opts.Core.Refusal(m.do.class, m.do.opkey)})
		}
		if errors.Is(err, errUnknownClass) {
			// Well formed, of a class that the settings do not name (yet, or any more): balancers learn of a retuning
			// late, and the connection carries others' requests, so it is no fault of the connection's.
			k.front.log.Warn("unknown class: refused", err)
			if k.front.opts.Unknown != nil {
				k.front.opts.Unknown(m.do.class)
			}
			return nil
		}
	case err != nil:
		k.write(m.tag, words[node.Failed], k.signal(), nil, "")
	default:
		word := "GREEN"
		if !k.front.opts.Standing.Well() {
			word = "RED"
		}
		k.write(m.tag, word, k.signal(), nil, "")
		if !seated {
			return errUnseated
		}
		return nil
	}
	if err != nil {
		k.front.log.Warn("bad message: turned away", err)
		if k.bad++; k.bad >= lim.BadPerConn {
			return errTooBad
		}
		return nil
	}
	k.front.opts.Core.Submit(q, func(a node.Answer) { k.answer(m.tag, a) })
	return nil
}

// sitPart is the part of its caller's time that a newcomer's request may spend waiting for a place.
const sitPart = 8

// sit has a newcomer wait for a place, for as long as a connection that spoke just now keeps its own, but not for long by its caller's measure.
func (k *conn) sit(d *do) bool {
	patience := k.front.opts.Limits.Quiet
	if d.wait > 0 {
		patience = min(patience, d.wait/sitPart)
	}
	if !k.seat.Sit(patience) {
		return false
	}
	k.mu.Lock()
	k.net.unseated = false
	k.seat.Set(k.state())
	k.mu.Unlock()
	k.net.limit = k.front.opts.Limits.Message
	<-k.front.unseated
	return true
}

var errUnknownClass = errors.New("unknown class")

// request is what DO asks for in the core's terms, if there can be such a request at all.
func (k *conn) request(d *do) (node.Request, error) {
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
	arrived, err := o.Stamps.Instant(d.stamp)
	if err != nil {
		return node.Request{}, err
	}
	return node.Request{ID: d.req, Class: class, Tenant: tenant, KB: d.need, Hint: d.work, Rank: d.level, Retry: d.resent,
		Source: d.via, Arrived: arrived, Wait: d.wait, Key: d.opkey, Body: d.body, Content: d.body, Runner: o.Runner, Front: "resp"}, nil
}

// state is what the connection is doing; the caller holds mu.
func (k *conn) state() connlimit.State {
	if len(k.open) > 0 || len(k.out) > 0 || k.writing {
		return connlimit.Busy
	}
	if k.spoken == 1 {
		return connlimit.Once
	}
	return connlimit.Idle
}

// owes says whether an answer is owed on the connection or still to be written. Where none is, the connection is about to end, and its peer is
// not asked to close it any more.
func (k *conn) owes() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.open) > 0 || len(k.out) > 0 || k.writing {
		return true
	}
	if k.finAt.IsZero() {
		k.finAt = time.Now()
	}
	return false
}

func (k *conn) undo(tag string) {
	k.mu.Lock()
	id, known := k.open[tag]
	delete(k.open, tag)
	k.used = time.Now()
	k.seat.Set(k.state())
	k.closeIfDone()
	k.mu.Unlock()
	if known {
		k.front.opts.Core.Gone(id)
	}
}

var words = map[node.Kind]string{node.Served: "ACK", node.Refused: "NAK", node.Failed: "FAIL"}

func (k *conn) answer(tag string, a node.Answer) {
	fields := k.signal()
	if a.Kind == node.Refused && a.Holdoff > 0 {
		fields = appendField(fields, "holdoff")
		fields = strconv.AppendInt(fields, (a.Holdoff + time.Millisecond - 1).Milliseconds(), 10)
	}
	if a.Kind == node.Refused && a.Last {
		fields = append(appendField(fields, "nomore"), '1')
	}
	k.write(tag, words[a.Kind], fields, a.Result, tag)
}

func appendField(fields []byte, name string) []byte {
	if len(fields) > 0 {
		fields = append(fields, ',')
	}
	return append(append(fields, name...), '=')
}

// signal is the field that goes with every answer once there is something to tell.
func (k *conn) signal() []byte {
	v, set := k.front.opts.Standing.Signal()
	if !set {
		return nil
	}
	return strconv.AppendFloat(appendField(nil, "signal"), v, 'f', 4, 64)
}

func (k *conn) sweep(now time.Time, idle time.Duration, leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.ended:
	case !k.finAt.IsZero():
		if len(k.open) == 0 && len(k.out) == 0 && !k.writing && now.Sub(k.finAt) > k.front.opts.Limits.Closing {
			k.net.stop()
		}
	case leaving, len(k.open) == 0 && idle > 0 && now.Sub(k.used) > idle:
		k.ask(now)
	}
}

// ask asks the balancer to close the connection; k.mu is held.
func (k *conn) ask(now time.Time) {
	k.finAt = now
	k.front.opts.Log.Debug("a peer is asked to close", "peer", k.net.RemoteAddr())
	k.queue("0", "FIN", nil, nil)
}
