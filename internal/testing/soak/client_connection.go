package soak

import (
	"net"
	"strconv"
	"sync"
)

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	number  int
	writing sync.Mutex // held while a message is written: a slow client's comes in pieces

	mu       sync.Mutex
	tag      int
	inFlight map[string]*request
	draining bool // it is not to be used any more: the node said FIN
	closed   bool // by this side
	ended    bool
}

// usable reports whether another request may be written.
func (k *clientConn) usable(h behavior) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.ended && !k.closed && len(k.inFlight) < 32 && (!k.draining || h == stubborn || h == resting)
}

func (k *clientConn) register(q *request) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tag++
	tag := strconv.Itoa(k.tag)
	k.inFlight[tag] = q
	return tag
}

// forget takes a request off the connection. It returns false where it is not open.
func (k *clientConn) forget(tag string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, there := k.inFlight[tag]
	delete(k.inFlight, tag)
	return there
}

// closeWhenDone closes a connection that is not used any more, once all on it is answered.
func (k *clientConn) closeWhenDone() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.draining = true
	if len(k.inFlight) == 0 {
		k.closed = true
		k.Close()
	}
}

// closeIfOpen closes a client's connection once all on it is answered.
func (k *clientConn) closeIfOpen() {
	if k != nil {
		k.closeWhenDone()
	}
}
