package leasedtask

import (
	"sloehitch/internal/control/lease"
)

// Rule: a candidate's next action.
//
// Inputs: whether the lease is held now, which requests are pending, and the record as last read or written. The first case
// that applies:
//
//  1. The job has finished or was stopped, and no operation is pending: hand the lease over, then stop (handover.go).
//  2. The lease is due for renewal: renew it, also while a step runs.
//  3. An operation is pending, or the retry delay runs: wait.
//  4. The lease is not held: acquire it.
//  5. The record is not known under this lease: read it.
//  6. A record is to be written: write it, under the same id at each attempt.
//  7. The step on record is started: run it.
//  8. Otherwise: write a record in which the next step is started, or the job is completed.

// waitFraction divides the holder's lease into the intervals at which a waiting candidate checks again, often enough to renew
// the lease in time.
const waitFraction = 10

// NextAction returns the action to carry out now. It must be called again after each reported result, and at Action.WakeAt.
func (r *Runner) NextAction(now lease.Instant) Action {
	token, holds := r.claim.Holds(now)
	switch {
	case r.mayStop():
		return r.stopAction(token, holds)
	case !r.leaseRequestPending && holds && r.claim.RenewalDue(now):
		r.leaseRequestPending = true
		return Action{Kind: ActionRenew, RequestID: r.claim.BeginRequest(now), Token: token}
	case r.operationPending, now < r.retryAt:
		return r.waitAction(now)
	case !holds:
		return r.acquireAction(now)
	}
	r.operationPending = true
	return r.operationAction(token)
}

// acquireAction returns a request for the lease, or a wait if a request is pending.
func (r *Runner) acquireAction(now lease.Instant) Action {
	r.recordKnown, r.pendingWrite = false, nil
	if r.leaseRequestPending {
		return r.waitAction(now)
	}
	r.leaseRequestPending = true
	return Action{Kind: ActionAcquire, RequestID: r.claim.BeginRequest(now)}
}

// operationAction returns the next read, write or step under the lease.
func (r *Runner) operationAction(token uint64) Action {
	if !r.recordKnown {
		return Action{Kind: ActionReadRecord, Token: token}
	}
	if r.pendingWrite == nil && r.record.State == StateStarted {
		step := r.record.Step
		return Action{Kind: ActionRunStep, Token: token, ID: r.job.stepID(step), Step: r.job.Steps[step], Record: r.record}
	}
	if r.pendingWrite == nil {
		next := r.job.recordAfter(r.record)
		r.pendingWrite = &next
	}
	return Action{Kind: ActionWriteRecord, Token: token, Record: *r.pendingWrite, Version: r.version, ID: r.job.writeID(token, r.writeCount)}
}

// waitAction returns a wait until the next check, or until the retry delay ends if that is earlier.
func (r *Runner) waitAction(now lease.Instant) Action {
	at := now.Add(r.terms.HolderDuration() / waitFraction)
	if r.retryAt > now && r.retryAt < at {
		at = r.retryAt
	}
	return Action{Kind: ActionWait, WakeAt: at}
}

// recordAfter returns the record that follows r, which is empty or whose step is done: the next step is started, or
// the job is completed.
func (j Job) recordAfter(r Record) Record {
	next := Record{JobID: j.ID, State: StateStarted}
	if r.State == StateDone {
		next.Step = r.Step + 1
	}
	if next.Step == len(j.Steps) {
		next.Step, next.State = r.Step, StateCompleted
	}
	return next
}

// afterStep returns the record that follows r after its step was run: the step is done, is to be retried, or has
// failed for the maxAttempts-th time, with which the job has failed.
func (r Record) afterStep(err error, maxAttempts int) Record {
	if err == nil {
		r.State, r.FailureReason = StateDone, ""
		return r
	}
	r.State, r.FailureReason = StateStarted, err.Error()
	r.FailedAttempts++
	if r.FailedAttempts >= maxAttempts {
		r.State = StateFailed
	}
	return r
}
