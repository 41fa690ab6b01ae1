package node

import (
	"fmt"
	"time"

	"sloehitch/internal/admission"
)

// The deadline guard answers each request that admission and its run have not answered by the deadline:
//
//	guard = deadline + limits.DeadlineGuardShare * settings.ResponseGrace
//
// deadline is the earlier of the class's and the caller's timeout, counted from the arrival. ResponseGrace is the time
// after the deadline in which a response is still valid. The guard leaves DeadlineGuardShare (0 to 1) of the grace to
// admission, which normally answers first. The guard rejects a request that has not run and fails any other; a request
// that waits for another attempt's run may have run, so it fails. A run continues unless admission stops it, and the
// result of a keyed run is stored for retries.

// guardDelay returns the time from the deadline to the guard's answer.
func (n *Node) guardDelay() time.Duration {
	return time.Duration(n.opts.Limits.DeadlineGuardShare * float64(duration(n.opts.Settings.ResponseGrace)))
}

// deadlineExpired answers a request that admission has not answered by its deadline.
func (n *Node) deadlineExpired(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.settled {
		return
	}
	n.counts.DeadlineExpired++
	n.log.Warn("request answered by the deadline guard", fmt.Errorf("request %s, deadline %v", r.ID, r.deadline))
	n.answerWithoutDecision(r)
}

// Abort answers a request at once, in any stage, because its front end can't wait any longer.
func (n *Node) Abort(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.byID[id]; r != nil && !r.settled {
		n.answerWithoutDecision(r)
	}
}

// answerWithoutDecision answers a request without a decision of admission, and reports it to admission as canceled.
func (n *Node) answerWithoutDecision(r *request) {
	if r.stage == stageRecording {
		n.withdrawStart(r, Response{Status: StatusRejected, RetryAfter: n.opts.Limits.RejectedRetryAfter})
		return
	}
	status := StatusFailed // also if coalesced or waiting for another process: that run may have started
	if r.stage == stageQueued {
		status = StatusRejected
	}
	n.respond(r, Response{Status: status})
	n.reportCanceled(r)
	n.abandonRun(r)
}

// Cancel reports that the caller of a request no longer waits for it. The request gets no response. Its run continues
// unless admission stops it.
func (n *Node) Cancel(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.settled {
		return
	}
	r.settled = true
	n.trace("canceled by its caller", r)
	n.counts.Canceled++
	n.markAnswered(r)
	n.reportCanceled(r)
}

// reportCanceled reports to admission that a request's caller no longer waits, and removes the request if it has no
// run.
func (n *Node) reportCanceled(r *request) {
	if r.stage == stageInOtherProcess {
		n.removeUnreported(r)
		return
	}
	n.opts.Admission.Report(admission.Canceled(r.number))
	if r.stage == stageQueued || r.stage == stageCoalesced {
		n.remove(r)
	}
}
