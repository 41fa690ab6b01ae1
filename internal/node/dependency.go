package node

import (
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// CallRequested reports that a run waits for a call to the dependency. notice is the number of the notice that
// requested the call, body is the body of the call.
func (n *Node) CallRequested(id string, notice uint64, body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.stage != stageRunning {
		return
	}
	r.callNotice, r.callBody, r.unconfirmed = notice, body, false
	n.trace("waits for a call", r, "notice", notice)
	n.opts.Admission.Report(admission.CallRequested(r.number))
}

// startCall makes the call that a run waits for, with the given timeout, or until the request's deadline if it is 0.
func (n *Node) startCall(r *request, timeout time.Duration) {
	if r.stage != stageRunning || r.callNotice == 0 || r.callInFlight {
		return
	}
	if n.opts.Dependency == nil {
		n.opts.Admission.Report(admission.CallEnded(r.number, logic.OutcomeUnreachable, 0))
		return
	}
	if timeout <= 0 {
		timeout = max(r.deadline.Sub(n.opts.Clock.Now()), time.Millisecond)
	}
	r.callInFlight = true
	number := r.number
	once := !n.mayRunAgain(r)
	done := func(outcome admission.Outcome, elapsed time.Duration, reply []byte) {
		n.callEnded(number, outcome, elapsed, reply)
	}
	n.opts.Dependency.Call(r.ID, timeout, r.callBody, once, done)
}

// callEnded delivers a call's reply to its run and reports the outcome to admission.
func (n *Node) callEnded(number uint64, outcome admission.Outcome, elapsed time.Duration, reply []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byNumber[number]
	if r == nil || !r.callInFlight {
		return
	}
	r.callInFlight = false
	n.trace("call ended", r, "outcome", outcome, "took", elapsed)
	if outcome == logic.OutcomeOK && r.callNotice != 0 {
		r.callNotice, r.callBody = 0, nil
		r.Runner.DeliverReply(r.ID, reply)
	}
	n.opts.Admission.Report(admission.CallEnded(number, outcome, elapsed))
}

// skipCall continues a run without the call that it waits for.
func (n *Node) skipCall(r *request) {
	if r.callNotice == 0 {
		return
	}
	notice := r.callNotice
	r.callNotice, r.callBody = 0, nil
	r.Runner.SkipCall(r.ID, notice)
}
