package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// jobRun drives the runner of one job. Its actions are carried out in separate goroutines, so that the lease is
// renewed while a step runs. They hand their results to run by deliver, so only one goroutine uses the runner.
type jobRun struct {
	*Participant
	task    PeriodicTask
	runner  *leasedtask.Runner
	results chan func() // each function hands one result to the runner
	ended   chan struct{}
}

// runJob acquires the task's lease and runs the job's steps while this node holds it, until the runner stops.
func (p *Participant) runJob(ctx context.Context, task PeriodicTask, job leasedtask.Job) {
	runner, err := leasedtask.NewRunner(job, p.options.LeaseTerms)
	if err != nil {
		p.log.Warn("cannot run a task's job", err)
		return
	}
	r := &jobRun{Participant: p, task: task, runner: runner, results: make(chan func()), ended: make(chan struct{})}
	defer close(r.ended)
	r.run(ctx, job)
}

// run carries out the runner's actions until it stops.
func (r *jobRun) run(ctx context.Context, job leasedtask.Job) {
	done := ctx.Done()
	for {
		action := r.runner.NextAction(r.clock())
		var wake <-chan time.Time
		switch action.Kind {
		case leasedtask.ActionStop:
			if record, known := r.runner.Record(); known && record.Finished() && record.JobID == job.ID {
				r.markJobEnded(r.task.Name, job.ID)
			}
			return
		case leasedtask.ActionHandOver:
			r.handOverLease(r.task.Name, action.Token, job.ID)
			continue
		case leasedtask.ActionWait:
			wake = time.After(time.Duration(action.WakeAt - r.clock()))
		default:
			go r.carryOut(ctx, action)
			continue
		}
		select {
		case result := <-r.results:
			result()
		case <-wake:
		case <-done:
			done = nil
			r.runner.StopAfterStep()
		}
	}
}

// deliver hands a result to the runner, unless the run has ended.
func (r *jobRun) deliver(result func()) {
	select {
	case r.results <- result:
	case <-r.ended:
	}
}

// carryOut carries out an action and delivers its result.
func (r *jobRun) carryOut(ctx context.Context, a leasedtask.Action) {
	switch a.Kind {
	case leasedtask.ActionAcquire:
		r.requestJobLease(a, store.LeaseRequest{Action: leaseAcquire, Holder: r.options.Name})
	case leasedtask.ActionRenew:
		r.requestJobLease(a, store.LeaseRequest{Action: leaseRenew, Holder: r.options.Name, Token: a.Token})
	case leasedtask.ActionReadRecord:
		r.readRecord()
	case leasedtask.ActionWriteRecord:
		r.writeRecord(a)
	case leasedtask.ActionRunStep:
		r.runStep(ctx, a)
	}
}

func (r *jobRun) requestJobLease(a leasedtask.Action, request store.LeaseRequest) {
	record, err := r.requestLease(r.task.Name, request)
	switch {
	case err == nil:
		r.deliver(func() {
			r.runner.HandleGrant(a.RequestID, record.Token)
			r.options.OnEvent(faulthooks.Event{What: eventLeaseHeld, Duty: r.task.Name, N: record.Token, Until: r.runner.LeaseValidUntil()})
		})
	case errors.Is(err, store.ErrConflict):
		r.deliver(func() { r.runner.HandleRejection(a.RequestID, r.clock()) })
	default:
		r.deliver(func() { r.runner.HandleLeaseTimeout(r.clock()) })
	}
}

func (r *jobRun) readRecord() {
	record, version, err := r.readTaskRecord(r.task.Name, false)
	if err != nil {
		r.deliver(func() { r.runner.HandleRecordTimeout(r.clock()) })
		return
	}
	r.deliver(func() { r.runner.HandleRecord(record, version) })
}

func (r *jobRun) writeRecord(a leasedtask.Action) {
	text, err := json.Marshal(a.Record)
	if err != nil { // strings and numbers always marshal
		panic(err)
	}
	key := taskKeyPrefix + r.task.Name
	result, err := r.transact(document.Transaction{ID: a.ID, Author: r.options.Name, Reason: fmt.Sprintf("step %d %s", a.Record.Step, a.Record.State),
		Conditions: []document.Condition{{Task: r.task.Name, Token: a.Token}, {Key: key, Version: a.Version}},
		Operations: []document.Operation{{Key: key, Value: string(text)}}})
	switch {
	case err == nil:
		r.deliver(func() { r.runner.HandleWritten(result.Revision) })
	case errors.Is(err, store.ErrConflict):
		r.deliver(func() { r.runner.HandleConflict(r.clock()) })
	default:
		r.deliver(func() { r.runner.HandleRecordTimeout(r.clock()) })
	}
}

func (r *jobRun) runStep(ctx context.Context, a leasedtask.Action) {
	r.options.OnEvent(faulthooks.Event{What: eventStepRun, Duty: r.task.Name, ID: a.ID, N: a.Token})
	err := r.task.RunStep(ctx, a)
	if err != nil {
		r.log.Warn("task step failed", fmt.Errorf("%s: %w", a.ID, err))
	}
	r.deliver(func() { r.runner.HandleStepResult(err, r.clock()) })
}
