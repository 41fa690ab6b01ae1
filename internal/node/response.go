package node

import "time"

// Status says how a request was answered.
type Status int

// The statuses of a response. A rejection promises that the attempt never ran, so that it may be sent to another node.
const (
	StatusServed   Status = iota // answered with the result of its own run, or of its key's run
	StatusRejected               // never ran
	StatusFailed                 // may have run
)

// Response is the one final response to a request.
type Response struct {
	Status           Status
	Result           []byte
	RetryAfter       time.Duration // StatusRejected: how long to wait before a retry; 0: unspecified
	NoFailover       bool          // StatusRejected: no other node would accept the request either
	DeadlineExceeded bool          // StatusFailed: the deadline has passed
	KeyReused        bool          // StatusFailed: the key belongs to a request with different content
	ResponseStarted  bool          // part of the result was passed to the caller: only its end remains to be reported
}

// respond sends the final response to a request. It is the only function that does:
//
//   - Any response after the first is dropped.
//   - A rejection promises that the request never ran. It is turned into a failure if the request's key may have run, if
//     the request is not idempotent and was passed to its runner, or if part of the response was passed to the caller.
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

// markAnswered stops the deadline timer of a request and no longer counts it as unanswered.
func (n *Node) markAnswered(r *request) {
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	n.unanswered--
}

// BeginResponse reports that the front end is about to pass on the first part of a run's response before the run has
// ended. It returns false if no part may be passed on: the request is answered or does not run, or its response is to
// be stored for retries of its key. Afterwards, the request's final response, which still comes by its deadline, says
// only how the response ends.
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

// RejectionStatus returns the status with which a front end must answer a request of the given class and key (empty:
// none) that it can't submit: StatusFailed if a request with that key may have run, StatusRejected otherwise.
func (n *Node) RejectionStatus(class, key string) Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rejectionStatus(class, key)
}

// RejectionStatusOf is RejectionStatus for a front end that knows its requests' classes by their indices.
func (n *Node) RejectionStatusOf(q *Request) Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rejectionStatus(n.opts.Settings.Classes[q.Class].Name, q.IdempotencyKey)
}

// rejectionStatus implements RejectionStatus; the caller holds mu.
func (n *Node) rejectionStatus(class, key string) Status {
	if key == "" {
		return StatusRejected
	}
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

// Unanswered returns the number of requests without a final response.
func (n *Node) Unanswered() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unanswered
}
