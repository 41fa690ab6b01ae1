package node

import (
	"fmt"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// Idempotency: of all attempts with the same idempotency key, at most one runs within the key's window. Key and
// fingerprint are defined as in draft-ietf-httpapi-idempotency-key-header.
//
//	window of a key = [arrival of the attempt that ran, arrival + class.IdempotencyWindow + limits.KeyWindowSlack)
//
// What holds if the class changes meanwhile is in keyscope.go.
//
// The arrival is the caller's time stamp. KeyWindowSlack covers the inaccuracy of clocks and socket time stamps.
//
// An attempt is handled by the first line that applies:
//
//	its key is stored with another fingerprint       failed, KeyReused
//	its key ran in an earlier process of the node    served with the stored result, or failed without one
//	another process holds its key                    answered as the run in that process (elsewhere.go)
//	its key's run is in flight here                  coalesced: answered as that run when it ends
//	its key's run has ended here                     served with the stored result, or failed without one
//	its key has not run                              it claims the key and runs once that is recorded (journal.go)
//
// A result for another protocol counts as no result. A run that was not started releases its key, and the attempts
// coalesced with it are submitted again. An attempt is rejected if the key table is full, because its retries could not
// be recognized.

// answerFromKeyTable answers an attempt whose key belongs to another request or ran in an earlier process. It returns
// false in all other cases.
func (n *Node) answerFromKeyTable(r *request) bool {
	r.fingerprint = fingerprintOf(n.opts.Settings.Classes[r.Class].Name, &r.Request)
	e := n.keys.lookup(r)
	switch {
	case e == nil:
		return false
	case e.fingerprint != r.fingerprint:
		n.respond(r, Response{Status: StatusFailed, KeyReused: true})
	case !e.restored:
		return false
	case e.succeeded && e.owner.Protocol == r.Protocol:
		n.respond(r, Response{Status: StatusServed, Result: e.result})
	default:
		n.respond(r, Response{Status: StatusFailed})
	}
	return true
}

// startKeyed claims an attempt's key and starts its run. If the key is already started, the attempt is coalesced.
func (n *Node) startKeyed(r *request) {
	e := n.keys.claim(r)
	if e == nil {
		n.rejectUnstarted(r)
		return
	}
	if e.started {
		n.coalesce(r)
		return
	}
	e.started, e.arrivedAt, e.window = true, r.stampedAt, n.windowOf(r)
	if n.opts.Journal != nil {
		n.recordStart(r)
		return
	}
	n.startRun(r)
}

// coalesce answers an attempt with the outcome of its key's run, at once or when that run ends.
func (n *Node) coalesce(r *request) {
	e := n.keys.lookup(r)
	switch {
	case r.stage != stageQueued || r.settled:
	case r.IdempotencyKey == "" || e == nil || e.owner == r && !e.started:
		// The attempt that it repeats was answered without a run in the meantime, so this one may run.
		n.resubmit(r)
	case e.finished:
		n.answerCoalesced(r, e)
	default:
		n.trace("coalesced with its key's run", r, "run", e.owner.ID)
		n.counts.Coalesced++
		r.stage = stageCoalesced
		e.coalesced = append(e.coalesced, r)
	}
}

// answerCoalesced answers an attempt with the outcome of its key's run.
func (n *Node) answerCoalesced(r *request, e *keyEntry) {
	r.stage = stageEnded
	elapsed := n.opts.Clock.Now().Sub(r.reportedAt)
	if e.succeeded && e.owner.Protocol == r.Protocol {
		n.respond(r, Response{Status: StatusServed, Result: e.result})
		n.opts.Admission.Report(admission.RunEnded(r.number, logic.OutcomeOK, elapsed))
	} else {
		n.respond(r, Response{Status: StatusFailed})
		n.opts.Admission.Report(admission.RunEnded(r.number, logic.OutcomeFailed, elapsed))
	}
	n.remove(r)
}

// completeKey handles the end of the run of a key's owner: it answers the coalesced attempts, and stores and records
// the result.
func (n *Node) completeKey(r *request, e *keyEntry, outcome admission.Outcome, result []byte) {
	if outcome == logic.OutcomeNotStarted {
		detail := fmt.Errorf("request %s, key %s", r.ID, r.IdempotencyKey)
		n.log.Warn("keyed run was not started; its key is released", detail)
		e.started = false // remove then releases the key and resubmits the attempts that wait for it
		if n.opts.Journal != nil {
			n.opts.Journal.Withdraw(n.runRecord(r))
		}
		return
	}
	e.finished, e.succeeded = true, outcome == logic.OutcomeOK
	e.result = result
	coalesced := e.coalesced
	e.coalesced = nil
	for _, waiting := range coalesced {
		n.answerCoalesced(waiting, e)
	}
	e.result = nil
	// Without a stored result later attempts fail, since they must not run.
	e.succeeded = e.succeeded && n.keys.storeResult(e, result, n.opts.Limits.StoredResultBytes)
	if n.opts.Journal == nil {
		return
	}
	record := n.runRecord(r)
	record.Window, record.Ended, record.Succeeded = e.window, true, outcome == logic.OutcomeOK
	if record.ResultStored = record.Succeeded && len(result) <= n.opts.Limits.StoredResultBytes; record.ResultStored {
		record.Result = result
	}
	n.opts.Journal.RecordEnd(record)
}

// releaseKey releases the key of a request that has not run, and resubmits the attempts that waited for the request.
func (n *Node) releaseKey(r *request) {
	for _, waiting := range n.keys.release(r) {
		n.resubmit(waiting)
	}
}

// keyMayHaveRun reports whether an attempt with r's key may have run within the window, so that r must be answered from
// that run.
func (n *Node) keyMayHaveRun(r *request) bool {
	return r.IdempotencyKey != "" && (n.keys.started(r) || n.keyHeldByOtherProcess(r))
}

// mayHaveRun reports whether the request is not idempotent and was passed to its runner.
func (n *Node) mayHaveRun(r *request) bool {
	return r.stage == stageRunning && !n.mayRunAgain(r)
}
