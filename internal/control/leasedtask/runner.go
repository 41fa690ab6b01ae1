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
	operationPending    bool          // a read, a write or a step is in progress
	retryAt             lease.Instant // before this, nothing but a renewal is started

	recordKnown  bool
	record       Record
	version      uint64  // version of the record
	pendingWrite *Record // the record to be written; nil: none
	writeCount   int     // writes so far under this token

	stopping   bool
	handedOver bool
	superseded bool // the record belongs to a job that this one does not follow
}

// NewRunner returns a candidate without a lease. It returns an error for a job without id, steps, attempts or retry
// delay, and for invalid terms.
func NewRunner(j Job, t lease.Terms) (*Runner, error) {
	if j.ID == "" || len(j.Steps) == 0 || j.MaxAttempts < 1 || j.RetryDelay <= 0 {
		return nil, fmt.Errorf("leasedtask: job lacks an id, steps, at least one attempt or a positive retry delay: %+v", j)
	}
	return &Runner{job: j, terms: t, claim: lease.NewClaim(t)}, t.Validate()
}

// Record returns the job's record as this candidate last read or wrote it, and whether it knows the record.
func (r *Runner) Record() (Record, bool) { return r.record, r.recordKnown }

// LeaseValidUntil returns the end of the last lease granted to this candidate.
func (r *Runner) LeaseValidUntil() lease.Instant { return r.claim.ValidUntil() }

// HandleGrant reports that the lease was granted or renewed.
func (r *Runner) HandleGrant(requestID, token uint64) {
	if previous, _ := r.claim.Holds(0); token != previous {
		r.recordKnown, r.pendingWrite, r.writeCount = false, nil, 0 // under a new lease, the record must be read first
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

// HandleLeaseTimeout reports that a request for the lease got no response; it may have been granted nevertheless. A
// lease that is held stays held until its end, and another request renews it.
func (r *Runner) HandleLeaseTimeout(now lease.Instant) {
	r.leaseRequestPending = false
	if _, holds := r.claim.Holds(now); !holds {
		r.delayRetry(now)
	}
}

// HandleRecord reports the record and its version; version 0: there is no record. The job is started only if its
// predecessor has finished. The record of any other job makes the runner stop. A record from which the job can't be
// resumed is to be replaced by one in which the job has failed.
func (r *Runner) HandleRecord(record Record, version uint64) {
	r.operationPending, r.recordKnown, r.version, r.record = false, true, version, record
	if record.JobID == r.job.ID {
		if err := r.job.checkResumable(record); err != nil {
			record.State, record.FailureReason = StateFailed, err.Error()
			r.pendingWrite = &record
		}
		return
	}
	r.record = Record{}
	r.superseded = record.JobID != r.job.Predecessor || record.JobID != "" && !record.Finished()
}

// HandleWritten reports that the pending write was committed with the given version.
func (r *Runner) HandleWritten(version uint64) {
	r.operationPending, r.version = false, version
	r.writeCount++
	if r.pendingWrite != nil {
		r.record, r.pendingWrite = *r.pendingWrite, nil
	}
}

// HandleRecordTimeout reports that a read or write of the record got no response. A write is retried with the same id.
func (r *Runner) HandleRecordTimeout(now lease.Instant) {
	r.operationPending = false
	r.delayRetry(now)
}

// HandleConflict reports that a write was rejected because another candidate has changed the record or acquired the
// lease. The record is read again.
func (r *Runner) HandleConflict(now lease.Instant) {
	r.operationPending, r.recordKnown, r.pendingWrite = false, false, nil
	r.writeCount++ // the id of the rejected write is used up
	r.delayRetry(now)
}

// HandleStepResult reports the result of the step; nil means that it succeeded.
func (r *Runner) HandleStepResult(err error, now lease.Instant) {
	r.operationPending = false
	next := r.record.afterStep(err, r.job.MaxAttempts)
	if err != nil {
		r.delayRetry(now)
	}
	r.pendingWrite = &next
}

// delayRetry defers all actions but renewals for the job's retry delay.
func (r *Runner) delayRetry(now lease.Instant) { r.retryAt = now.Add(r.job.RetryDelay) }
