// Package leasedtask decides how fleet work goes on in steps under a lease: what to ask of the store, when to do a step, and where
// the next owner takes it up. It has no I/O and no clock; who drives it carries out what Next returns and tells what came
// of it.
//
// Each step is on record as begun before it is done, and as done after, both under the token. The next owner reads the
// record and does a step that was begun once more, under the step's own id, by which its receiver knows a repeat; the
// receiver's fence (package fence) turns an owner away that was overtaken.
package leasedtask

import (
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
)

// Job is a piece of work.
type Job struct {
	ID          string // new with each job; the steps' ids follow from it
	Predecessor string // the job that must have ended on record before; empty: there is none before it
	Steps       []string
	MaxAttempts int           // of a step, after which the job has failed
	RetryDelay  time.Duration // after a step that failed, and before asking for a duty again that another has
}

// State is how far a step is.
type State string

// The states of a record. The zero value stands for a job that nobody has begun.
const (
	StateStarted   State = "begun"
	StateDone      State = "done"
	StateCompleted State = "over"   // all steps are done
	StateFailed    State = "failed" // a step failed as often as it may; the record says why, and the job stays so
)

// Record is a job as the store keeps it.
type Record struct {
	JobID          string `json:"job"`
	Step           int    `json:"step"`
	State          State  `json:"state"`
	FailedAttempts int    `json:"tries,omitempty"` // of this step that failed
	FailureReason  string `json:"why,omitempty"`   // the last one did
}

// Finished says whether nothing is left to do.
func (r Record) Finished() bool { return r.State == StateCompleted || r.State == StateFailed }

// ActionKind is what is to be done.
type ActionKind int

// What Next asks for.
const (
	ActionWait        ActionKind = iota // nothing before At, unless something comes
	ActionAcquire                       // ask the store for the duty; tell Granted or Refused
	ActionRenew                         // the same, to keep it
	ActionReadRecord                    // read the record, confirmed; tell Found
	ActionWriteRecord                   // the record, if its version is still Version and the duty's token still Token; tell Written or Lost
	ActionRunStep                       // the step; tell Did
	ActionHandOver                      // give the duty back; what comes of it need not be told
	ActionStop                          // nothing any more: the job has ended, was left, or does not follow the one on record
)

// Action is what is to be done.
type Action struct {
	Kind      ActionKind
	RequestID uint64 // of Take and Renew: to be told with the answer
	Token     uint64
	Record    Record
	Version   uint64
	ID        string // of Write and Do: the same for each try of one
	Step      string
	WakeAt    lease.Instant
}

// Runner is one candidate for a job. It is not safe for concurrent use.
type Runner struct {
	job   Job
	terms lease.Terms
	claim *lease.Claim

	leaseRequestPending bool          // a question about the lease is open
	retryAt             lease.Instant // nothing is tried before
	recordKnown         bool          // the record is known
	operationPending    bool          // a read, a write or a step is on its way
	record              Record
	version             uint64
	pendingWrite        *Record // to be written
	writes              int     // so far, under this token
	stopping            bool
	handedOver          bool
	superseded          bool // the record is of a job that this one does not follow
}

// NewRunner returns a candidate that holds nothing. It errs on a job without id or steps.
func NewRunner(j Job, t lease.Terms) (*Runner, error) {
	if j.ID == "" || len(j.Steps) == 0 || j.MaxAttempts < 1 || j.RetryDelay <= 0 {
		return nil, fmt.Errorf("duty: a job needs an id, steps, one try or more and a pause, not %+v", j)
	}
	return &Runner{job: j, terms: t, claim: lease.NewClaim(t)}, t.Validate()
}

// Record is the job as far as this candidate knows, and whether it knows at all.
func (r *Runner) Record() (Record, bool) { return r.record, r.recordKnown }

// LeaseValidUntil is to when this candidate was last known to hold the duty.
func (r *Runner) LeaseValidUntil() lease.Instant { return r.claim.ValidUntil() }

// StopAfterStep has the runner stop after the step that it is at, and hand the duty over.
func (r *Runner) StopAfterStep() { r.stopping = true }

// NextAction returns what is to be done now. It is to be called again after each thing told, and at At.
func (r *Runner) NextAction(now lease.Instant) Action {
	token, holds := r.claim.Holds(now)
	switch {
	case r.recordKnown && (r.record.Finished() || r.superseded) && !r.operationPending, r.stopping && !r.operationPending:
		if holds && !r.handedOver {
			r.handedOver = true
			r.claim.Stop() // first stopped, then said
			return Action{Kind: ActionHandOver, Token: token}
		}
		return Action{Kind: ActionStop}
	case !r.leaseRequestPending && holds && r.claim.RenewalDue(now):
		r.leaseRequestPending = true
		return Action{Kind: ActionRenew, RequestID: r.claim.BeginRequest(now), Token: token}
	case r.operationPending:
		return r.waitAction(now)
	case now < r.retryAt:
		return r.waitAction(now)
	case !holds:
		r.recordKnown, r.pendingWrite = false, nil
		if r.leaseRequestPending {
			return r.waitAction(now)
		}
		r.leaseRequestPending = true
		return Action{Kind: ActionAcquire, RequestID: r.claim.BeginRequest(now)}
	case !r.recordKnown:
		r.operationPending = true
		return Action{Kind: ActionReadRecord, Token: token}
	}
	r.operationPending = true
	if r.pendingWrite == nil && r.record.State == StateStarted {
		return Action{Kind: ActionRunStep, Token: token, ID: r.stepID(r.record.Step), Step: r.job.Steps[r.record.Step], Record: r.record}
	}
	if r.pendingWrite == nil { // Done, or nothing yet: the next step is begun
		next := Record{JobID: r.job.ID, State: StateStarted}
		if r.record.State == StateDone {
			next.Step = r.record.Step + 1
		}
		if next.Step == len(r.job.Steps) {
			next.Step, next.State = r.record.Step, StateCompleted
		}
		r.pendingWrite = &next
	}
	return Action{Kind: ActionWriteRecord, Token: token, Record: *r.pendingWrite, Version: r.version, ID: fmt.Sprintf("%s/%d/%d", r.job.ID, token, r.writes)}
}

// stepID is a step's id: the same whoever does it.
func (r *Runner) stepID(i int) string { return fmt.Sprintf("%s/%d", r.job.ID, i) }

// waitAction is until something is to be looked at again.
func (r *Runner) waitAction(now lease.Instant) Action {
	at := now.Add(r.terms.HolderDuration() / 10)
	if r.retryAt > now && r.retryAt < at {
		at = r.retryAt
	}
	return Action{Kind: ActionWait, WakeAt: at}
}

// HandleGrant tells that the duty was granted or renewed.
func (r *Runner) HandleGrant(requestID, token uint64) {
	if was, _ := r.claim.Holds(0); token != was {
		r.recordKnown, r.pendingWrite, r.writes = false, nil, 0 // a new lease begins with reading
	}
	r.leaseRequestPending = false
	r.claim.HandleGrant(requestID, token)
}

// HandleRejection tells that another has the duty, or that this one lost it.
func (r *Runner) HandleRejection(requestID uint64, now lease.Instant) {
	r.leaseRequestPending = false
	r.claim.HandleRejection(requestID)
	r.retryAt = now.Add(r.job.RetryDelay)
}

// HandleLeaseTimeout tells that a question about the lease got no answer; it may have been granted all the same. What is held is
// held on until its end, and asked for again.
func (r *Runner) HandleLeaseTimeout(now lease.Instant) {
	r.leaseRequestPending = false
	if _, holds := r.claim.Holds(now); !holds {
		r.retryAt = now.Add(r.job.RetryDelay)
	}
}

// HandleRecord tells the record, and its version; version 0: there is none. The job is begun only where the one before it has
// ended; a record of any other job ends the runner, which has come too late or too soon.
func (r *Runner) HandleRecord(record Record, version uint64) {
	r.operationPending, r.recordKnown, r.version, r.record = false, true, version, record
	if record.JobID == r.job.ID {
		return
	}
	r.record = Record{}
	r.superseded = record.JobID != r.job.Predecessor || record.JobID != "" && !record.Finished()
}

// HandleWritten tells that what was to be written is on record, under this version.
func (r *Runner) HandleWritten(version uint64) {
	r.operationPending, r.version = false, version
	r.writes++
	if r.pendingWrite != nil {
		r.record, r.pendingWrite = *r.pendingWrite, nil
	}
}

// HandleRecordTimeout tells that a read or write got no answer. A write is asked for again under its id.
func (r *Runner) HandleRecordTimeout(now lease.Instant) {
	r.operationPending = false
	r.retryAt = now.Add(r.job.RetryDelay)
}

// HandleConflict tells that a write was turned down: another has changed the record, or taken the duty. The record is read anew.
func (r *Runner) HandleConflict(now lease.Instant) {
	r.operationPending, r.recordKnown, r.pendingWrite = false, false, nil
	r.writes++ // its id is used up
	r.retryAt = now.Add(r.job.RetryDelay)
}

// HandleStepResult tells how the step ended.
func (r *Runner) HandleStepResult(err error, now lease.Instant) {
	r.operationPending = false
	next := r.record
	if next.State, next.FailureReason = StateDone, ""; err != nil {
		next.State, next.FailureReason = StateStarted, err.Error()
		if next.FailedAttempts++; next.FailedAttempts >= r.job.MaxAttempts {
			next.State = StateFailed
		}
		r.retryAt = now.Add(r.job.RetryDelay)
	}
	r.pendingWrite = &next
}
