package node

import "time"

// Status is how a request was answered.
type Status int

// The statuses of a response. A rejection promises that the attempt never ran, so that it may be sent elsewhere.
const (
	StatusServed   Status = iota // with the result of its own run, or of the run of its key
	StatusRejected               // it never ran
	StatusFailed                 // nothing is promised
)

// Response is the one final response to a request.
type Response struct {
	Status           Status
	Result           []byte
	RetryAfter       time.Duration // StatusRejected: how long to stay away; 0: not said
	NoFailover       bool          // StatusRejected: no other node would accept it either
	DeadlineExceeded bool          // StatusFailed: its deadline has come
	KeyReused        bool          // StatusFailed: its key belongs to a request of another content
	ResponseStarted  bool          // part of the result is with the caller: only its end is left to report
}

// respond gives a request its final response. Nothing else does. The rules:
//
//   - Only the first response counts.
//   - A rejection says that the request never ran. It becomes a failure where its key may have run, where a request that
//     is not idempotent was handed to its runner, and once part of the response is with the caller.
func (n *Node) respond(r *request, response Response) {
	if r.settled {
		return
	}
	if response.Status == StatusRejected && (n.keyMayHaveRun(r) || n.mayHaveRun(r)) {
		response = Response{Status: StatusFailed}
	}
	if r.responseStarted {
		if response.ResponseStarted = true; response.Status == StatusRejected {
			response = Response{Status: StatusFailed, ResponseStarted: true}
		}
	}
	r.settled = true
	switch response.Status {
	case StatusServed:
		n.counts.Served++
		n.countsOf(r).Served++
		if n.opts.ObserveLatency != nil {
			n.opts.ObserveLatency(n.opts.Clock.Now().Sub(r.ArrivedAt))
		}
	case StatusRejected:
		n.counts.Rejected++
		n.countsOf(r).Rejected++
	case StatusFailed:
		n.counts.Failed++
		n.countsOf(r).Failed++
		response.DeadlineExceeded = n.opts.Clock.Now().After(r.deadline.Add(-n.guardDelay()))
	}
	n.trace("answered", r, "status", response.Status, "time_left", r.deadline.Sub(n.opts.Clock.Now()))
	r.reply(response)
	n.markAnswered(r)
}

// markAnswered takes a request off those that are owed a response.
func (n *Node) markAnswered(r *request) {
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	n.unanswered--
}

// BeginResponse says that the front end is about to pass on the first part of a run's response before the run has
// ended. It returns false if nothing of it may be passed on: the request is answered or does not run, or its response
// is to be stored for retries of its key. After it the request's final response, which comes by its deadline as
// always, says only how the response ends.
func (n *Node) BeginResponse(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.settled || r.stage != stageRunning || r.IdempotencyKey != "" {
		return false
	}
	r.responseStarted = true
	return true
}

// RejectionStatus returns the status with which a front end is to answer a request of the named class and key (empty:
// none) that it can't submit: StatusFailed if a request of that key may have run, StatusRejected otherwise.
func (n *Node) RejectionStatus(class, key string) Status {
	if key == "" {
		return StatusRejected
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.keys.entries[key]; e != nil && e.started && e.inWindow(n.opts.Clock.Now(), n.keys.slack) {
		return StatusFailed
	}
	if s, ok := n.opts.Journal.(SharedJournal); ok {
		if _, held := s.Lookup(RunRecord{Class: class, Key: key}); held {
			return StatusFailed
		}
	}
	return StatusRejected
}

// Unanswered is the number of requests that are owed a response.
func (n *Node) Unanswered() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unanswered
}
