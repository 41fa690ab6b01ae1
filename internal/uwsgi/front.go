package uwsgi

import (
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"sloehitch/internal/limits"
	"sloehitch/internal/lograte"
	"sloehitch/internal/node"
	"sloehitch/internal/seats"
)

// Core is what the front asks of the node.
type Core interface {
	Submit(q node.Request, reply func(node.Answer))
	Gone(id string)
}

// Mapper finds out what a request is. It fills class, tenant, key and expectations, or says with which status it
// is turned away unread by the core.
type Mapper interface {
	Map(vars map[string]string, q *node.Request) (status int)
}

// Options are what a front is made of.
type Options struct {
	Core   Core
	Mapper Mapper
	Runner node.Runner
	Limits limits.Limits
	Log    *slog.Logger
}

// Counts are totals since the start.
type Counts struct{ Read, Malformed, Oversize, Slow, Left, Crowded int }

// Front serves uwsgi clients: one request on each connection.
type Front struct {
	opts   Options
	log    *lograte.Logger
	prefix string
	seats  *seats.Table

	mu     sync.Mutex
	next   uint64
	counts Counts
	wg     sync.WaitGroup
}

// New returns a front that serves nothing yet.
func New(o Options) *Front {
	return &Front{opts: o, log: lograte.New(o.Log, o.Limits.LogEvery),
		seats: seats.New(o.Limits.UwsgiConns, o.Limits.Newcomer, o.Limits.Quiet), prefix: "uwsgi-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-"}
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
			time.Sleep(f.opts.Limits.RetryLeast)
			continue
		}
		seat := f.seats.Take(func() { c.Close() }) // of a caller whose request is not whole: nothing is owed
		if seat == nil {
			c.Close()
			f.count(func(n *Counts) { n.Crowded++ })
			continue
		}
		f.wg.Add(1)
		go f.serve(c, seat)
	}
}

// Totals are the counts so far.
func (f *Front) Totals() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Open is the number of open connections.
func (f *Front) Open() int { return f.seats.Len() }

func (f *Front) count(add func(c *Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add(&f.counts)
}

// serve reads one request, has it answered and closes the connection.
func (f *Front) serve(c net.Conn, seat *seats.Seat) {
	defer f.wg.Done()
	defer func() {
		c.Close()
		seat.Leave()
	}()
	if err := c.SetReadDeadline(time.Now().Add(f.opts.Limits.Message)); err != nil {
		return
	}
	p, err := readPacket(c, f.opts.Limits)
	if err != nil {
		f.refuseInput(c, err)
		return
	}
	if !seat.Set(seats.Busy) {
		return
	}
	f.count(func(n *Counts) { n.Read++ })
	q := node.Request{Body: p.raw, Content: p.body, Runner: f.opts.Runner, Arrived: time.Now().Round(0), Source: source(c), Tenant: -1}
	if status := f.opts.Mapper.Map(p.vars, &q); status != 0 {
		f.write(c, response(status, 0))
		return
	}
	f.mu.Lock()
	f.next++
	q.ID = f.prefix + strconv.FormatUint(f.next, 10)
	f.mu.Unlock()
	answers := make(chan node.Answer, 1)
	left := make(chan struct{})
	f.opts.Core.Submit(q, func(a node.Answer) { answers <- a })
	go watch(c, left)
	select {
	case a := <-answers:
		f.write(c, render(a))
	case <-left:
		f.opts.Core.Gone(q.ID)
		f.count(func(n *Counts) { n.Left++ })
		select { // the answer may just have been made
		case a := <-answers:
			f.write(c, render(a))
		default:
		}
	}
}

// watch closes left once the caller has gone. Bytes after a request have no meaning and are read away.
func watch(c net.Conn, left chan struct{}) {
	defer close(left)
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	rest := make([]byte, 256)
	for {
		if _, err := c.Read(rest); err != nil {
			return
		}
	}
}

// refuseInput answers what could not be read as a request, counts it and logs it at a sane rate.
func (f *Front) refuseInput(c net.Conn, err error) {
	status := 0
	f.count(func(n *Counts) {
		switch {
		case errors.Is(err, errMalformed):
			status = http.StatusBadRequest
			n.Malformed++
		case errors.Is(err, errOversize):
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
}

func (f *Front) write(c net.Conn, b []byte) {
	if err := c.SetWriteDeadline(time.Now().Add(f.opts.Limits.Write)); err != nil {
		return
	}
	if _, err := c.Write(b); err != nil {
		f.opts.Log.Debug("uwsgi answer not written", "error", err)
	}
}

// Wait waits until all connections have been answered and closed.
func (f *Front) Wait() { f.wg.Wait() }

// source numbers a caller by its host.
func source(c net.Conn) int {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(host))
	return int(h.Sum32() >> 1)
}

// render turns an answer into the bytes of a response.
func render(a node.Answer) []byte {
	switch {
	case a.Kind == node.Served:
		return a.Result
	case a.Kind == node.Refused:
		return response(http.StatusServiceUnavailable, a.Holdoff)
	case a.Taken:
		return response(http.StatusUnprocessableEntity, 0)
	case a.Late:
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
