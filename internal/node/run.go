package node

import (
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// apply carries out a decision on a request in flight.
func (n *Node) apply(r *request, d admission.Decision) {
	switch d.Kind {
	case admission.Run:
		n.startOrResume(r)
	case admission.Reject:
		n.answerAsDecided(r, Response{Status: StatusRejected, RetryAfter: d.Duration, NoFailover: d.NoFailover})
	case admission.Fail:
		n.answerAsDecided(r, Response{Status: StatusFailed})
	case admission.Stop:
		n.stopRun(r)
	case admission.Coalesce:
		n.coalesce(r)
	case admission.StoreKey:
		if r.IdempotencyKey != "" {
			n.keys.claim(r)
		}
	case admission.DeleteKey:
		n.releaseKey(r)
	case admission.MakeCall:
		n.startCall(r, d.Duration)
	case admission.SkipCall:
		n.skipCall(r)
	}
}

// answerAsDecided answers a request as admission decided, and removes it if it has no run.
func (n *Node) answerAsDecided(r *request, response Response) {
	if r.stage == stageRecording {
		n.withdrawStart(r, response)
		return
	}
	if response.Status == StatusRejected && r.stage == stageQueued && n.waitForOtherProcess(r) {
		return
	}
	n.respond(r, response)
	if r.stage == stageQueued || r.stage == stageCoalesced {
		n.remove(r)
	}
	n.abandonRun(r)
}

// startOrResume starts a request, or resumes a paused run.
func (n *Node) startOrResume(r *request) {
	switch {
	case r.stage == stageRunning && r.paused:
		r.paused = false
		r.Runner.Resume(r.ID)
	case r.stage == stageRecording:
		r.paused = false
	case r.stage != stageQueued:
	case n.pastDrainGrace(r):
		n.rejectUnstarted(r)
	case r.IdempotencyKey != "":
		n.startKeyed(r)
	default:
		n.startRun(r)
	}
}

// rejectUnstarted rejects a request that admission has started but that must not run. The response has no Retry-After:
// logic computes that from its backlog when it rejects a request, and it has admitted this one. The caller may try
// another server at once.
func (n *Node) rejectUnstarted(r *request) {
	n.respond(r, Response{Status: StatusRejected})
	n.finishRun(r, logic.OutcomeNotStarted, 0, nil)
}

// startRun passes a request to its runner.
func (n *Node) startRun(r *request) {
	if r.recordTimer != nil {
		r.recordTimer.Stop()
	}
	r.stage = stageRunning
	n.trace("started", r)
	n.counts.Started++
	n.countsOf(r).Started++
	r.Runner.Start(r.ID, n.opts.Settings.Classes[r.Class].Name, r.Body, !n.mayRunAgain(r))
	if r.paused { // while its start was being recorded
		r.Runner.Stop(r.ID)
	}
}

// stopRun stops or pauses a run. A run whose start is still being recorded is paused as soon as it starts.
func (n *Node) stopRun(r *request) {
	switch r.stage {
	case stageRecording:
		r.paused = true
	case stageRunning:
		r.paused = true
		r.Runner.Stop(r.ID)
	}
}

// RunEnded reports the end of a run with its outcome, duration and result. The end of a run that is not in flight is
// ignored.
func (n *Node) RunEnded(id string, outcome admission.Outcome, elapsed time.Duration, result []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.stage != stageRunning {
		n.traceUnknownRun("end of a run that is not in flight", id, outcome)
		return
	}
	n.trace("run ended", r, "outcome", outcome, "took", elapsed)
	n.finishRun(r, outcome, elapsed, result)
}

// finishRun reports the end of a request's run to admission, and answers the request and all attempts coalesced with
// it.
func (n *Node) finishRun(r *request, outcome admission.Outcome, elapsed time.Duration, result []byte) {
	n.opts.Admission.Report(admission.RunEnded(r.number, outcome, elapsed))
	n.completeRun(r, outcome, result)
}

// completeRun does what finishRun does, without the report to admission.
func (n *Node) completeRun(r *request, outcome admission.Outcome, result []byte) {
	started := r.stage == stageRunning
	r.stage = stageEnded
	if outcome == logic.OutcomeOK {
		n.respond(r, Response{Status: StatusServed, Result: result})
	} else {
		n.respond(r, Response{Status: StatusFailed})
	}
	if e := n.keys.entries[r.IdempotencyKey]; r.IdempotencyKey != "" && e != nil && e.owner == r && started {
		n.completeKey(r, e, outcome, result)
	}
	n.remove(r)
}
