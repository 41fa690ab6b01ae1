package soak

import (
	"io"
	"net"
	"strconv"
	"sync"
)

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	number  int
	writing sync.Mutex // held while a message is written, since a slow client writes a message in pieces
	sent    int        // bytes written so far; guarded by writing

	mu       sync.Mutex
	tag      int
	inFlight map[string]*request
	draining bool // the node sent FIN: no more requests are to be written
	closed   bool // closed by the client
	ended    bool
}

// send writes a message or a piece of one, and returns how many bytes were written on the connection by then. The caller holds writing.
func (k *clientConn) send(text string) (sent int, err error) {
	n, err := io.WriteString(k, text)
	k.sent += n
	return k.sent, err
}

// usable reports whether another request may be written.
func (k *clientConn) usable(h behavior) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.ended && !k.closed && len(k.inFlight) < 32 && (!k.draining || h == ignoringClose || h == idling)
}

// register adds a request to those in flight and returns its tag. It returns false if the connection has ended: nobody would learn of
// that request's end.
func (k *clientConn) register(q *request) (tag string, open bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		return "", false
	}
	k.tag++
	tag = strconv.Itoa(k.tag)
	k.inFlight[tag] = q
	return tag, true
}

// forget removes a request from those in flight. It returns false if the request is not in flight.
func (k *clientConn) forget(tag string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, there := k.inFlight[tag]
	delete(k.inFlight, tag)
	return there
}

// closeWhenDone stops the use of a connection, and closes it once all its requests are answered.
func (k *clientConn) closeWhenDone() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.draining = true
	if len(k.inFlight) == 0 {
		k.closed = true
		k.Close()
	}
}

// closeIfOpen closes a client's connection, if there is one, once all its requests are answered.
func (k *clientConn) closeIfOpen() {
	if k != nil {
		k.closeWhenDone()
	}
}
