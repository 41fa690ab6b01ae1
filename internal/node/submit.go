package node

import (
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// Submit accepts a request that was read. reply is called with its one final response, unless Cancel is called before.
// reply is called with the Node's lock held, possibly before Submit returns, and must not block.
func (n *Node) Submit(attempt Request, reply func(Response)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	n.counts.Read++
	n.unanswered++
	r := n.newRequest(attempt, reply, now)
	if n.rejectUntrackable(r) {
		return
	}
	n.trace("read", r, "age", now.Sub(r.stampedAt))
	if r.IdempotencyKey != "" && n.answerFromKeyTable(r) {
		return
	}
	// After the drain grace, a repeat of a request that may have run is still answered from that run.
	tooLate := n.withinKillMargin(now) || (n.pastDrainGrace(r) && !n.keyMayHaveRun(r))
	if tooLate {
		n.respond(r, Response{Status: StatusRejected, RetryAfter: duration(n.opts.Settings.MaxRetryAfter)})
		return
	}
	n.byID[r.ID] = r
	r.deadlineTimer = n.opts.Clock.AfterFunc(r.deadline.Sub(now)+n.guardDelay(), func() { n.deadlineExpired(r) })
	if r.IdempotencyKey != "" && !n.keys.started(r) && n.answerFromOtherProcess(r) {
		return
	}
	n.reportArrival(r, now)
}

// rejectUntrackable answers a request that can't be registered and reports whether it did: a request whose ID is in
// flight already, a request beyond limits.Limits.MaxInFlight, or a keyed request without a key, whose retries could not
// be recognized.
func (n *Node) rejectUntrackable(r *request) bool {
	idempotency := n.opts.Settings.Classes[r.Class].Idempotency
	inFlight := n.byID[r.ID]
	duplicate := inFlight != nil
	full := len(n.byNumber) >= n.opts.Limits.MaxInFlight
	keyMissing := idempotency == logic.IdempotentByKey && r.IdempotencyKey == ""
	switch {
	case duplicate && (!n.mayRunAgain(inFlight) || !n.mayRunAgain(r)):
		// The first request with that ID may have run, but a rejection would promise that it did not.
		n.trace("request id already in flight", r)
		n.respond(r, Response{Status: StatusFailed})
	case duplicate, full, keyMissing:
		n.respond(r, Response{Status: StatusRejected})
	default:
		return false
	}
	return true
}

// reportArrival reports a request to admission as if it had just been read.
func (n *Node) reportArrival(r *request, now time.Time) {
	n.lastNumber++
	r.number, r.stage, r.reportedAt = n.lastNumber, stageQueued, now
	n.byNumber[r.number] = r
	arrival := admission.Arrival{
		Class:          r.Class,
		Tenant:         r.Tenant,
		MemoryKB:       r.MemoryKB,
		WorkHint:       logic.Micros(r.WorkHint / time.Microsecond),
		Age:            logic.Micros(now.Sub(r.ArrivedAt) / time.Microsecond),
		AttemptTimeout: r.remainingTimeout(now),
		Retry:          r.Retry,
		PriorityRank:   r.PriorityRank,
		CallerID:       r.CallerID,
		Idempotency:    r.Idempotency,
	}
	if r.IdempotencyKey != "" {
		if original := n.keys.original(r); original != nil {
			arrival.OriginalID = logic.RequestID(original.number)
		}
	}
	n.opts.Admission.Report(admission.Arrived(r.number, arrival))
}

// removeFromAdmission removes a request that has not run from admission.
func (n *Node) removeFromAdmission(r *request) {
	n.opts.Admission.Report(admission.RunEnded(r.number, logic.OutcomeNotStarted, 0))
	delete(n.byNumber, r.number)
}

// resubmit reports a request to admission as a new one, after the attempt that it waited for ended without a run.
func (n *Node) resubmit(r *request) {
	n.removeFromAdmission(r)
	n.reportArrival(r, n.opts.Clock.Now())
}

// remove unregisters a request that has no run and needs no response.
func (n *Node) remove(r *request) {
	if n.byNumber[r.number] != r {
		return
	}
	delete(n.byNumber, r.number)
	if n.byID[r.ID] == r {
		delete(n.byID, r.ID)
	}
	if r.callInFlight {
		r.callInFlight = false
		n.opts.Dependency.Cancel(r.ID)
	}
	n.releaseKey(r)
	// The key table keeps a reference to the owner of a key: release what only a request in flight needs.
	r.Body, r.Content, r.callBody, r.reply, r.deadlineTimer, r.recordTimer = nil, nil, nil, nil, nil, nil
}
