package catalogue

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// conn is one connection to the catalogue. The client's mutex guards it.
type conn struct {
	client         *Client
	address        string
	socket         net.Conn // nil until it is open
	calls          map[string]*call
	queue          []*call // not handed to the socket yet
	pendingCancels []byte  // encoded cancellations, not written yet
	lastRequest    string  // the request whose call ended last here
	lastUsed       time.Time
	writing        bool
	closed         bool
}

// enqueue queues a call; the caller holds mu.
func (p *conn) enqueue(k *call) {
	p.calls[k.id] = k
	p.queue = append(p.queue, k)
	p.startWriter()
}

// cancel tells the catalogue that nobody waits for a call, if that was sent; the caller holds mu.
func (p *conn) cancel(k *call) {
	if k.sent {
		p.pendingCancels = appendCancel(p.pendingCancels, k.id)
		p.startWriter()
		return
	}
	for i, queued := range p.queue {
		if queued == k {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
}

// startWriter has the queue written, once the connection is open; the caller holds mu.
func (p *conn) startWriter() {
	if p.socket != nil && !p.writing && !p.closed {
		p.writing = true
		go p.writeLoop()
	}
}

// run opens the connection and reads replies until it ends.
func (p *conn) run() {
	c := p.client
	socket, err := net.DialTimeout("tcp", p.address, c.limits.DialTimeout)
	c.mu.Lock()
	if err != nil {
		lost := c.closeConnection(p) // nothing was sent: each call is known not to have run
		c.mu.Unlock()
		c.log.Warn("connection to the catalogue failed; its calls did not run", err)
		failCalls(lost)
		return
	}
	if p.socket = socket; p.closed {
		_ = socket.Close()
	}
	p.startWriter()
	c.mu.Unlock()
	p.readLoop(socket)
}

// writeLoop writes what is queued until nothing is left.
func (p *conn) writeLoop() {
	c := p.client
	for {
		batch := p.takeBatch()
		if batch == nil {
			return
		}
		err := p.socket.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
		if err == nil {
			_, err = p.socket.Write(batch)
		}
		if err != nil {
			_ = p.socket.Close() // the reader notices
		}
	}
}

// takeBatch returns what is queued, and marks its calls as sent; nil if nothing is, or the connection is
// closed.
func (p *conn) takeBatch() []byte {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	if p.closed || len(p.queue) == 0 && len(p.pendingCancels) == 0 {
		p.writing = false
		return nil
	}
	batch := p.pendingCancels
	p.pendingCancels = nil
	for _, k := range p.queue {
		k.sent = true
		batch = append(batch, k.encoded...)
		k.encoded = nil
	}
	p.queue = nil
	return batch
}

// readLoop takes replies until the connection ends or a malformed reply comes, after which nothing on it can
// be told apart.
func (p *conn) readLoop(socket net.Conn) {
	in := bufio.NewReaderSize(socket, 4<<10)
	var err error
	for err == nil {
		err = p.handleReply(socket, in)
	}
	c := p.client
	c.mu.Lock()
	idle := time.Since(p.lastUsed)
	lost := c.closeConnection(p)
	c.mu.Unlock()
	if len(lost) > 0 {
		c.log.Warn("connection to the catalogue ended with calls in flight; whether they ran is not known",
			fmt.Errorf("%d calls, last used %v ago: %w", len(lost), idle, err))
	}
	failCalls(lost)
}

// handleReply reads one reply and ends its call. Once begun, a reply must be complete within
// limits.ReplyTimeout. One for a call that is not in flight here is dropped: it is a second copy, or its call
// was canceled.
func (p *conn) handleReply(socket net.Conn, in *bufio.Reader) error {
	if err := socket.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if _, err := in.Peek(1); err != nil {
		return err
	}
	c := p.client
	if err := socket.SetReadDeadline(time.Now().Add(c.limits.ReplyTimeout)); err != nil {
		return err
	}
	r, err := readReply(in, c.limits.ResultBytes)
	if err != nil {
		return err
	}
	c.mu.Lock()
	k := p.calls[r.id]
	if k == nil || !k.sent {
		c.mu.Unlock()
		return nil
	}
	c.remove(k)
	c.mu.Unlock()
	k.finish(r.outcome, r.body)
	return nil
}
