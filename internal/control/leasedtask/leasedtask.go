// Package leasedtask decides how fleet work goes on in steps under a lease: what to ask of the store, when to run a step, and
// where the next owner resumes. It performs no I/O and reads no clock: its driver carries out the actions that Runner.NextAction
// returns and reports their results to the runner.
//
// The parts:
//
//   - Job, Record (this file): the work, and its progress as the store keeps it.
//   - Runner (runner.go): one candidate for a job; the results that its driver reports.
//   - next.go: the rule for a candidate's next action.
//   - handover.go: the rule for the voluntary hand-over of the lease.
//
// Each step is on record as started before it is run, and as done after, both under the lease's fencing token. The next owner
// reads the record and runs a step that was started once more, under the step's own id, by which its receiver recognizes a
// repeat. The receiver rejects an owner that was overtaken by its token (package fencing).
package leasedtask

import (
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
)

// Job is a piece of work.
type Job struct {
	ID          string // new with each job; the ids of its steps follow from it
	Predecessor string // the job that must have finished on record before; empty: there is none
	Steps       []string
	MaxAttempts int           // of one step, after which the job has failed
	RetryDelay  time.Duration // after a failed step, and before a request for a lease that another holds
}

// State is the progress of a step or a job.
type State string

// States of a record. The zero value stands for a job that nobody has started.
const (
	StateStarted   State = "begun"  // the step was or will be run
	StateDone      State = "done"   // the step is done
	StateCompleted State = "over"   // all steps are done
	StateFailed    State = "failed" // a step failed Job.MaxAttempts times; the job is not resumed
)

// Record is a job as the store keeps it.
type Record struct {
	JobID          string `json:"job"`
	Step           int    `json:"step"`
	State          State  `json:"state"`
	FailedAttempts int    `json:"tries,omitempty"` // of this step
	FailureReason  string `json:"why,omitempty"`   // of the last failed attempt
}

// Finished reports whether nothing is left to do.
func (r Record) Finished() bool { return r.State == StateCompleted || r.State == StateFailed }

// ActionKind is what the driver of a runner has to do.
type ActionKind int

// Kinds of actions.
const (
	ActionWait        ActionKind = iota // nothing before Action.WakeAt, unless a result is reported
	ActionAcquire                       // request the lease; report HandleGrant, HandleRejection or HandleLeaseTimeout
	ActionRenew                         // renew the lease; report as for ActionAcquire
	ActionReadRecord                    // read the record, confirmed by a majority; report HandleRecord or HandleRecordTimeout
	ActionWriteRecord                   // write Action.Record if its version is still Action.Version and the lease's token still Action.Token; report HandleWritten, HandleConflict or HandleRecordTimeout
	ActionRunStep                       // run the step; report HandleStepResult
	ActionHandOver                      // release the lease; the result need not be reported
	ActionStop                          // nothing any more: the job has finished, was stopped, or does not follow the one on record
)

// Action is what the driver of a runner has to do next.
type Action struct {
	Kind      ActionKind
	RequestID uint64 // of ActionAcquire and ActionRenew: to be reported with the result
	Token     uint64
	Record    Record
	Version   uint64
	ID        string // of ActionWriteRecord and ActionRunStep: the same for each attempt of one
	Step      string
	WakeAt    lease.Instant
}

// stepID returns a step's id: the same whoever runs it.
func (j Job) stepID(step int) string { return fmt.Sprintf("%s/%d", j.ID, step) }

// writeID returns the id of the nth write of a job's record under a token.
func (j Job) writeID(token uint64, n int) string { return fmt.Sprintf("%s/%d/%d", j.ID, token, n) }
