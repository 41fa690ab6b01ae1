package leasedtask

import (
	"fmt"

	"sloehitch/internal/control/lease"
)

// Runner is one candidate for a job. It is not safe for concurrent use.
type Runner struct {
	job   Job
	terms lease.Terms
	claim *lease.Claim

	leaseRequestPending bool
	operationPending    bool          // a read, a write or a step
	retryAt             lease.Instant // nothing but a renewal is started before

	recordKnown  bool
	record       Record
	version      uint64  // of the record
	pendingWrite *Record // the record to be written; nil: none
	writeCount   int     // writes so far under this token

	stopping   bool
	handedOver bool
	superseded bool // the record is of a job that this one does not follow
}

// NewRunner returns a candidate that holds nothing. It returns an error for a job without id, steps, attempts or delay, and for
// terms that are not valid.
func NewRunner(j Job, t lease.Terms) (*Runner, error) {
	if j.ID == "" || len(j.Steps) == 0 || j.MaxAttempts < 1 || j.RetryDelay <= 0 {
		return nil, fmt.Errorf("leasedtask: a job needs an id, steps, one attempt or more and a retry delay, not %+v", j)
	}
	return &Runner{job: j, terms: t, claim: lease.NewClaim(t)}, t.Validate()
}

// Record returns the job's record as far as this candidate knows, and whether it knows one.
func (r *Runner) Record() (Record, bool) { return r.record, r.recordKnown }

// LeaseValidUntil returns the end of the last lease that this candidate was granted.
func (r *Runner) LeaseValidUntil() lease.Instant { return r.claim.ValidUntil() }

// HandleGrant reports that the lease was granted or renewed.
func (r *Runner) HandleGrant(requestID, token uint64) {
	if previous, _ := r.claim.Holds(0); token != previous {
		r.recordKnown, r.pendingWrite, r.writeCount = false, nil, 0 // a new lease begins with reading the record
	}
	r.leaseRequestPending = false
	r.claim.HandleGrant(requestID, token)
}

// HandleRejection reports that another holds the lease, or that this candidate lost it.
func (r *Runner) HandleRejection(requestID uint64, now lease.Instant) {
	r.leaseRequestPending = false
	r.claim.HandleRejection(requestID)
	r.delayRetry(now)
}

// HandleLeaseTimeout reports that a request for the lease got no response; it may have been granted all the same. A lease that is
// held is held until its end, and renewed by another request.
func (r *Runner) HandleLeaseTimeout(now lease.Instant) {
	r.leaseRequestPending = false
	if _, holds := r.claim.Holds(now); !holds {
		r.delayRetry(now)
	}
}

// HandleRecord reports the record and its version; version 0: there is none. The job is started only where its predecessor has
// finished. A record of any other job ends the runner.
func (r *Runner) HandleRecord(record Record, version uint64) {
	r.operationPending, r.recordKnown, r.version, r.record = false, true, version, record
	if record.JobID == r.job.ID {
		return
	}
	r.record = Record{}
	r.superseded = record.JobID != r.job.Predecessor || record.JobID != "" && !record.Finished()
}

// HandleWritten reports that the pending write is on record, under this version.
func (r *Runner) HandleWritten(version uint64) {
	r.operationPending, r.version = false, version
	r.writeCount++
	if r.pendingWrite != nil {
		r.record, r.pendingWrite = *r.pendingWrite, nil
	}
}

// HandleRecordTimeout reports that a read or write of the record got no response. A write is retried under its id.
func (r *Runner) HandleRecordTimeout(now lease.Instant) {
	r.operationPending = false
	r.delayRetry(now)
}

// HandleConflict reports that a write was rejected: another has changed the record or acquired the lease. The record is read
// anew.
func (r *Runner) HandleConflict(now lease.Instant) {
	r.operationPending, r.recordKnown, r.pendingWrite = false, false, nil
	r.writeCount++ // the id of the rejected write is used up
	r.delayRetry(now)
}

// HandleStepResult reports how the step ended.
func (r *Runner) HandleStepResult(err error, now lease.Instant) {
	r.operationPending = false
	next := r.record.afterStep(err, r.job.MaxAttempts)
	if err != nil {
		r.delayRetry(now)
	}
	r.pendingWrite = &next
}

// delayRetry starts nothing but renewals for the job's retry delay.
func (r *Runner) delayRetry(now lease.Instant) { r.retryAt = now.Add(r.job.RetryDelay) }
