package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// PeriodicTask is work that one node does for all, once in each span of time.
type PeriodicTask struct {
	Name     string
	Interval time.Duration
	Steps    []string
	// RunStep does a step under a token, in its own goroutine, and may be called again for a step that was done. What it changes
	// it changes under the token.
	RunStep func(ctx context.Context, a leasedtask.Action) error
}

// slot is the span of time that now is in. It names jobs; who may do one is the lease's matter.
func (d *PeriodicTask) slot(now time.Time) int64 { return now.UnixNano() / int64(d.Interval) }

// nextJob is what is to be done next, if anything is due: what was begun, or a job for this span. Who did the last one begins at once;
// others give it half of the span, so that the duty stays where what was seen for it is, and not all ask at once.
func (d *PeriodicTask) nextJob(on leasedtask.Record, now time.Time, pause time.Duration, mine bool) (leasedtask.Job, bool) {
	j := leasedtask.Job{ID: on.JobID, Steps: d.Steps, MaxAttempts: maxStepAttempts, RetryDelay: pause}
	if on.JobID != "" && !on.Finished() {
		return j, true
	}
	j.ID, j.Predecessor = fmt.Sprintf("%s-%020d", d.Name, d.slot(now)), on.JobID
	if !mine && on.JobID != "" && now.UnixNano()%int64(d.Interval) < int64(d.Interval/2) && on.JobID >= fmt.Sprintf("%s-%020d", d.Name, d.slot(now)-1) {
		return j, false
	}
	return j, j.ID > on.JobID // a clock that was set back begins nothing anew
}

// maxStepAttempts is how often a step may fail before its job has failed.
const maxStepAttempts = 5

// runPeriodicTask takes this node's turn at a duty until the context ends.
func (f *Participant) runPeriodicTask(ctx context.Context, d PeriodicTask) {
	for ctx.Err() == nil {
		on, _, err := f.readTaskRecord(d.Name, true) // an old one costs a question in vain, since the runner reads it anew
		if job, due := d.nextJob(on, f.options.Now(), f.options.RetryDelay, on.JobID != "" && f.endedJob(d.Name) == on.JobID); err != nil {
			f.log.Warn("the record of a duty can't be read", fmt.Errorf("%s: %w", d.Name, err))
		} else if due {
			f.runJob(ctx, d, job)
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(d.Interval/4, f.options.RetryDelay)):
		}
	}
}

// readTaskRecord reads how far a duty's job is: confirmed by a majority, or as the member that is asked first has it.
func (f *Participant) readTaskRecord(name string, local bool) (r leasedtask.Record, version uint64, err error) {
	var doc document.Document
	if local {
		c, turn := f.preferredClient()
		if doc, _, err = c.Document(taskKeyPrefix+name, true); err != nil {
			f.skipMember(turn)
		}
	} else {
		err = f.tryMembers(func(c store.Client) (err error) {
			doc, _, err = c.Document(taskKeyPrefix+name, false)
			return err
		})
	}
	if err != nil || doc.Version == 0 {
		return r, 0, err
	}
	return r, doc.Version, json.Unmarshal([]byte(doc.Value), &r)
}

// runJob drives a runner until it stops. What it asks for is done in goroutines of their own, so that a lease is renewed
// while a step goes on; what comes of it is told to the runner here.
func (f *Participant) runJob(ctx context.Context, d PeriodicTask, j leasedtask.Job) {
	r, err := leasedtask.NewRunner(j, f.options.LeaseTerms)
	if err != nil {
		f.log.Warn("a duty can't be done", err)
		return
	}
	told := make(chan func())
	over := make(chan struct{})
	defer close(over)
	tell := func(what func()) {
		select {
		case told <- what:
		case <-over:
		}
	}
	done := ctx.Done()
	for {
		a := r.NextAction(f.clock())
		var again <-chan time.Time
		switch a.Kind {
		case leasedtask.ActionStop:
			if on, known := r.Record(); known && on.Finished() && on.JobID == j.ID {
				f.markJobEnded(d.Name, j.ID)
			}
			return
		case leasedtask.ActionHandOver:
			f.options.OnEvent(faulthooks.Event{What: "gives", Duty: d.Name, N: a.Token})
			_, err := f.requestLease(d.Name, store.LeaseRequest{Action: "hand-over", Holder: f.options.Name, Token: a.Token, Reason: j.ID})
			f.options.Log.Debug("a duty was handed over", "duty", d.Name, "token", a.Token, "error", err)
			continue
		case leasedtask.ActionWait:
			again = time.After(time.Duration(a.WakeAt - f.clock()))
		default:
			go f.carryOut(ctx, d, r, a, tell)
			continue
		}
		select {
		case what := <-told:
			what()
		case <-again:
		case <-done:
			done = nil
			r.StopAfterStep()
		}
	}
}

// endedJob is the job of a duty that this node ended last.
func (f *Participant) endedJob(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endedJobs[name]
}

// markJobEnded notes that this node ended a duty's job.
func (f *Participant) markJobEnded(name, job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endedJobs[name] = job
}

// carryOut does what a runner asks for, and tells it what came of it.
func (f *Participant) carryOut(ctx context.Context, d PeriodicTask, r *leasedtask.Runner, a leasedtask.Action, tell func(func())) {
	switch a.Kind {
	case leasedtask.ActionAcquire, leasedtask.ActionRenew:
		q := store.LeaseRequest{Action: "take", Holder: f.options.Name}
		if a.Kind == leasedtask.ActionRenew {
			q.Action, q.Token = "renew", a.Token
		}
		rec, err := f.requestLease(d.Name, q)
		switch {
		case err == nil:
			tell(func() {
				r.HandleGrant(a.RequestID, rec.Token)
				f.options.OnEvent(faulthooks.Event{What: "holds", Duty: d.Name, N: rec.Token, Until: r.LeaseValidUntil()})
			})
		case errors.Is(err, store.ErrConflict):
			tell(func() { r.HandleRejection(a.RequestID, f.clock()) })
		default:
			tell(func() { r.HandleLeaseTimeout(f.clock()) })
		}
	case leasedtask.ActionReadRecord:
		rec, version, err := f.readTaskRecord(d.Name, false)
		if err != nil {
			tell(func() { r.HandleRecordTimeout(f.clock()) })
			return
		}
		tell(func() { r.HandleRecord(rec, version) })
	case leasedtask.ActionWriteRecord:
		text, err := json.Marshal(a.Record)
		if err != nil { // strings and numbers always marshal
			panic(err)
		}
		made, err := f.transact(document.Transaction{ID: a.ID, Author: f.options.Name, Reason: fmt.Sprintf("step %d %s", a.Record.Step, a.Record.State),
			Conditions: []document.Condition{{Task: d.Name, Token: a.Token}, {Key: taskKeyPrefix + d.Name, Version: a.Version}},
			Operations: []document.Operation{{Key: taskKeyPrefix + d.Name, Value: string(text)}}})
		switch {
		case err == nil:
			tell(func() { r.HandleWritten(made.Revision) })
		case errors.Is(err, store.ErrConflict):
			tell(func() { r.HandleConflict(f.clock()) })
		default:
			tell(func() { r.HandleRecordTimeout(f.clock()) })
		}
	case leasedtask.ActionRunStep:
		f.options.OnEvent(faulthooks.Event{What: "does", Duty: d.Name, ID: a.ID, N: a.Token})
		err := d.RunStep(ctx, a)
		if err != nil {
			f.log.Warn("a step failed", fmt.Errorf("%s: %w", a.ID, err))
		}
		tell(func() { r.HandleStepResult(err, f.clock()) })
	}
}

// requestLease asks one member about a duty; the next question goes to the next one where that gave no answer.
func (f *Participant) requestLease(name string, q store.LeaseRequest) (lease.Record, error) {
	c, turn := f.preferredClient()
	rec, err := c.RequestLease(name, q)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		f.skipMember(turn)
	}
	return rec, err
}

// transact asks members for a transaction until one says whether it was made.
func (f *Participant) transact(t document.Transaction) (r document.Result, err error) {
	err = f.tryMembers(func(c store.Client) (err error) {
		r, err = c.Commit(t)
		return err
	})
	return r, err
}

// documents reads from the first member that can confirm it.
func (f *Participant) documents(prefix string) (docs []document.Document, err error) {
	err = f.tryMembers(func(c store.Client) (err error) {
		docs, _, err = c.Documents(prefix, false)
		return err
	})
	return docs, err
}
