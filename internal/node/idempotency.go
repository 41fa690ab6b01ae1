package node

import (
	"fmt"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// Idempotency: of all attempts under one idempotency key at most one runs within the key's window. (Key and
// fingerprint are those of draft-ietf-httpapi-idempotency-key-header.)
//
//	window of a key = [arrival of the attempt that ran, arrival + class.IdempotencyWindow + limits.KeyWindowSlack)
//
// The arrival is that of the caller's time stamp. KeyWindowSlack covers clocks and sockets that are not exact.
//
// What becomes of an attempt, by the first line that holds:
//
//	another request's fingerprint is under its key   failed, KeyReused
//	its key ran in an earlier process of the node    served with the stored result, or failed without one
//	another process holds its key                    as that process's run is answered (elsewhere.go)
//	its key's run is in flight here                  coalesced: answered as that run is, when it ends
//	its key's run has ended here                     served with the stored result, or failed without one
//	nothing ran under its key                        it claims the key and runs once that is on record (journal.go)
//
// A result of another protocol counts as none. A run of which nothing was started releases its key, and the attempts
// coalesced with it are submitted anew. An attempt for whose key the table has no room is rejected: its retries could
// not be recognized.

// answerFromKeyTable answers an attempt whose key belongs to another request, or ran in an earlier process. It
// returns false if neither is so.
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

// startKeyed has an attempt claim its key and start, or wait for the one that has.
func (n *Node) startKeyed(r *request) {
	e := n.keys.claim(r)
	if e == nil {
		n.rejectUnrun(r)
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
	n.startRun(r)
}

// coalesce answers an attempt as its key's run was answered, now or when that ends.
func (n *Node) coalesce(r *request) {
	e := n.keys.lookup(r)
	switch {
	case r.stage != stageQueued || r.settled:
	case r.IdempotencyKey == "" || e == nil || e.owner == r && !e.started:
		// The attempt that it repeats was answered without a run meanwhile: this one may run.
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

// answerCoalesced answers an attempt as its key's run was answered.
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

// completeKey takes in how the run of a key's owner ended: it answers the coalesced attempts, and stores and records
// the result.
func (n *Node) completeKey(r *request, e *keyEntry, outcome admission.Outcome, result []byte) {
	if outcome == logic.OutcomeNotStarted {
		detail := fmt.Errorf("request %s, key %s", r.ID, r.IdempotencyKey)
		n.log.Warn("keyed run was not started; its key is released", detail)
		e.started = false // remove hands the key to the attempts that wait for it
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
	// Without a stored result later attempts fail: they must not run.
	e.succeeded = e.succeeded && n.keys.storeResult(e, result, n.opts.Limits.StoredResultBytes)
	if n.opts.Journal == nil {
		return
	}
	record := n.runRecord(r)
	record.Ended, record.Succeeded = true, outcome == logic.OutcomeOK
	if record.ResultStored = record.Succeeded && len(result) <= n.opts.Limits.StoredResultBytes; record.ResultStored {
		record.Result = result
	}
	n.opts.Journal.RecordEnd(record)
}

// releaseKey frees the key of a request under which nothing ran, and submits anew what waited for that.
func (n *Node) releaseKey(r *request) {
	for _, waiting := range n.keys.release(r) {
		n.resubmit(waiting)
	}
}

// keyMayHaveRun reports whether some attempt under r's key ran within its window: r is to be answered from that run.
func (n *Node) keyMayHaveRun(r *request) bool {
	return r.IdempotencyKey != "" && (n.keys.started(r) || n.keyHeldElsewhere(r))
}

// mayHaveRun reports whether a request that is not idempotent was handed to its runner.
func (n *Node) mayHaveRun(r *request) bool {
	return r.stage == stageRunning && n.opts.Settings.Classes[r.Class].Idempotency != logic.Idempotent
}
