// Package runtime holds the link to the process that does the work.
package runtime

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/backend/runtime/redelivery"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Events are where the link tells how runs go.
type Events interface {
	Ended(id string, o admission.Outcome, took time.Duration, result []byte)
	Wants(id string, pos uint64, body []byte)
	// Unconfirmed tells that a link broke and nobody can tell whether the runtime read the start of a run, or, where call is not 0, the reply
	// to the call that the notice of that number asked for. Neither is sent again.
	Unconfirmed(id string, call uint64)
}

// Options are what a link needs.
type Options struct {
	Address string
	Meters  []string // the names of the gauges, in the order in which they are told
	Gauges  func(admission.Gauges)
	Limits  limits.Limits
	Log     *slog.Logger
}

// queued is a command that no link has taken yet.
type queued struct {
	line []byte
	run  *run // the run that it starts, or lets go on from a call; nil for any other command
}

// Link keeps a connection to the runtime open, for good.
type Link struct {
	opts   Options
	events Events
	log    *lograte.Logger

	moved chan struct{} // the address has changed

	mu      sync.Mutex
	cond    *sync.Cond
	address string
	queue   []queued
	runs    map[string]*run
	pos     uint64 // the last notice that was read
	conn    net.Conn
	synced  bool
	resumed bool // what the last break may have swallowed was decided on for this link
	leaving bool // the address has changed: this link ends once the runtime has taken all that was written
	whole   bool // the last link ended so: it swallowed nothing
	closed  bool
	tag     uint64 // of the gauges asked for last
	taken   uint64 // and of those that came last
	links   uint64 // made so far
	gap     bool   // notices of before this link are lost: the runtime keeps the last 4,000 only
	spoilt  bool   // the last link ended at a notice that could not be read, the one after pos
}

// Errors that end a link.
var (
	errMoved  = errors.New("its work goes on at another address")
	errSilent = errors.New("nothing came from the runtime, though it was asked")
	errLong   = errors.New("a notice that does not end")
)

// New returns a link that does nothing until Serve.
func New(o Options) *Link {
	l := &Link{opts: o, address: o.Address, moved: make(chan struct{}, 1), log: lograte.New(o.Log, o.Limits.LogEvery), runs: map[string]*run{}}
	l.cond = sync.NewCond(&l.mu)
	return l
}

// send queues a command; the caller holds mu.
func (l *Link) send(c command) { l.sendFor(nil, c) }

// sendFor queues a command that a run waits for; the caller holds mu.
func (l *Link) sendFor(r *run, c command) {
	line := encode(c)
	if r != nil {
		r.line, r.written, r.ack = line, 0, l.tag+1
	}
	l.queue = append(l.queue, queued{line, r})
	l.cond.Broadcast()
}

// handed takes all that is queued for the link that is up; the caller holds mu, and writes it or puts it back.
func (l *Link) handed() []queued {
	lines := l.queue
	l.queue = nil
	for _, q := range lines {
		if q.run != nil {
			q.run.written = l.links
		}
	}
	return lines
}

// Start asks for a run. once says that it must not be started twice.
func (l *Link) Start(id, class string, body []byte, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{repeatable: !once, last: redelivery.Start, link: l.links}
	l.sendFor(r, command{Action: "start", UID: id, Lane: class, Content: base(body)})
	l.runs[id] = r
}

// Stop pauses a run, or ends one whose request is over. Without a link it is left out: the module asks again, and
// a queue of what it asks for would grow for as long as the runtime is away.
func (l *Link) Stop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.send(command{Action: "stop", UID: id})
	}
}

// Continue goes on with a paused run.
func (l *Link) Continue(id string) { l.simple(command{Action: "cont", UID: id}) }

// Give hands over the reply to the call that a run waits for.
func (l *Link) Give(id string, reply []byte) {
	l.answerCall(id, redelivery.Reply, command{Action: "give", UID: id, Content: base(reply)})
}

// Omit lets a run go on without the call that the notice at pos asked for.
func (l *Link) Omit(id string, pos uint64) {
	l.answerCall(id, redelivery.Omission, command{Action: "omit", UID: id, Pos: &pos})
}

func (l *Link) simple(c command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.send(c)
}

func (l *Link) answerCall(id string, kind redelivery.Kind, c command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	if r != nil {
		r.last = kind
	}
	l.sendFor(r, c)
}

// Ask requests the gauges. While there is no link nothing is asked, as nothing could answer.
func (l *Link) Ask() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.tag++
		l.send(command{Action: "gauges", Echo: strconv.FormatUint(l.tag, 10)})
	}
}

// Move takes the link to another address. What is queued from now on goes there; the old link ends once the runtime
// has taken what was written to it, or shortly after.
func (l *Link) Move(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == l.address {
		return
	}
	l.address = address
	select {
	case l.moved <- struct{}{}:
	default:
	}
	conn := l.conn
	switch {
	case conn == nil: // Serve is on its way
	case !l.synced:
		conn.Close()
	default:
		l.leaving = true
		l.send(command{Action: "gauges", Echo: handOver})
		time.AfterFunc(l.opts.Limits.HandOver, func() { conn.Close() })
	}
}

// Serve keeps the link up until Close.
func (l *Link) Serve(events Events) {
	l.events = events
	wait := l.opts.Limits.RetryLeast
	for {
		began := time.Now()
		l.mu.Lock()
		address := l.address
		l.mu.Unlock()
		conn, err := net.DialTimeout("tcp", address, l.opts.Limits.Dial)
		if err == nil {
			err = l.serveConn(conn)
		}
		l.mu.Lock()
		closed, moved := l.closed, address != l.address
		l.mu.Unlock()
		if closed {
			return
		}
		if time.Since(began) > l.opts.Limits.RetryMost || moved {
			wait = l.opts.Limits.RetryLeast // it was up: begin anew
		}
		l.opts.Log.Info("no link to the runtime", "address", address, "error", err, "retry", wait, "moved", moved, "link", l.count(),
			"up", time.Since(began).Round(time.Millisecond), "unheard", l.unheard())
		if moved {
			continue
		}
		select {
		case <-time.After(wait):
		case <-l.moved:
		}
		wait = min(2*wait, l.opts.Limits.RetryMost)
	}
}

// count is how many links there were so far.
func (l *Link) count() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.Close()
	}
	l.cond.Broadcast()
}

func (l *Link) serveConn(conn net.Conn) error {
	defer conn.Close()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return net.ErrClosed
	}
	l.conn, l.synced, l.leaving, l.gap = conn, false, false, false
	l.links++
	pos := l.pos
	l.mu.Unlock()
	if _, err := l.write(conn, encode(command{Action: "sync", Pos: &pos})); err != nil {
		return err
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.writeQueue(conn)
	}()
	err := l.read(conn)
	l.mu.Lock()
	l.conn, l.synced = nil, false
	l.whole = errors.Is(err, errMoved)
	l.cond.Broadcast()
	l.mu.Unlock()
	// What this link did not take must stand in the queue again before another one sends on: put back later, it would
	// follow what was asked for after it, and a reply that was repeated meanwhile would be given twice.
	conn.Close()
	<-written
	return err
}

func (l *Link) write(conn net.Conn, b []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(l.opts.Limits.Write)); err != nil {
		return 0, err
	}
	return conn.Write(b)
}

// putBack queues again what a link that broke after n bytes can't have taken: the lines of which some of the object was not written.
// The others may have been carried out, also one that lacks only its newline: the end of a stream ends a line too.
func (l *Link) putBack(lines []queued, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, q := range lines {
		if n -= len(q.line); n < -len("\n") {
			for _, q := range lines[i:] {
				if q.run != nil {
					q.run.written = 0
				}
			}
			l.queue = append(slices.Clone(lines[i:]), l.queue...)
			l.opts.Log.Info("commands not written whole go out with the next link", "link", l.links, "commands", len(lines)-i, "first_left", -n)
			return
		}
	}
}

// writeQueue writes what is queued once the runtime has answered the sync, until the link is over.
func (l *Link) writeQueue(conn net.Conn) {
	var batch []byte
	for {
		l.mu.Lock()
		for l.conn == conn && (!l.synced || len(l.queue) == 0) {
			l.cond.Wait()
		}
		if l.conn != conn {
			l.mu.Unlock()
			return
		}
		batch = batch[:0]
		lines := l.handed()
		if l.leaving {
			l.synced = false // these lines are the last on this link
		}
		l.mu.Unlock()
		for _, q := range lines {
			batch = append(batch, q.line...)
		}
		if n, err := l.write(conn, batch); err != nil {
			l.putBack(lines, n)
			conn.Close() // the reader notices
			return
		}
	}
}
