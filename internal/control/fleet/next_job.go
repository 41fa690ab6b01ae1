package fleet

import (
	"fmt"
	"time"

	"sloehitch/internal/control/leasedtask"
)

// When a job of a periodic task is due.
//
// Inputs: the task's interval, the time of day (Unix), the job on record, and whether this node ended it.
// Time is divided into slots of one interval; the job of slot floor(now / interval) has an ID that grows with
// it.
//
//   - A job on record that has not ended is due, whatever its slot.
//   - Otherwise the job of the current slot is due if its ID is higher than that on record. A node that did
//     not end the last job, if that is of the slot before, waits for the second half of the slot.
//
// Why: a clock that was set back starts nothing, since IDs only grow. Waiting keeps a task on the node that
// has seen to it, and keeps nodes from asking all at once. Slots only name jobs; that one node alone runs a
// job is the lease's matter.

// maxStepAttempts is how often a step may fail before its job has failed.
const maxStepAttempts = 5

// slot returns the number of the interval that a time is in.
func (t *PeriodicTask) slot(now time.Time) int64 { return now.UnixNano() / int64(t.Interval) }

// jobID returns the ID of a slot's job. IDs sort by slot.
func (t *PeriodicTask) jobID(slot int64) string { return fmt.Sprintf("%s-%020d", t.Name, slot) }

// nextJob returns the job that is to be run next, and whether it is due. endedHere says that this node ended
// the job on record.
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
