package uwsgi

import (
	"net"
	"sync"
	"time"
)

// clientRequest is a request between the front that read it and the pool that sends it to a server. The front fills it in, hands
// it over and waits for the node's response; the pool reads the body out of it and may write the response to the client.
type clientRequest struct {
	head          []byte // the packet's header and variables, as they came
	headOnly      bool   // HEAD: the response has no body
	idempotent    bool
	streamable    bool // its response need not be buffered
	deadline      time.Time
	body          *bodyReader
	client        net.Conn
	beginResponse func() bool // asks the node whether the response may be sent to the client now

	mu              sync.Mutex
	responseStarted bool
	runTimes        RunTimes // once the run has ended
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

// startResponse says whether the response may be sent to the client from now on.
func (r *clientRequest) startResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responseStarted = r.responseStarted || r.beginResponse()
	return r.responseStarted
}

// hasStartedResponse says whether part of the response may have been sent to the client. Once the node has answered the request,
// that can't change.
func (r *clientRequest) hasStartedResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responseStarted
}
