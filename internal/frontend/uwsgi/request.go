package uwsgi

import (
	"net"
	"sync"
	"time"
)

// clientRequest is a request that the front passes to the pool. The front initializes it and waits for the node's response; the
// pool reads the body from it, and may write the response to the client.
type clientRequest struct {
	head          []byte // the packet's header and variables, as received
	headOnly      bool   // the method is HEAD, so the response has no body
	streamable    bool   // the response need not be buffered
	deadline      time.Time
	body          *bodyReader
	client        net.Conn
	beginResponse func() bool // asks the node whether sending the response to the client may begin
	mayRunAgain   func() bool // asks the node whether the request may be sent to a server although one may have run it

	mu              sync.Mutex
	responseStarted bool
	runTimes        RunTimes // set when the run has ended
}

func (r *clientRequest) setRunTimes(t RunTimes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runTimes = t
}

func (r *clientRequest) getRunTimes() RunTimes {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runTimes
}

// startResponse asks the node for permission to send the response to the client, and reports whether it was given.
func (r *clientRequest) startResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responseStarted = r.responseStarted || r.beginResponse()
	return r.responseStarted
}

// hasStartedResponse reports whether part of the response may have been sent to the client. The result no longer changes once the
// node has answered the request.
func (r *clientRequest) hasStartedResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responseStarted
}

// clientLeft reports whether nobody waits for the response any more: the client has failed, or was answered.
func (r *clientRequest) clientLeft() bool { return isClosed(r.body.ended) }
