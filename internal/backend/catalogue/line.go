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

// line is one connection to the proxy. The client's mutex guards it.
type line struct {
	client  *Client
	address string
	net     net.Conn // nil until it is open
	calls   map[string]*call
	queue   []*call // not handed to the socket yet
	quits   []byte
	last    string // the request whose call ended last here
	used    time.Time
	writing bool
	closed  bool
}

// take queues a call; the caller holds mu.
func (l *line) take(k *call) {
	l.calls[k.id] = k
	l.queue = append(l.queue, k)
	l.wake()
}

// quit tells the proxy that nobody waits for a call; the caller holds mu.
func (l *line) quit(k *call) {
	if k.sent {
		l.quits = fmt.Appendf(l.quits, "QUIT %s\r\n", k.id)
		l.wake()
		return
	}
	for i, q := range l.queue {
		if q == k {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return
		}
	}
}

// wake sees to it that somebody writes what is queued, once there is a connection; the caller holds mu.
func (l *line) wake() {
	if l.net != nil && !l.writing && !l.closed {
		l.writing = true
		go l.write()
	}
}

func (l *line) dial() {
	c := l.client
	conn, err := dial(l.address, c.limits)
	c.mu.Lock()
	if err != nil {
		lost := c.close(l) // nothing was sent: each call is known not to have run
		c.mu.Unlock()
		c.log.Warn("no connection to the catalogue", err)
		finishLost(lost)
		return
	}
	if l.net = conn; l.closed {
		conn.Close()
	}
	l.wake()
	c.mu.Unlock()
	l.read(conn)
}

func (l *line) write() {
	c := l.client
	for {
		c.mu.Lock()
		if l.closed || len(l.queue) == 0 && len(l.quits) == 0 {
			l.writing = false
			c.mu.Unlock()
			return
		}
		batch := l.quits
		l.quits = nil
		for _, k := range l.queue {
			k.sent = true
			batch = append(batch, k.text...)
			k.text = nil
		}
		l.queue = nil
		c.mu.Unlock()
		err := l.net.SetWriteDeadline(time.Now().Add(c.limits.Write))
		if err == nil {
			_, err = l.net.Write(batch)
		}
		if err != nil {
			l.net.Close() // the reader notices
		}
	}
}

// read takes replies until the connection ends or brings something that is no reply: after that nothing on it can be
// told apart.
func (l *line) read(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 4<<10)
	var err error
	for err == nil {
		err = l.reply(conn, in)
	}
	c := l.client
	c.mu.Lock()
	idle := time.Since(l.used)
	lost := c.close(l)
	c.mu.Unlock()
	if len(lost) > 0 {
		c.log.Warn("a connection to the catalogue broke during a call", fmt.Errorf("%d calls, used %v ago: %w", len(lost), idle, err))
	}
	finishLost(lost)
}

// reply reads one reply and ends its call. Once begun it must come whole within a short time; one for a call that is
// not in hand here, a second copy or one given up meanwhile, is passed over.
func (l *line) reply(conn net.Conn, in *bufio.Reader) error {
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if _, err := in.Peek(1); err != nil {
		return err
	}
	c := l.client
	if err := conn.SetReadDeadline(time.Now().Add(c.limits.ReplyRest)); err != nil {
		return err
	}
	id, o, data, err := readReply(in, c.limits.Result)
	if err != nil {
		return err
	}
	c.mu.Lock()
	k := l.calls[id]
	if k == nil || !k.sent {
		c.mu.Unlock()
		return nil
	}
	c.over(k)
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
	if err != nil || o != logic.OK {
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
