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
	queue          []*call // not yet written to the socket
	pendingCancels []byte  // encoded cancellations that are not yet written
	lastRequest    string  // the request whose call was the last to end on this connection
	lastUsed       time.Time
	writing        bool
	closed         bool
}

// enqueue queues a call; the caller holds mu.
func (cn *conn) enqueue(k *call) {
	cn.calls[k.id] = k
	cn.queue = append(cn.queue, k)
	cn.startWriter()
}

// cancel sends a cancellation if the call was sent, and otherwise removes it from the queue; the caller holds mu.
func (cn *conn) cancel(k *call) {
	if k.sent {
		cn.pendingCancels = appendCancel(cn.pendingCancels, k.id)
		cn.startWriter()
		return
	}
	for i, queued := range cn.queue {
		if queued == k {
			cn.queue = append(cn.queue[:i], cn.queue[i+1:]...)
			return
		}
	}
}

// startWriter starts writing the queue if the connection is open; the caller holds mu.
func (cn *conn) startWriter() {
	if cn.socket != nil && !cn.writing && !cn.closed {
		cn.writing = true
		go cn.writeLoop()
	}
}

// run opens the connection, and reads replies until the connection ends.
func (cn *conn) run() {
	c := cn.client
	socket, err := net.DialTimeout("tcp", cn.address, c.limits.DialTimeout)
	c.mu.Lock()
	if err != nil {
		lost := c.closeConnection(cn) // nothing was sent, so none of its calls has run
		c.mu.Unlock()
		c.log.Warn("cannot connect to the catalogue; the connection's calls did not run", err)
		failCalls(lost)
		return
	}
	if cn.socket = socket; cn.closed {
		_ = socket.Close()
	}
	cn.startWriter()
	c.mu.Unlock()
	cn.readLoop(socket)
}

// writeLoop writes queued calls and cancellations until none is left.
func (cn *conn) writeLoop() {
	c := cn.client
	for {
		batch := cn.takeBatch()
		if batch == nil {
			return
		}
		err := cn.socket.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
		if err == nil {
			_, err = cn.socket.Write(batch)
		}
		if err != nil {
			_ = cn.socket.Close() // makes the reader fail
		}
	}
}

// takeBatch returns the queued cancellations and calls, and marks the calls as sent. It returns nil if the queue is
// empty or the connection is closed.
func (cn *conn) takeBatch() []byte {
	cn.client.mu.Lock()
	defer cn.client.mu.Unlock()
	if cn.closed || len(cn.queue) == 0 && len(cn.pendingCancels) == 0 {
		cn.writing = false
		return nil
	}
	batch := cn.pendingCancels
	cn.pendingCancels = nil
	for _, k := range cn.queue {
		k.sent = true
		batch = append(batch, k.encoded...)
		k.encoded = nil
	}
	cn.queue = nil
	return batch
}

// readLoop handles replies until the connection ends or a reply is malformed, after which the next reply can't be
// located.
func (cn *conn) readLoop(socket net.Conn) {
	in := bufio.NewReaderSize(socket, 4<<10)
	var err error
	for err == nil {
		err = cn.handleReply(socket, in)
	}
	c := cn.client
	c.mu.Lock()
	idle := time.Since(cn.lastUsed)
	lost := c.closeConnection(cn)
	c.mu.Unlock()
	if len(lost) > 0 {
		c.log.Warn("connection to the catalogue ended with calls in flight, which may have run",
			fmt.Errorf("%d calls, connection last used %v ago: %w", len(lost), idle, err))
	}
	failCalls(lost)
}

// handleReply reads one reply and ends its call. The reply must be complete within limits.ReplyTimeout after its
// first byte. A reply to a call that is not in flight on this connection is dropped: it is a second copy, or its
// call was canceled.
func (cn *conn) handleReply(socket net.Conn, in *bufio.Reader) error {
	if err := socket.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if _, err := in.Peek(1); err != nil {
		return err
	}
	c := cn.client
	if err := socket.SetReadDeadline(time.Now().Add(c.limits.ReplyTimeout)); err != nil {
		return err
	}
	r, err := readReply(in, c.limits.ResultBytes)
	if err != nil {
		return err
	}
	c.mu.Lock()
	k := cn.calls[r.id]
	if k == nil || !k.sent {
		c.mu.Unlock()
		return nil
	}
	c.remove(k)
	c.mu.Unlock()
	k.finish(r.outcome, r.body)
	return nil
}
