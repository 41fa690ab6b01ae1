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

// dueChecksPerInterval is how often in a task's interval a node looks whether a job is due, if the retry delay is not shorter.
const dueChecksPerInterval = 4

// PeriodicTask is a task that one node runs for the fleet, one job in each interval.
type PeriodicTask struct {
	Name     string
	Interval time.Duration
	Steps    []string // of each job, in order
	// RunStep runs a step under a fencing token. It is called in a goroutine of its own, and may be called
	// again for a step that was run before. It must make its changes under the token.
	RunStep func(ctx context.Context, a leasedtask.Action) error
}

// runPeriodicTask runs the task's jobs when they are due and this node holds the lease, until the context ends.
func (p *Participant) runPeriodicTask(ctx context.Context, task PeriodicTask) {
	for ctx.Err() == nil {
		record, _, err := p.readTaskRecord(task.Name, true) // may be old: the runner reads it again, confirmed
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

// readTaskRecord reads how far a task's job is, and the document's version: confirmed by a majority, or
// (local) as the preferred member has it.
func (p *Participant) readTaskRecord(task string, local bool) (record leasedtask.Record, version uint64, err error) {
	key := taskKeyPrefix + task
	var doc document.Document
	if local {
		c, turn := p.preferredClient()
		if doc, _, err = c.Document(key, true); err != nil {
			p.skipMember(turn)
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

// endedHere says whether this process ended the job on record.
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
