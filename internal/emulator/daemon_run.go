package emulator

import (
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/heap"
	"sloehitch/logic"
)

// daemonRun is the run of one request that the node has started.
type daemonRun struct {
	work          *Work // that is or was on the machine
	startedAt     time.Time
	remainingWork float64 // after the call; 0: there is no call, or it has been made
	call          *dependencyCall
	callTimeout   clock.Timer
	atCall        bool // it waits for its call
	abandoned     bool // its attempt is answered or canceled
}

// daemonRunner runs one attempt on the machine, in the place of a runtime.
type daemonRunner struct {
	*daemonServer
	attempt *Attempt
}

// Start starts a run.
func (r daemonRunner) Start(id, _ string, _ []byte, _ bool) {
	run := &daemonRun{startedAt: r.environment.Clock.Now()}
	r.runs[id] = run
	r.environment.OnRunStarted(r.attempt)
	if r.environment.dependency == nil || !r.environment.Settings.Classes[r.attempt.Class].CallsDependency {
		run.work = r.environment.Machine.Add(r.attempt.Work, func() { r.finish(id, run) })
		return
	}
	run.remainingWork = r.attempt.Work / 2
	run.work = r.environment.Machine.Add(r.attempt.Work/2, func() {
		run.atCall = true
		if run.abandoned {
			r.abandon(id)
			return
		}
		r.lastCallID++
		r.node.CallRequested(id, uint64(r.lastCallID), nil)
	})
}

// Stop cancels a run. One that waits for its call ends by abandon.
func (r daemonRunner) Stop(id string) {
	run := r.runs[id]
	if run == nil || run.work.index == heap.NotInHeap {
		return
	}
	r.environment.Machine.Remove(run.work)
	r.endCanceled(id, run)
}

// Resume does nothing: runs are not paused.
func (r daemonRunner) Resume(string) {}

// DeliverReply resumes a run that waits for its call.
func (r daemonRunner) DeliverReply(id string, _ []byte) { r.resume(id) }

// SkipCall resumes a run that waits for its call.
func (r daemonRunner) SkipCall(id string, _ uint64) { r.resume(id) }

// abandon marks a run whose attempt is answered or canceled. It ends at its call, now or when it gets there.
func (d *daemonServer) abandon(id string) {
	run := d.runs[id]
	if run == nil {
		return
	}
	run.abandoned = true
	if run.atCall {
		d.endCanceled(id, run)
	}
}

func (d *daemonServer) endCanceled(id string, run *daemonRun) {
	delete(d.runs, id)
	d.environment.Clock.AfterFunc(0, func() {
		d.node.RunEnded(id, logic.OutcomeCanceled, d.environment.Clock.Now().Sub(run.startedAt), nil)
	})
}

func (d *daemonServer) finish(id string, run *daemonRun) {
	delete(d.runs, id)
	d.node.RunEnded(id, logic.OutcomeOK, d.environment.Clock.Now().Sub(run.startedAt), nil)
}

// resume does the rest of a run's work after its call.
func (d *daemonServer) resume(id string) {
	run := d.runs[id]
	if run == nil || run.remainingWork <= 0 {
		return
	}
	remaining := run.remainingWork
	run.remainingWork, run.atCall = 0, false
	d.environment.Clock.AfterFunc(0, func() { run.work = d.environment.Machine.Add(remaining, func() { d.finish(id, run) }) })
}

// dependencyCaller makes the node's calls to the simulated dependency.
type dependencyCaller struct{ *daemonServer }

// Call makes a call for a run; done gets its outcome, or that it took longer than timeout.
func (c dependencyCaller) Call(id string, timeout time.Duration, _ []byte, _ bool, done func(outcome admission.Outcome, took time.Duration, reply []byte)) {
	run := c.runs[id]
	if run == nil {
		return
	}
	c.environment.Clock.AfterFunc(0, func() {
		run.call = c.environment.dependency.call(func(outcome logic.Outcome, took time.Duration) {
			run.callTimeout.Stop()
			done(outcome, took, nil)
		})
		call := run.call
		run.callTimeout = c.environment.Clock.AfterFunc(timeout, func() {
			c.environment.dependency.cancel(call)
			done(logic.OutcomeTimedOut, timeout, nil)
		})
	})
}

// Cancel cancels a run's call.
func (c dependencyCaller) Cancel(id string) {
	if run := c.runs[id]; run != nil && run.call != nil {
		c.environment.dependency.cancel(run.call)
		run.callTimeout.Stop()
	}
}
