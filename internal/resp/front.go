// Package resp is the front for the platform's balancers: it parses their messages, asks the core and writes its
// answers, in whatever order they come.
package resp

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/clock"
	"sloehitch/internal/limits"
	"sloehitch/internal/linger"
	"sloehitch/internal/lograte"
	"sloehitch/internal/node"
	"sloehitch/internal/seats"
)

// Core is what the front asks of the node.
type Core interface {
	Submit(q node.Request, reply func(node.Answer))
	Gone(id string)
	GiveUp(id string)
}

// Standing is what goes with every answer.
type Standing interface {
	Signal() (float64, bool)
	Well() bool
	Idle() time.Duration
}

// Options are what a front is made of.
type Options struct {
	Core     Core
	Standing Standing
	Runner   node.Runner
	Classes  map[string]int
	Tenants  map[string]int
	Unknown  func(class string) // told of each request refused for a class not in the settings; may be nil
	Limits   limits.Limits
	Log      *slog.Logger
	Stamps   *clock.Stamps // reads requests' time stamps; nil: one with the bounds of Limits
}

// Front serves balancers.
type Front struct {
	opts Options
	log  *lograte.Logger

	seats   *seats.Table
	classes atomic.Pointer[map[string]int] // as of the latest Retune
	pending atomic.Int64                   // connections accepted and not yet among conns
	closing atomic.Int64                   // listeners that are to close and may still hand out connections
	unread  atomic.Int64                   // bytes of answers that wait for their peers to read

	closed chan struct{}

	evicting sync.Mutex
	evicted  []*guarded // without a seat, and still to end; the longest first

	mu      sync.Mutex
	conns   map[*conn]struct{}
	leaving bool
}

// New returns a front that serves nothing yet.
func New(o Options) *Front {
	if o.Stamps == nil {
		o.Stamps = clock.NewStamps(o.Limits.Ahead, o.Limits.Behind, nil)
	}
	f := &Front{opts: o, log: lograte.New(o.Log, o.Limits.LogEvery), conns: map[*conn]struct{}{}, closed: make(chan struct{}),
		seats: seats.New(o.Limits.Connections, o.Limits.Newcomer, o.Limits.Quiet)}
	f.classes.Store(&o.Classes)
	return f
}

// Retune takes the names of classes of new settings, for requests read from now on. The core must know them first.
func (f *Front) Retune(classes map[string]int) { f.classes.Store(&classes) }

// Resize takes so many connections at once from now on; none is cut for it.
func (f *Front) Resize(most int) { f.seats.Resize(most) }

// Listener hands redcon connections that are within the limits and well framed. Accept never fails for a moment's
// lack of descriptors: redcon would spin on it.
type Listener struct {
	net.Listener
	f       *Front
	shared  bool
	closing atomic.Bool
	quiet   bool // nothing came in the time granted since the last connection; of Accept
}

// Listen returns what Serve is to serve: ln, which is shared if another process of this node takes connections from it too.
func (f *Front) Listen(ln net.Listener, shared bool) *Listener {
	return &Listener{Listener: ln, f: f, shared: shared}
}

// lastLook is for how long nothing must come before a listener that is to close is closed.
const lastLook = 10 * time.Millisecond

// Close ends the taking of connections. A listener that closes resets what waits in its queue, requests included, so
// that is taken first: Close returns at once, and the listener closes when its queue is empty. The queue of a shared
// one is left to the other process.
func (l *Listener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		l.f.closing.Add(1)
	}
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && !l.shared {
		return d.SetDeadline(time.Now().Add(lastLook))
	}
	return l.Listener.Close()
}

// lookAgain says whether a listener that is to close is to be looked at once more as its time is over: something came
// since it was last granted, or it had no turn.
func (l *Listener) lookAgain() bool {
	if l.quiet {
		return false
	}
	l.quiet = true
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Now().Add(lastLook)) == nil
}

// Accept waits for the next connection. Once the listener is closed it blocks until the front is.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && l.closing.Load():
			if !l.lookAgain() {
				l.Listener.Close()
			}
		case errors.Is(err, net.ErrClosed):
			if l.closing.Load() {
				l.f.closing.Add(-1)
			}
			// Once this fails redcon closes every connection, open requests or not: not before Close.
			<-l.f.closed
			return nil, err
		case err != nil:
			l.f.log.Warn("accept failed", err)
			time.Sleep(l.f.opts.Limits.RetryLeast)
		default:
			l.quiet = false
			lim := l.f.opts.Limits
			g := &guarded{Conn: c, frames: frames{mostParts: lim.FrameParts, mostBulk: lim.Frame, mostFrame: lim.Frame},
				limit: lim.Message, since: time.Now()}
			if g.seat = l.f.seats.Take(func() { l.f.evict(g) }); g.seat == nil {
				l.f.opts.Log.Debug("a new connection is closed: there is no place for it", "peer", c.RemoteAddr())
				c.Close()
				continue
			}
			// Counted as open until Serve has it among its connections: a process that looked in between would
			// think itself free to leave, and close a connection that a client may have written to. Even while
			// leaving it is served and asked to close like the others: where the listener is shared with the
			// process that comes next, the client never learns that it reached this one.
			l.f.pending.Add(1)
			return g, nil
		}
	}
}

// evict ends a connection that made room for another. Its last answers may be on their way, so it ends from this side
// and has limits.Linger to end from the other. For that it holds a descriptor beyond the seats: a few may at once.
func (f *Front) evict(g *guarded) {
	f.opts.Log.Debug("a connection makes room for another", "peer", g.RemoteAddr())
	linger.CloseWrite(g.Conn)
	f.evicting.Lock()
	defer f.evicting.Unlock()
	if f.evicted = append(f.evicted, g); len(f.evicted) > f.opts.Limits.Evicted {
		f.evicted[0].Close()
		f.evicted = f.evicted[1:]
	}
	time.AfterFunc(f.opts.Limits.Linger, func() {
		g.Close()
		f.evicting.Lock()
		defer f.evicting.Unlock()
		f.evicted = slices.DeleteFunc(f.evicted, func(other *guarded) bool { return other == g })
	})
}

// Serve serves what comes in on ln until the front is closed.
func (f *Front) Serve(ln *Listener) error {
	accept := func(c redcon.Conn) bool {
		g := c.NetConn().(*guarded)
		k := &conn{front: f, net: g, seat: g.seat, open: map[string]string{}, used: time.Now()}
		c.SetContext(k)
		f.mu.Lock()
		f.conns[k] = struct{}{}
		f.mu.Unlock()
		f.pending.Add(-1)
		return true
	}
	handle := func(c redcon.Conn, cmd redcon.Command) {
		k := c.Context().(*conn)
		k.serve(c.Detach(), cmd) // answers come out of order, from other goroutines: redcon only reads
	}
	closed := func(c redcon.Conn, err error) {
		if k := c.Context().(*conn); !k.served {
			k.end(err) // it ended before its first whole command
		}
	}
	err := redcon.Serve(ln, handle, accept, closed)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// all is the connections that are open now, for a look at each without the front's lock.
func (f *Front) all() []*conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.conns))
}

// Sweep closes connections that have been idle for longer than the core wishes, or all idle ones when leaving.
// It asks first, so that no request crosses the close; a peer that doesn't close in time is cut off.
func (f *Front) Sweep() {
	idle := f.opts.Standing.Idle()
	now := time.Now()
	f.mu.Lock()
	leaving := f.leaving
	f.mu.Unlock()
	for _, k := range f.all() {
		k.sweep(now, idle, leaving)
	}
}

// Ask asks each connection that has not been asked yet to close, and cuts none: while leaving, balancers learn
// late and may still send on a connection that was asked, and what they send is served until the kill.
func (f *Front) Ask() {
	now := time.Now()
	for _, k := range f.all() {
		k.mu.Lock()
		if k.finAt.IsZero() {
			k.ask(now)
		}
		k.mu.Unlock()
	}
}

// Leave asks all balancers to send nothing more here.
func (f *Front) Leave() {
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.Sweep()
}

// Finish ends all connections from this side, as soon as what was answered on them is written; what still comes is not
// taken. It waits until the peers have ended them too, at the longest for the given time. A process that ended
// without it would reset connections on which something unread stands, and answers that are on their way with them.
func (f *Front) Finish(within time.Duration) {
	by := time.Now().Add(within)
	for {
		for _, k := range f.all() {
			k.mu.Lock()
			k.shut = true
			k.shutIfWritten()
			k.mu.Unlock()
		}
		if f.Open() == 0 || !time.Now().Before(by) {
			return
		}
		time.Sleep(min(by.Sub(time.Now()), f.opts.Limits.RetryLeast/4))
	}
}

// Close ends Serve and closes all connections, once the listener is closed. It is to be called once.
func (f *Front) Close() { close(f.closed) }

// Open is the number of open connections; a listener that is to close and may still hand out some counts as one.
func (f *Front) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) + int(f.pending.Load()+f.closing.Load())
}

// conn is one balancer's connection.
type conn struct {
	front  *Front
	net    *guarded
	seat   *seats.Seat
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
	shut    bool // it is ending from this side: what still comes is not taken
	halved  bool // it has ended from this side
	dead    bool // nothing more is written to it
	ending  bool // its socket is closed, or soon will be
}

// serve reads messages until the connection ends.
func (k *conn) serve(dc redcon.DetachedConn, cmd redcon.Command) {
	k.served = true
	var err error
	for err == nil {
		if err = k.message(cmd.Args); err == nil {
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
	errShut     = errors.New("it came as the connection was being closed")
)

// end takes the end of reading. If the peer left, nobody waits for what is open. If it sent what can't be taken, what
// it sent before is answered at once, without waiting for runs, and the connection closes.
func (k *conn) end(err error) {
	gone := true
	for _, bad := range []error{errFrame, errSlow, errTag, errTagTwice, errTooBad} {
		gone = gone && !errors.Is(err, bad)
	}
	k.mu.Lock()
	k.ended = true
	// What else came is not taken, but has to be read: a close over unread bytes resets the connection, and with it what
	// was answered before.
	k.lost = k.lost || gone && !errors.Is(err, errUnseated) && !errors.Is(err, errShut)
	var ids []string
	for _, id := range k.open {
		ids = append(ids, id)
	}
	if gone {
		k.dead = k.dead || k.lost
		clear(k.open)
	}
	k.closeIfDone()
	k.mu.Unlock()
	if !gone {
		k.front.log.Warn("bad message: the connection is closed", err)
	} else {
		k.front.opts.Log.Debug("nothing more is read from a connection", "peer", k.net.RemoteAddr(), "error", err, "open", ids)
	}
	for _, id := range ids {
		if gone {
			k.front.opts.Core.Gone(id)
		} else {
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
	if k.shut || k.dead {
		k.mu.Unlock()
		return errShut // no answer could follow: it must not run, and its caller learns by the close that it did not
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
	if !seated {
		delete(k.open, m.tag) // the core never hears of it: its id may be that of another's request
	}
	k.mu.Unlock()
	if !seated {
		return errUnseated
	}
	var q node.Request
	switch {
	case m.verb == "DO":
		if err == nil {
			q, err = k.request(&m.do)
		}
		if err != nil { // it was read, so it is owed an answer; it never ran
			k.answer(m.tag, node.Answer{Kind: node.Refused})
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
func (k *conn) state() seats.State {
	if len(k.open) > 0 || len(k.out) > 0 || k.writing {
		return seats.Busy
	}
	if k.spoken == 1 {
		return seats.Once
	}
	return seats.Idle
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

// write queues an answer, which closes the tag. It never blocks: a peer that doesn't read holds up nobody
// else, and one that leaves too much unread is cut off.
func (k *conn) write(tag, word string, fields, body []byte, closes string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = time.Now()
	if closes != "" {
		if _, open := k.open[closes]; !open {
			return // undone meanwhile
		}
		delete(k.open, closes)
	}
	k.queue(tag, word, fields, body)
	k.seat.Set(k.state())
}

func (k *conn) queue(tag, word string, fields, body []byte) {
	if k.dead {
		return
	}
	parts, had := 2, len(k.out)
	if len(fields) > 0 || len(body) > 0 {
		parts = 4
	}
	k.out = redcon.AppendArray(k.out, parts)
	k.out = redcon.AppendBulkString(k.out, tag)
	k.out = redcon.AppendBulkString(k.out, word)
	if parts == 4 {
		k.out = redcon.AppendBulk(k.out, fields)
		k.out = redcon.AppendBulk(k.out, body)
	}
	k.front.unread.Add(int64(len(k.out) - had))
	lim := k.front.opts.Limits
	if n := len(k.out); n > lim.Backlog || n > lim.Backlog/backlogPart && k.front.unread.Load() > int64(lim.Backlogs) {
		k.cut()
		return
	}
	if !k.writing {
		k.writing = true
		go k.flush()
	}
}

// backlogPart is the part of a peer's own bound that it may leave unread when all of them together leave too much.
const backlogPart = 16

// flush writes what is queued. A peer may read as slowly as it likes, as long as it reads something within each
// limits.Write.
func (k *conn) flush() {
	var batch []byte
	for {
		k.mu.Lock()
		k.front.unread.Add(-int64(len(batch)))
		if k.dead || len(k.out) == 0 {
			k.writing = false
			k.seat.Set(k.state())
			k.shutIfWritten()
			k.closeIfDone()
			k.mu.Unlock()
			return
		}
		batch, k.out = k.out, batch[:0]
		k.mu.Unlock()
		if err := k.writeAll(batch); err != nil {
			k.mu.Lock()
			k.cut()
			k.mu.Unlock()
		}
	}
}

func (k *conn) writeAll(b []byte) error {
	for len(b) > 0 {
		if err := k.net.SetWriteDeadline(time.Now().Add(k.front.opts.Limits.Write)); err != nil {
			return err
		}
		n, err := k.net.Write(b)
		if b = b[n:]; err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return err
		}
	}
	return nil
}

// cut closes the socket now; the reader sees it and tells the core. k.mu is held.
func (k *conn) cut() {
	k.front.opts.Log.Debug("a connection is cut", "peer", k.net.RemoteAddr(), "unread", len(k.out), "open", len(k.open))
	k.dead, k.lost = true, true
	k.front.unread.Add(-int64(len(k.out)))
	k.out = nil
	k.net.Close()
}

// shutIfWritten ends the connection from this side, where it is to end, once all is written; k.mu is held.
func (k *conn) shutIfWritten() {
	if k.shut && !k.halved && !k.dead && !k.writing && len(k.out) == 0 {
		k.halved = true
		linger.CloseWrite(k.net.Conn)
	}
}

// closeIfDone closes the socket once nothing more is taken and all is written; k.mu is held.
func (k *conn) closeIfDone() {
	if k.ending || !k.ended || !k.dead && (len(k.open) > 0 || len(k.out) > 0 || k.writing) {
		return
	}
	k.dead, k.ending = true, true
	k.front.unread.Add(-int64(len(k.out)))
	k.out = nil
	if k.lost {
		k.close()
		return
	}
	go func() {
		linger.Drain(k.net.Conn, k.front.opts.Limits.Linger, k.front.opts.Limits.Backlog)
		k.close()
	}()
}

// close closes the socket and gives up the connection's place.
func (k *conn) close() {
	k.net.Close()
	k.seat.Leave()
	k.front.mu.Lock()
	delete(k.front.conns, k)
	k.front.mu.Unlock()
}

func (k *conn) sweep(now time.Time, idle time.Duration, leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.halved:
	case !k.finAt.IsZero():
		if len(k.open) == 0 && len(k.out) == 0 && !k.writing && now.Sub(k.finAt) > k.front.opts.Limits.Closing {
			k.shut = true
			k.shutIfWritten()
			time.AfterFunc(k.front.opts.Limits.Linger, func() { k.net.Close() })
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
