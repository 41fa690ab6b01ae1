package catalogue

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// proxyConn is one connection to the proxy. The client's mutex guards it.
type proxyConn struct {
	client       *Client
	address      string
	socket       net.Conn // nil until it is open
	calls        map[string]*call
	queue        []*call // not handed to the socket yet
	pendingQuits []byte
	lastRequest  string // the request whose call ended last here
	lastUsed     time.Time
	writing      bool
	closed       bool
}

// enqueue queues a call; the caller holds mu.
func (l *proxyConn) enqueue(k *call) {
	l.calls[k.id] = k
	l.queue = append(l.queue, k)
	l.startWriter()
}

// cancel tells the proxy that nobody waits for a call; the caller holds mu.
func (l *proxyConn) cancel(k *call) {
	if k.sent {
		l.pendingQuits = fmt.Appendf(l.pendingQuits, "QUIT %s\r\n", k.id)
		l.startWriter()
		return
	}
	for i, q := range l.queue {
		if q == k {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return
		}
	}
}

// startWriter sees to it that somebody writes what is queued, once there is a connection; the caller holds mu.
func (l *proxyConn) startWriter() {
	if l.socket != nil && !l.writing && !l.closed {
		l.writing = true
		go l.writeLoop()
	}
}

func (l *proxyConn) dial() {
	c := l.client
	conn, err := dial(l.address, c.limits)
	c.mu.Lock()
	if err != nil {
		lost := c.closeConn(l) // nothing was sent: each call is known not to have run
		c.mu.Unlock()
		c.log.Warn("no connection to the catalogue", err)
		failCalls(lost)
		return
	}
	if l.socket = conn; l.closed {
		conn.Close()
	}
	l.startWriter()
	c.mu.Unlock()
	l.readLoop(conn)
}

func (l *proxyConn) writeLoop() {
	c := l.client
	for {
		c.mu.Lock()
		if l.closed || len(l.queue) == 0 && len(l.pendingQuits) == 0 {
			l.writing = false
			c.mu.Unlock()
			return
		}
		batch := l.pendingQuits
		l.pendingQuits = nil
		for _, k := range l.queue {
			k.sent = true
			batch = append(batch, k.encoded...)
			k.encoded = nil
		}
		l.queue = nil
		c.mu.Unlock()
		err := l.socket.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
		if err == nil {
			_, err = l.socket.Write(batch)
		}
		if err != nil {
			l.socket.Close() // the reader notices
		}
	}
}

// readLoop takes replies until the connection ends or brings something that is no reply: after that nothing on it can be
// told apart.
func (l *proxyConn) readLoop(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 4<<10)
	var err error
	for err == nil {
		err = l.handleReply(conn, in)
	}
	c := l.client
	c.mu.Lock()
	idle := time.Since(l.lastUsed)
	lost := c.closeConn(l)
	c.mu.Unlock()
	if len(lost) > 0 {
		c.log.Warn("a connection to the catalogue broke during a call", fmt.Errorf("%d calls, used %v ago: %w", len(lost), idle, err))
	}
	failCalls(lost)
}

// handleReply reads one reply and ends its call. Once begun it must come whole within a short time; one for a call that is
// not in hand here, a second copy or one given up meanwhile, is passed over.
func (l *proxyConn) handleReply(conn net.Conn, in *bufio.Reader) error {
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if _, err := in.Peek(1); err != nil {
		return err
	}
	c := l.client
	if err := conn.SetReadDeadline(time.Now().Add(c.limits.ReplyTimeout)); err != nil {
		return err
	}
	id, o, data, err := readReply(in, c.limits.ResultBytes)
	if err != nil {
		return err
	}
	c.mu.Lock()
	k := l.calls[id]
	if k == nil || !k.sent {
		c.mu.Unlock()
		return nil
	}
	c.remove(k)
	c.mu.Unlock()
	k.finish(o, data)
	return nil
}

// readReply reads a reply whole: its line, and the data that follow an OK.
func readReply(in *bufio.Reader, most int) (id string, o admission.Outcome, data []byte, err error) {
	text, err := in.ReadSlice('\n') // a line that does not end fills the buffer, which is an error
	if err != nil {
		return "", 0, nil, err
	}
	id, o, length, err := parseReply(string(text), most)
	if err != nil || o != logic.OutcomeOK {
		return id, o, nil, err
	}
	data = make([]byte, length+2)
	if _, err := io.ReadFull(in, data); err != nil {
		return "", 0, nil, err
	}
	if data[length] != '\r' || data[length+1] != '\n' {
		return "", 0, nil, errors.New("data that do not end in CR LF")
	}
	return id, o, data[:length], nil
}
