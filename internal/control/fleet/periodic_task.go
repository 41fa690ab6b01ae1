package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

// taskKeyPrefix, followed by a task's name, is the key of the record of the task's job (leasedtask.Record).
const taskKeyPrefix = "duty/"

// dueChecksPerInterval is how often per interval of a task a node checks whether a job is due. If the retry delay is
// shorter, it determines the period instead.
const dueChecksPerInterval = 4

// PeriodicTask is a task that one node runs for the fleet, one job per interval.
type PeriodicTask struct {
	Name     string
	Interval time.Duration
	Steps    []string // of each job, in order
	// RunStep runs a step under a fencing token. It is called in a separate goroutine, possibly repeatedly for the
	// same step. It must make its changes under the token.
	RunStep func(ctx context.Context, a leasedtask.Action) error
}

// runPeriodicTask runs the task's jobs when they are due, each only while this node holds the task's lease, until
// the context ends.
func (p *Participant) runPeriodicTask(ctx context.Context, task PeriodicTask) {
	for ctx.Err() == nil {
		record, _, err := p.readTaskRecord(task.Name, true) // may be stale: the runner reads it again, confirmed
		if err != nil {
			p.log.Warn("cannot read the record of a task", fmt.Errorf("%s: %w", task.Name, err))
		} else if job, due := task.nextJob(record, p.options.Now(), p.options.RetryDelay, p.endedHere(task.Name, record)); due {
			p.runJob(ctx, task, job)
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(task.Interval/dueChecksPerInterval, p.options.RetryDelay)):
		}
	}
}

// readTaskRecord reads the record of a task's job, and the document's version: confirmed by a majority, or, with
// local, from the preferred member alone.
func (p *Participant) readTaskRecord(task string, local bool) (record leasedtask.Record, version uint64, err error) {
	key := taskKeyPrefix + task
	var doc document.Document
	if local {
		c, memberIndex := p.preferredClient()
		if doc, _, err = c.Document(key, true); err != nil {
			p.skipMember(memberIndex)
		}
	} else {
		err = p.tryMembers(func(c store.Client) (err error) {
			doc, _, err = c.Document(key, false)
			return err
		})
	}
	if err != nil || doc.Version == 0 {
		return record, 0, err
	}
	return record, doc.Version, json.Unmarshal([]byte(doc.Value), &record)
}

// endedHere reports whether this process ended the job on record.
func (p *Participant) endedHere(task string, record leasedtask.Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return record.JobID != "" && p.endedJobs[task] == record.JobID
}

// markJobEnded records that this process ended a job.
func (p *Participant) markJobEnded(task, jobID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedJobs[task] = jobID
}
