package node

import (
	"fmt"
	"time"

	"sloehitch/internal/admission"
)

// Deadline: a request is answered by its deadline, whatever admission and its run do.
//
//	guard = deadline + limits.DeadlineGuardShare * settings.ResponseGrace
//
// deadline is the sooner of the class's timeout and the caller's, counted from the arrival; ResponseGrace is how long
// after the deadline a response still counts. Admission answers first where it can: the guard leaves it
// DeadlineGuardShare (0 to 1) of the grace. What the guard answers is rejected if nothing of it ran and failed
// otherwise; one that waits for another's run may have run: failed. Its run goes on unless admission stops it; the
// result of a keyed run is stored for retries.

// guardDelay is how long after the deadline the guard answers.
func (n *Node) guardDelay() time.Duration {
	return time.Duration(n.opts.Limits.DeadlineGuardShare * float64(duration(n.opts.Settings.ResponseGrace)))
}

// deadlineExpired answers a request that admission has not answered in time.
func (n *Node) deadlineExpired(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.settled {
		return
	}
	n.counts.DeadlineExpired++
	n.log.Warn("request answered by the deadline guard", fmt.Errorf("request %s, deadline %v", r.ID, r.deadline))
	n.answerUndecided(r)
}

// Abort answers a request at once, whatever runs: its front end can't wait any longer.
func (n *Node) Abort(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.byID[id]; r != nil && !r.settled {
		n.answerUndecided(r)
	}
}

// answerUndecided answers a request without a decision of admission, and reports that.
func (n *Node) answerUndecided(r *request) {
	if r.stage == stageRecording {
		n.withdrawStart(r, Response{Status: StatusRejected, RetryAfter: n.opts.Limits.RejectedRetryAfter})
		return
	}
	status := StatusFailed // coalesced or elsewhere: the run that it waits for may have run
	if r.stage == stageQueued {
		status = StatusRejected
	}
	n.respond(r, Response{Status: status})
	n.reportCanceled(r)
	n.abandonRun(r)
}

// Cancel reports that the caller of a request no longer waits for it. It gets no response; a run of it goes on unless
// admission stops it.
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

// reportCanceled reports to admission that a request's caller no longer waits, and removes it if nothing of it runs.
func (n *Node) reportCanceled(r *request) {
	if r.stage == stageElsewhere {
		n.removeUnreported(r)
		return
	}
	n.opts.Admission.Report(admission.Canceled(r.number))
	if r.stage == stageQueued || r.stage == stageCoalesced {
		n.remove(r)
	}
}
