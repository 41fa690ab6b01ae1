// Package leasedtask decides how a job of the fleet is carried out step by step under a lease: what to request from
// the store, when to run a step, and where the next owner resumes. It performs no I/O and reads no clock: its driver
// carries out the actions that Runner.NextAction returns and reports their results to the runner.
//
// The parts:
//
//   - Job, Record (this file): the work, and its progress as the store keeps it.
//   - Runner (runner.go): one candidate for a job, and the results that its driver reports.
//   - next.go: the rule for a candidate's next action.
//   - handover.go: the rule for the voluntary hand-over of the lease.
//
// Each step is recorded as started before it is run, and as done afterwards, both under the lease's fencing token.
// The next owner reads the record and repeats a step that was started, with the same step id, so that the step's
// receiver recognizes the repetition. The receiver rejects a superseded owner by its token (package fencing).
package leasedtask

import (
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
)

// Job is a sequence of steps that the fleet carries out once.
type Job struct {
	ID          string // unique to the job; the ids of its steps are derived from it
	Predecessor string // the job that must be on record as finished before; empty: none
	Steps       []string
	MaxAttempts int           // attempts at one step, after which the job has failed
	RetryDelay  time.Duration // after a failed or unanswered operation, and before the next request for a lease that another holds
}

// State is the progress of a step or a job.
type State string

// States of a record. The zero value means that the job was not started.
const (
	StateStarted   State = "begun"  // the step was or will be run
	StateDone      State = "done"   // the step is done
	StateCompleted State = "over"   // all steps are done
	StateFailed    State = "failed" // a step failed Job.MaxAttempts times; the job is not resumed
)

// Record is the progress of a job as the store keeps it.
type Record struct {
	JobID          string `json:"job"`
	Step           int    `json:"step"`
	State          State  `json:"state"`
	FailedAttempts int    `json:"tries,omitempty"` // failed attempts at this step
	FailureReason  string `json:"why,omitempty"`   // error of the last failed attempt
}

// Finished reports whether the job has completed or failed.
func (r Record) Finished() bool { return r.State == StateCompleted || r.State == StateFailed }

// errNotResumable means that a record does not describe the progress of its job, as after a change of the job's steps.
var errNotResumable = errors.New("the job can't be resumed from its record")

// checkResumable returns an error for a record of this job that has neither finished nor names one of its steps.
func (j Job) checkResumable(r Record) error {
	switch {
	case r.Finished():
		return nil
	case r.State != StateStarted && r.State != StateDone:
		return fmt.Errorf("%w: unknown state %q", errNotResumable, r.State)
	case r.Step < 0 || r.Step >= len(j.Steps):
		return fmt.Errorf("%w: step %d, but the job has %d steps", errNotResumable, r.Step, len(j.Steps))
	}
	return nil
}

// ActionKind is the kind of an action.
type ActionKind int

// Kinds of actions.
const (
	ActionWait        ActionKind = iota // do nothing until Action.WakeAt or the next reported result
	ActionAcquire                       // request the lease; report with HandleGrant, HandleRejection or HandleLeaseTimeout
	ActionRenew                         // renew the lease; report as for ActionAcquire
	ActionReadRecord                    // read the record, confirmed by a majority; report with HandleRecord or HandleRecordTimeout
	ActionWriteRecord                   // write Action.Record if Action.Version and Action.Token are still current; report with HandleWritten, HandleConflict or HandleRecordTimeout
	ActionRunStep                       // run the step; report with HandleStepResult
	ActionHandOver                      // release the lease; the result need not be reported
	ActionStop                          // stop the runner: the job has finished, was stopped, or does not follow the job on record
)

// Action is the next action that the driver of a runner must carry out.
type Action struct {
	Kind      ActionKind
	RequestID uint64 // for ActionAcquire and ActionRenew: must be reported with the result
	Token     uint64
	Record    Record
	Version   uint64
	ID        string // for ActionWriteRecord and ActionRunStep: the same for all attempts at one write or step
	Step      string
	WakeAt    lease.Instant
}

// stepID returns a step's id, which is the same for every owner that runs the step.
func (j Job) stepID(step int) string { return fmt.Sprintf("%s/%d", j.ID, step) }

// writeID returns the id of the nth write of a job's record under a token.
func (j Job) writeID(token uint64, n int) string { return fmt.Sprintf("%s/%d/%d", j.ID, token, n) }
