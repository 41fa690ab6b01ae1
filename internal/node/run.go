package node

import (
	"fmt"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// apply does what the module decided about a request.
func (n *Node) apply(r *request, d admission.Decision) {
	switch d.Kind {
	case admission.Run:
		n.startOrResume(r)
	case admission.Reject:
		n.answerWithoutRun(r, Response{Status: StatusRejected, RetryAfter: d.Duration, NoFailover: d.NoFailover})
	case admission.Fail:
		n.answerWithoutRun(r, Response{Status: StatusFailed})
	case admission.Stop:
		switch r.stage {
		case stageRecording:
			r.paused = true
		case stageRunning:
			r.paused = true
			r.Runner.Stop(r.ID)
		}
	case admission.Coalesce:
		n.coalesce(r)
	case admission.StoreKey:
		if r.IdempotencyKey != "" {
			n.keys.claim(r)
		}
	case admission.DeleteKey:
		for _, waiting := range n.keys.release(r) {
			n.resubmit(waiting)
		}
	case admission.MakeCall:
		n.startCall(r, d.Duration)
	case admission.SkipCall:
		if r.callNotice != 0 {
			pos := r.callNotice
			r.callNotice, r.callBody = 0, nil
			r.Runner.SkipCall(r.ID, pos)
		}
	}
}

// answerWithoutRun answers a request by the module's word, and drops it if nothing of it runs.
func (n *Node) answerWithoutRun(r *request, a Response) {
	if r.stage == stageRecording {
		n.withdrawStart(r, a)
		return
	}
	if a.Status == StatusRejected && r.stage == stageQueued && n.moveElsewhere(r) {
		return
	}
	n.respond(r, a)
	if r.stage == stageQueued || r.stage == stageCoalesced {
		n.remove(r)
	}
	n.abandonRun(r)
}

// startOrResume starts a request, or goes on with a paused run. It guards two rules against a mistaken module: nothing that
// came too late after the notice to leave is started, and no second try of a key.
func (n *Node) startOrResume(r *request) {
	switch {
	case r.stage == stageRunning && r.paused:
		r.paused = false
		r.Runner.Resume(r.ID)
		return
	case r.stage == stageRecording:
		r.paused = false
		return
	case r.stage != stageQueued:
		return
	case n.pastDrainGrace(r):
		n.respond(r, Response{Status: StatusRejected})
		n.finishRun(r, logic.OutcomeNotStarted, 0, nil)
		return
	}
	if r.IdempotencyKey != "" {
		e := n.keys.claim(r)
		if e == nil {
			n.respond(r, Response{Status: StatusRejected})
			n.finishRun(r, logic.OutcomeNotStarted, 0, nil)
			return
		}
		if e.started {
			n.coalesce(r)
			return
		}
		e.started, e.arrivedAt, e.window = true, r.stampedAt, n.keys.window(r.Class)
		if n.opts.Journal != nil {
			n.recordStart(r)
			return
		}
	}
	n.startRun(r)
}

// startRun hands a request to its runner.
func (n *Node) startRun(r *request) {
	if r.recordTimer != nil {
		r.recordTimer.Stop()
	}
	r.stage = stageRunning
	n.trace("started", r)
	n.counts.Started++
	n.countsOf(r).Started++
	class := &n.opts.Settings.Classes[r.Class]
	r.Runner.Start(r.ID, class.Name, r.Body, class.Idempotency != logic.Idempotent)
	if r.paused { // while its start was being recorded
		r.Runner.Stop(r.ID)
	}
}

// coalesce serves a request from the result of the try that it repeats, now or when that is over.
func (n *Node) coalesce(r *request) {
	e := n.keys.lookup(r)
	switch {
	case r.stage != stageQueued || r.settled:
	case r.IdempotencyKey == "" || e == nil || e.owner == r && !e.started:
		// The try that it repeats was answered without a run since: nothing stands in the way of this one.
		n.resubmit(r)
	case e.finished:
		n.answerCoalesced(r, e)
	default:
		n.trace("waits for the run of its key", r, "run", e.owner.ID)
		n.counts.Coalesced++
		r.stage = stageCoalesced
		e.coalesced = append(e.coalesced, r)
	}
}

// answerCoalesced answers a request as the try that it waited for was answered.
func (n *Node) answerCoalesced(r *request, e *keyEntry) {
	r.stage = stageEnded
	took := n.opts.Clock.Now().Sub(r.reportedAt)
	if e.succeeded && e.owner.Protocol == r.Protocol { // another protocol's result would not be understood
		n.respond(r, Response{Status: StatusServed, Result: e.result})
		n.opts.Admission.Report(admission.RunEnded(r.number, logic.OutcomeOK, took))
	} else {
		n.respond(r, Response{Status: StatusFailed})
		n.opts.Admission.Report(admission.RunEnded(r.number, logic.OutcomeFailed, took))
	}
	n.remove(r)
}

// RunEnded tells that a run is over.
func (n *Node) RunEnded(id string, o admission.Outcome, took time.Duration, result []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.stage != stageRunning {
		n.traceUnknown("an end of a run that is not in hand", id, o)
		return
	}
	n.trace("its run has ended", r, "outcome", o, "took", took)
	n.finishRun(r, o, took, result)
}

// finishRun ends a request's run: it answers it and all that waited for it.
func (n *Node) finishRun(r *request, o admission.Outcome, took time.Duration, result []byte) {
	n.opts.Admission.Report(admission.RunEnded(r.number, o, took))
	n.completeRun(r, o, result)
}

// completeRun is what finish does beside telling the module.
func (n *Node) completeRun(r *request, o admission.Outcome, result []byte) {
	started := r.stage == stageRunning
	r.stage = stageEnded
	if o == logic.OutcomeOK {
		n.respond(r, Response{Status: StatusServed, Result: result})
	} else {
		n.respond(r, Response{Status: StatusFailed})
	}
	if e := n.keys.entries[r.IdempotencyKey]; r.IdempotencyKey != "" && e != nil && e.owner == r && started {
		if o == logic.OutcomeNotStarted {
			n.log.Warn("a keyed run was not started: its key is free again", fmt.Errorf("request %s, key %s", r.ID, r.IdempotencyKey))
			e.started = false // nothing was started: drop hands the key to whoever waits
			if n.opts.Journal != nil {
				n.opts.Journal.Withdraw(n.runRecord(r))
			}
		} else {
			e.finished, e.succeeded = true, o == logic.OutcomeOK
			e.result = result
			waiting := e.coalesced
			e.coalesced = nil
			for _, w := range waiting {
				n.answerCoalesced(w, e)
			}
			e.result = nil
			// Without its result later repeats fail: it must not run again.
			e.succeeded = e.succeeded && n.keys.storeResult(e, result, n.opts.Limits.StoredResultBytes)
			if n.opts.Journal != nil {
				b := n.runRecord(r)
				b.Ended, b.Succeeded = true, o == logic.OutcomeOK
				if b.ResultStored = b.Succeeded && len(result) <= n.opts.Limits.StoredResultBytes; b.ResultStored {
					b.Result = result
				}
				n.opts.Journal.RecordEnd(b)
			}
		}
	}
	n.remove(r)
}

// CallRequested tells that a run stands at a call; pos is the notice that asked for it.
func (n *Node) CallRequested(id string, pos uint64, body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.stage != stageRunning {
		return
	}
	r.callNotice, r.callBody, r.unconfirmed = pos, body, false
	n.trace("stands at a call", r, "notice", pos)
	n.opts.Admission.Report(admission.CallRequested(r.number))
}

// startCall makes the call that a run stands at.
func (n *Node) startCall(r *request, patience time.Duration) {
	if r.stage != stageRunning || r.callNotice == 0 || r.callInFlight {
		return
	}
	if n.opts.Dependency == nil {
		n.opts.Admission.Report(admission.CallEnded(r.number, logic.OutcomeUnreachable, 0))
		return
	}
	if patience <= 0 {
		patience = max(r.deadline.Sub(n.opts.Clock.Now()), time.Millisecond)
	}
	r.callInFlight = true
	num := r.number
	once := n.opts.Settings.Classes[r.Class].Idempotency != logic.Idempotent
	n.opts.Dependency.Call(r.ID, patience, r.callBody, once, func(o admission.Outcome, took time.Duration, reply []byte) {
		n.callEnded(num, o, took, reply)
	})
}

// callEnded takes in how a call ended.
func (n *Node) callEnded(num uint64, o admission.Outcome, took time.Duration, reply []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byNumber[num]
	if r == nil || !r.callInFlight {
		return
	}
	r.callInFlight = false
	n.trace("its call has ended", r, "outcome", o, "took", took)
	if o == logic.OutcomeOK && r.callNotice != 0 {
		r.callNotice, r.callBody = 0, nil
		r.Runner.DeliverReply(r.ID, reply)
	}
	n.opts.Admission.Report(admission.CallEnded(num, o, took))
}
