// Package runtime holds the link to the process that does the work.
package runtime

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"sloehitch/internal/gate"
	"sloehitch/internal/limits"
	"sloehitch/internal/lograte"
	"sloehitch/logic"
)

// Events are where the link tells how runs go.
type Events interface {
	Ended(id string, o gate.Outcome, took time.Duration, result []byte)
	Wants(id string, pos uint64, body []byte)
}

// Options are what a link needs.
type Options struct {
	Address string
	Meters  []string // the names of the gauges, in the order in which they are told
	Gauges  func(gate.Gauges)
	Limits  limits.Limits
	Log     *slog.Logger
}

// command is a message to the runtime.
type command struct {
	Action  string  `json:"action"`
	UID     string  `json:"uid,omitempty"`
	Lane    string  `json:"lane,omitempty"`
	Content *string `json:"content,omitempty"`
	Pos     *uint64 `json:"pos,omitempty"`
	Echo    string  `json:"echo,omitempty"`
}

// notice is a message from the runtime.
type notice struct {
	Action  string        `json:"action"`
	Pos     uint64        `json:"pos"`
	UID     string        `json:"uid"`
	Code    string        `json:"code"`
	WallMS  float64       `json:"wall_ms"`
	Content string        `json:"content"`
	Echo    string        `json:"echo"`
	Meters  []json.Number `json:"meters"`
}

// job is a run that was asked for and has not ended. What a link that broke may have swallowed is sent again
// from here. A start can be repeated at any time: the runtime does nothing for a run that is on and calls one that is
// over moot. A reply could meet the run's next call, so it is only repeated if it may have been lost.
type job struct {
	start   []byte    // until anything is heard of the run
	reply   []byte    // the last answer to a call, likewise
	sent    time.Time // when the last of them was handed to a link
	written uint64    // that link; 0: it still stands in the queue
	ack     uint64    // the gauges whose coming shows that it was taken
	link    uint64    // the link on which it was asked for or last heard of
}

// queued is a command that no link has taken yet.
type queued struct {
	line []byte
	job  *job // the run that it starts or replies to; nil for any other command
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
	jobs    map[string]*job
	pos     uint64 // the last notice that was read
	conn    net.Conn
	synced  bool
	resent  bool // what the last break may have swallowed was sent again on this link
	leaving bool // the address has changed: this link ends once the runtime has taken all that was written
	whole   bool // the last link ended so: it swallowed nothing
	closed  bool
	tag     uint64    // of the gauges asked for last
	taken   uint64    // and of those that came last
	broke   time.Time // when the last link ended
	links   uint64    // made so far
	gap     bool      // notices of before this link are lost: the runtime keeps the last 4,000 only
	spoilt  bool      // the last link ended at a notice that could not be read, the one after pos
}

// Echoes that show how far the other end is.
const (
	barrier  = "resumed" // all notices up to the resumption have been read
	handOver = "moved"   // all commands written before the move have been taken
	alive    = "alive"   // the other end is there: nothing else was heard of it for a while
)

// Errors that end a link.
var (
	errMoved  = errors.New("its work goes on at another address")
	errSilent = errors.New("nothing came from the runtime, though it was asked")
	errLong   = errors.New("a notice that does not end")
)

// New returns a link that does nothing until Serve.
func New(o Options) *Link {
	l := &Link{opts: o, address: o.Address, moved: make(chan struct{}, 1), log: lograte.New(o.Log, o.Limits.LogEvery), jobs: map[string]*job{}}
	l.cond = sync.NewCond(&l.mu)
	return l
}

func encode(c command) []byte {
	line, err := json.Marshal(c)
	if err != nil { // strings and numbers always marshal
		panic(err)
	}
	return append(line, '\n')
}

func base(body []byte) *string {
	s := base64.StdEncoding.EncodeToString(body)
	return &s
}

// send queues a command, of a run where j is not nil; the caller holds mu.
func (l *Link) send(c command, j *job) []byte {
	line := encode(c)
	if j != nil {
		j.written = 0
	}
	l.queue = append(l.queue, queued{line, j})
	l.cond.Broadcast()
	return line
}

// handed takes all that is queued for the link that is up; the caller holds mu, and writes it or puts it back.
func (l *Link) handed() []queued {
	now := time.Now()
	lines := l.queue
	l.queue = nil
	for _, q := range lines {
		if q.job != nil {
			q.job.written, q.job.sent = l.links, now
		}
	}
	return lines
}

// Start asks for a run.
func (l *Link) Start(id, class string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := &job{link: l.links}
	j.start = l.send(command{Action: "start", UID: id, Lane: class, Content: base(body)}, j)
	l.jobs[id] = j
}

// Stop pauses a run, or ends one whose request is over. Without a link it is left out: the module asks again, and
// a queue of what it asks for would grow for as long as the runtime is away.
func (l *Link) Stop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.send(command{Action: "stop", UID: id}, nil)
	}
}

// Continue goes on with a paused run.
func (l *Link) Continue(id string) { l.simple(command{Action: "cont", UID: id}) }

// Give hands over the reply to the call that a run waits for.
func (l *Link) Give(id string, reply []byte) {
	l.answerCall(id, command{Action: "give", UID: id, Content: base(reply)})
}

// Omit lets a run go on without the call that the notice at pos asked for.
func (l *Link) Omit(id string, pos uint64) {
	l.answerCall(id, command{Action: "omit", UID: id, Pos: &pos})
}

func (l *Link) simple(c command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.send(c, nil)
}

func (l *Link) answerCall(id string, c command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	line := l.send(c, j)
	if j != nil {
		j.reply, j.start, j.ack = line, nil, l.tag+1
	}
}

// Ask requests the gauges. While there is no link nothing is asked, as nothing could answer.
func (l *Link) Ask() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.synced {
		l.tag++
		l.send(command{Action: "gauges", Echo: strconv.FormatUint(l.tag, 10)}, nil)
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
		l.send(command{Action: "gauges", Echo: handOver}, nil)
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

// unheardMost bounds how many runs a log line names.
const unheardMost = 8

// unheard names runs whose start or reply was written, and of which nothing was heard since.
func (l *Link) unheard() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, j := range l.jobs {
		if j.written > 0 && (j.start != nil || j.reply != nil) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), unheardMost)]
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
	l.conn, l.synced, l.broke = nil, false, time.Now()
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

// putBack queues again what a link that broke after n bytes can't have taken: the lines not written whole. The
// others may have been carried out.
func (l *Link) putBack(lines []queued, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, q := range lines {
		if n -= len(q.line); n < 0 {
			for _, q := range lines[i:] {
				if q.job != nil {
					q.job.written = 0
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

// read takes notices until the link breaks or the other end is silent: from an end that is up, something must come
// within Limits.LinkSilence after it was asked. One that is on its way up may take its time, but is dialled anew after
// Limits.LinkReady, as the link may be to one that is gone.
func (l *Link) read(conn net.Conn) error {
	in := bufio.NewReaderSize(conn, 8<<10)
	var line []byte
	asked, long := false, false
	for {
		l.mu.Lock()
		up := l.synced || l.leaving
		l.mu.Unlock()
		patience := l.opts.Limits.LinkReady
		if up {
			patience = l.opts.Limits.LinkSilence
		}
		if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
			return err
		}
		part, err := in.ReadSlice('\n')
		if line = append(line, part...); len(line) > l.opts.Limits.NoticeLine {
			line, long = line[:0], true
		}
		if len(part) > 0 {
			asked = false
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && up && !asked:
			asked = len(part) == 0
			l.simple(command{Action: "gauges", Echo: alive})
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			return errSilent
		case err != nil:
			return err
		}
		if long {
			err = errLong
		} else {
			err = l.take(line)
		}
		if err != nil && (errors.Is(err, errMoved) || !l.passOver(err)) {
			return err
		}
		line, long = line[:0], false
	}
}

// passOver says whether a notice that can't be read is left out. The first time it is not: it is asked for again on
// another link, since it may have been spoilt on the way. If it comes so again, no link would ever get past it.
func (l *Link) passOver(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.spoilt {
		l.spoilt = true
		return false
	}
	l.log.Warn("a notice that can't be read, twice, is left out", err)
	return true
}

// take handles one notice. An error costs the link, which is then resumed.
func (l *Link) take(line []byte) error {
	var m notice
	var odd *json.UnmarshalTypeError
	if err := json.Unmarshal(line, &m); err != nil && !(errors.As(err, &odd) && m.Action == "info") {
		return err // a remark has no meaning, so it may have any form
	}
	var body []byte
	if m.Action == "wants" {
		var err error
		if body, err = base64.StdEncoding.DecodeString(m.Content); err != nil {
			return err // not taken: it is asked for again
		}
	}
	if m.Pos > 0 && !l.advance(m.Pos) {
		return nil // read already, on an earlier link
	}
	switch m.Action {
	case "ready":
		l.ready(m)
	case "end":
		l.end(m)
	case "wants":
		l.heard(m.UID)
		l.events.Wants(m.UID, m.Pos, body)
	case "load":
		switch m.Echo {
		case barrier:
			for _, id := range l.resend() {
				l.events.Ended(id, logic.Failed, 0, nil)
			}
			return nil
		case handOver:
			return errMoved
		case alive:
			return nil
		}
		l.took(m.Echo)
		l.opts.Gauges(l.gauges(m.Meters))
	case "nack":
		l.log.Warn("the runtime did not carry out a command", fmt.Errorf("%s %s", m.Code, m.UID))
		if m.Code == "start" {
			l.over(m.UID)
			l.events.Ended(m.UID, logic.Moot, 0, nil)
		}
	}
	return nil
}

// advance notes that a notice was read; a notice that came twice is not.
func (l *Link) advance(pos uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pos <= l.pos {
		return false
	}
	if l.pos > 0 && pos > l.pos+1 && !l.gap {
		l.gap = true
		l.log.Warn("the runtime no longer had all notices", fmt.Errorf("%d after %d", pos, l.pos))
	}
	l.pos, l.spoilt = pos, false
	return true
}

// ready opens the link for commands. On a resumed link the barrier comes first: once it is echoed, all that
// happened meanwhile has been read.
func (l *Link) ready(m notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Log.Info("runtime ready", "state", m.Code, "up_ms", m.WallMS, "link", l.links, "read_to", l.pos)
	l.synced, l.resent = true, false
	if len(l.jobs) > 0 && !l.whole {
		l.queue = append([]queued{{line: encode(command{Action: "gauges", Echo: barrier})}}, l.queue...)
	}
	l.cond.Broadcast()
}

// took notes that all commands before these gauges were taken.
func (l *Link) took(echo string) {
	if tag, err := strconv.ParseUint(echo, 10, 64); err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.taken = max(l.taken, tag)
	}
}

// resend repeats what a broken link may have swallowed of runs that have shown no sign of life since. What no link had
// taken yet as the last one broke is not among it: it has gone out on this one, and a second reply could meet the run's
// next call. It returns those that may have ended in a notice that is lost: to start them again could run them twice, to
// wait would be for nothing.
func (l *Link) resend() (lost []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resent { // a second reply could meet the run's next call
		return nil
	}
	l.resent = true
	for id, j := range l.jobs {
		switch {
		case l.gap && j.link < l.links:
			delete(l.jobs, id)
			lost = append(lost, id)
		case j.written == 0 || j.written == l.links: // in the queue, or written on this link
		case j.start != nil:
			l.opts.Log.Info("a start is sent again", "request", id, "on", j.written, "link", l.links, "after", time.Since(j.sent), "read_to", l.pos)
			l.queue = append(l.queue, queued{j.start, j})
		case j.reply != nil && (j.ack > l.taken || l.broke.Sub(j.sent) < l.opts.Limits.Swallowed):
			l.opts.Log.Info("a reply is sent again", "request", id, "on", j.written, "link", l.links, "after", time.Since(j.sent), "read_to", l.pos)
			l.queue = append(l.queue, queued{j.reply, j})
		}
	}
	l.cond.Broadcast()
	slices.Sort(lost)
	return lost
}

// heard notes a sign of life of a run.
func (l *Link) heard(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if j := l.jobs[id]; j != nil {
		j.start, j.reply, j.link = nil, nil, l.links
	}
}

func (l *Link) over(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.jobs, id)
}

var ends = map[string]gate.Outcome{"OK": logic.OK, "ERROR": logic.Failed, "STOPPED": logic.Cancelled, "MOOT": logic.Moot}

func (l *Link) end(m notice) {
	l.over(m.UID)
	o, known := ends[m.Code]
	result, err := base64.StdEncoding.DecodeString(m.Content)
	if !known || err != nil || len(result) > l.opts.Limits.Result {
		l.log.Warn("a run ended in a way not understood", fmt.Errorf("%s %s: %w", m.Code, m.UID, err))
		o, result = logic.Failed, nil
	}
	l.events.Ended(m.UID, o, time.Duration(m.WallMS*float64(time.Millisecond)), result)
}

func (l *Link) gauges(values []json.Number) gate.Gauges {
	g := gate.Gauges{CoreUse: -1, RunQueue: -1, MemoryShare: -1, Connections: -1}
	for i, name := range l.opts.Meters {
		if i >= len(values) {
			break
		}
		v, err := values[i].Float64()
		if err != nil {
			continue
		}
		switch name {
		case "core_use":
			g.CoreUse = v
		case "on_cores":
			g.RunQueue = v
		case "heap_share":
			g.MemoryShare = v
		case "links":
			g.Connections = v
		}
	}
	return g
}
