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
	RunEnded(id string, o admission.Outcome, took time.Duration, result []byte)
	CallRequested(id string, pos uint64, body []byte)
	// DeliveryUnconfirmed tells that a link broke and nobody can tell whether the runtime read the start of a run, or, where call is not 0, the reply
	// to the call that the notice of that number asked for. Neither is sent again.
	DeliveryUnconfirmed(id string, call uint64)
}

// Options are what a link needs.
type Options struct {
	Address    string
	GaugeNames []string // the names of the gauges, in the order in which they are told
	OnGauges   func(admission.Gauges)
	Limits     limits.Limits
	Log        *slog.Logger
}

// queuedCommand is a command that no link has taken yet.
type queuedCommand struct {
	line []byte
	run  *runState // the run that it starts, or lets go on from a call; nil for any other command
}

// Link keeps a connection to the runtime open, for good.
type Link struct {
	opts   Options
	events Events
	log    *lograte.Logger

	addressChanged chan struct{} // the address has changed

	mu                sync.Mutex
	cond              *sync.Cond
	address           string
	queue             []queuedCommand
	runs              map[string]*runState
	lastNotice        uint64 // the last notice that was read
	conn              net.Conn
	synced            bool
	redeliveryDecided bool // what the last break may have swallowed was decided on for this link
	switching         bool // the address has changed: this link ends once the runtime has taken all that was written
	cleanSwitch       bool // the last link ended so: it swallowed nothing
	closed            bool
	gaugesRequested   uint64 // of the gauges asked for last
	gaugesReceived    uint64 // and of those that came last
	generation        uint64 // made so far
	noticesLost       bool   // notices of before this link are lost: the runtime keeps the last 4,000 only
	unreadableNotice  bool   // the last link ended at a notice that could not be read, the one after pos
}

// Errors that end a link.
var (
	errAddressChanged = errors.New("its work goes on at another address")
	errRuntimeSilent  = errors.New("nothing came from the runtime, though it was asked")
	errNoticeTooLong  = errors.New("a notice that does not end")
)

// New returns a link that does nothing until Serve.
func New(o Options) *Link {
	l := &Link{opts: o, address: o.Address, addressChanged: make(chan struct{}, 1), log: lograte.New(o.Log, o.Limits.LogInterval), runs: map[string]*runState{}}
	l.cond = sync.NewCond(&l.mu)
	return l
}

// enqueue queues a command; the caller holds mu.
func (l *Link) enqueue(c command) { l.enqueueForRun(nil, c) }

// enqueueForRun queues a command that a run waits for; the caller holds mu.
func (l *Link) enqueueForRun(r *runState, c command) {
	line := encodeCommand(c)
	if r != nil {
		r.line, r.writtenOn, r.ackTag = line, 0, l.gaugesRequested+1
	}
	l.queue = append(l.queue, queuedCommand{line, r})
	l.cond.Broadcast()
}

// takeQueue takes all that is queued for the link that is up; the caller holds mu, and writes it or puts it back.
func (l *Link) takeQueue() []queuedCommand {
	lines := l.queue
	l.queue = nil
	for _, q := range lines {
		if q.run != nil {
			q.run.writtenOn = l.generation
		}
	}
	return lines
}

// Start asks for a run. once says that it must not be started twice.
func (l *Link) Start(id, class string, body []byte, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &runState{idempotent: !once, kind: redelivery.Start, heardOn: l.generation}
	l.enqueueForRun(r, command{Action: "start", UID: id, Lane: class, Content: encodeBody(body)})
	l.runs[id] = r
}

// Stop pauses a run, or ends one whose request is over. Without a link it is left out: the module asks again, and
// a queue of what it asks for would grow for as long as the runtime is away.
func (l *Link) Stop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.enqueue(command{Action: "stop", UID: id})
	}
}

// Resume goes on with a paused run.
func (l *Link) Resume(id string) { l.sendCommand(command{Action: "cont", UID: id}) }

// DeliverReply hands over the reply to the call that a run waits for.
func (l *Link) DeliverReply(id string, reply []byte) {
	l.sendForCall(id, redelivery.Reply, command{Action: "give", UID: id, Content: encodeBody(reply)})
}

// SkipCall lets a run go on without the call that the notice at pos asked for.
func (l *Link) SkipCall(id string, pos uint64) {
	l.sendForCall(id, redelivery.Omission, command{Action: "omit", UID: id, Pos: &pos})
}

func (l *Link) sendCommand(c command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(c)
}

func (l *Link) sendForCall(id string, kind redelivery.Kind, c command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	if r != nil {
		r.kind = kind
	}
	l.enqueueForRun(r, c)
}

// RequestGauges requests the gauges. While there is no link nothing is asked, as nothing could answer.
func (l *Link) RequestGauges() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.gaugesRequested++
		l.enqueue(command{Action: "gauges", Echo: strconv.FormatUint(l.gaugesRequested, 10)})
	}
}

// SetAddress takes the link to another address. What is queued from now on goes there; the old link ends once the runtime
// has taken what was written to it, or shortly after.
func (l *Link) SetAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == l.address {
		return
	}
	l.address = address
	select {
	case l.addressChanged <- struct{}{}:
	default:
	}
	conn := l.conn
	switch {
	case conn == nil: // Serve is on its way
	case !l.synced:
		conn.Close()
	default:
		l.switching = true
		l.enqueue(command{Action: "gauges", Echo: echoHandover})
		time.AfterFunc(l.opts.Limits.LinkSwitchTimeout, func() { conn.Close() })
	}
}

// Serve keeps the link up until Close.
func (l *Link) Serve(events Events) {
	l.events = events
	wait := l.opts.Limits.MinBackoff
	for {
		began := time.Now()
		l.mu.Lock()
		address := l.address
		l.mu.Unlock()
		conn, err := net.DialTimeout("tcp", address, l.opts.Limits.DialTimeout)
		if err == nil {
			err = l.serveConnection(conn)
		}
		l.mu.Lock()
		closed, moved := l.closed, address != l.address
		l.mu.Unlock()
		if closed {
			return
		}
		if time.Since(began) > l.opts.Limits.MaxBackoff || moved {
			wait = l.opts.Limits.MinBackoff // it was up: begin anew
		}
		l.opts.Log.Info("no link to the runtime", "address", address, "error", err, "retry", wait, "moved", moved, "link", l.currentGeneration(),
			"up", time.Since(began).Round(time.Millisecond), "unheard", l.unacknowledgedRuns())
		if moved {
			continue
		}
		select {
		case <-time.After(wait):
		case <-l.addressChanged:
		}
		wait = min(2*wait, l.opts.Limits.MaxBackoff)
	}
}

// currentGeneration is how many links there were so far.
func (l *Link) currentGeneration() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
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

func (l *Link) serveConnection(conn net.Conn) error {
	defer conn.Close()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return net.ErrClosed
	}
	l.conn, l.synced, l.switching, l.noticesLost = conn, false, false, false
	l.generation++
	pos := l.lastNotice
	l.mu.Unlock()
	if _, err := l.writeWithDeadline(conn, encodeCommand(command{Action: "sync", Pos: &pos})); err != nil {
		return err
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.writeCommands(conn)
	}()
	err := l.readNotices(conn)
	l.mu.Lock()
	l.conn, l.synced = nil, false
	l.cleanSwitch = errors.Is(err, errAddressChanged)
	l.cond.Broadcast()
	l.mu.Unlock()
	// What this link did not take must stand in the queue again before another one sends on: put back later, it would
	// follow what was asked for after it, and a reply that was repeated meanwhile would be given twice.
	conn.Close()
	<-written
	return err
}

func (l *Link) writeWithDeadline(conn net.Conn, b []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(l.opts.Limits.WriteTimeout)); err != nil {
		return 0, err
	}
	return conn.Write(b)
}

// requeueUnwritten queues again what a link that broke after n bytes can't have taken: the lines of which some of the object was not written.
// The others may have been carried out, also one that lacks only its newline: the end of a stream ends a line too.
func (l *Link) requeueUnwritten(lines []queuedCommand, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, q := range lines {
		if n -= len(q.line); n < -len("\n") {
			for _, q := range lines[i:] {
				if q.run != nil {
					q.run.writtenOn = 0
				}
			}
			l.queue = append(slices.Clone(lines[i:]), l.queue...)
			l.opts.Log.Info("commands not written whole go out with the next link", "link", l.generation, "commands", len(lines)-i, "first_left", -n)
			return
		}
	}
}

// writeCommands writes what is queued once the runtime has answered the sync, until the link is over.
func (l *Link) writeCommands(conn net.Conn) {
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
		lines := l.takeQueue()
		if l.switching {
			l.synced = false // these lines are the last on this link
		}
		l.mu.Unlock()
		for _, q := range lines {
			batch = append(batch, q.line...)
		}
		if n, err := l.writeWithDeadline(conn, batch); err != nil {
			l.requeueUnwritten(lines, n)
			conn.Close() // the reader notices
			return
		}
	}
}
