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
	work          *Work // the run's current or last piece of work on the machine
	startedAt     time.Time
	remainingWork float64 // to do after the call; 0: the run makes no call, or the call has ended
	call          *dependencyCall
	callTimeout   clock.Timer
	awaitingCall  bool // the run waits for its call
	abandoned     bool // its attempt has been answered or canceled
}

// daemonRunner runs one attempt on the simulated machine in place of a runtime.
type daemonRunner struct {
	*daemonServer
	attempt *Attempt
}

// Start starts the run of the attempt.
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
		run.awaitingCall = true
		if run.abandoned {
			r.abandon(id)
			return
		}
		r.lastCallID++
		r.node.CallRequested(id, uint64(r.lastCallID), nil)
	})
}

// Stop cancels a run that is on the machine. A run that waits for its call is ended by abandon instead.
func (r daemonRunner) Stop(id string) {
	run := r.runs[id]
	if run == nil || run.work.index == heap.NotInHeap {
		return
	}
	r.environment.Machine.Remove(run.work)
	r.endCanceled(id, run)
}

// Resume does nothing, because simulated runs are not paused.
func (r daemonRunner) Resume(string) {}

// DeliverReply resumes a run that waits for its call.
func (r daemonRunner) DeliverReply(id string, _ []byte) { r.resume(id) }

// SkipCall resumes a run that waits for its call.
func (r daemonRunner) SkipCall(id string, _ uint64) { r.resume(id) }

// abandon marks a run whose attempt has been answered or canceled. The run ends at once if it waits for its call, and
// otherwise when it reaches the call.
func (d *daemonServer) abandon(id string) {
	run := d.runs[id]
	if run == nil {
		return
	}
	run.abandoned = true
	if run.awaitingCall {
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

// resume starts the work that a run does after its call.
func (d *daemonServer) resume(id string) {
	run := d.runs[id]
	if run == nil || run.remainingWork <= 0 {
		return
	}
	remaining := run.remainingWork
	run.remainingWork, run.awaitingCall = 0, false
	d.environment.Clock.AfterFunc(0, func() { run.work = d.environment.Machine.Add(remaining, func() { d.finish(id, run) }) })
}

// dependencyCaller makes the node's calls to the simulated dependency. It is the node's client of the dependency.
type dependencyCaller struct{ *daemonServer }

// Call makes a call for a run. It passes the outcome to done, which is logic.OutcomeTimedOut if the call takes longer
// than timeout.
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
