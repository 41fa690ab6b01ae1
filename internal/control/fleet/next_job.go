package fleet

import (
	"fmt"
	"time"

	"sloehitch/internal/control/leasedtask"
)

// When a job of a periodic task is due.
//
// Inputs: the task's interval, the Unix time, the job on record, and whether this node ended that job. Time is
// divided into slots of one interval. The job of a slot has an ID that grows with the slot's number,
// floor(now / interval).
//
//   - A job on record that has not ended is due, whatever its slot.
//   - Otherwise the job of the current slot is due if its ID is higher than the ID on record. If the job on record
//     is of the previous slot, a node that did not end it waits for the second half of the current slot.
//
// Why: a clock that was set back starts no job, because IDs only grow. The wait keeps a task on the node that ran
// it last, and prevents all nodes from requesting the lease at once. Slots only determine the names of jobs: the
// lease ensures that only one node runs a job.

// maxStepAttempts is how often a step may fail before its job fails.
const maxStepAttempts = 5

// slot returns the number of the slot that contains a time.
func (t *PeriodicTask) slot(now time.Time) int64 { return now.UnixNano() / int64(t.Interval) }

// jobID returns the ID of a slot's job. IDs sort by slot.
func (t *PeriodicTask) jobID(slot int64) string { return fmt.Sprintf("%s-%020d", t.Name, slot) }

// nextJob returns the next job, and whether it is due. endedHere is set if this node ended the job on record.
func (t *PeriodicTask) nextJob(record leasedtask.Record, now time.Time, retryDelay time.Duration, endedHere bool) (job leasedtask.Job, due bool) {
	job = leasedtask.Job{ID: record.JobID, Steps: t.Steps, MaxAttempts: maxStepAttempts, RetryDelay: retryDelay}
	if record.JobID != "" && !record.Finished() {
		return job, true
	}
	slot := t.slot(now)
	job.ID, job.Predecessor = t.jobID(slot), record.JobID
	firstHalf := now.UnixNano()%int64(t.Interval) < int64(t.Interval/2)
	if !endedHere && record.JobID != "" && firstHalf && record.JobID >= t.jobID(slot-1) {
		return job, false
	}
	return job, job.ID > record.JobID
}
