package emulator

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/heap"
	"sloehitch/internal/platform/limits"
	"sloehitch/logic"
)

// Attempt is one request to one node.
type Attempt struct {
	ID             string
	RequestID      string // the ID of the first try of the same request
	Class          int
	Tenant         int
	MemoryKB       float64
	Work           float64       // to do, in seconds of a core of speed 1
	WorkHint       time.Duration // what the caller says of it; rough
	SentAt         time.Time     // by its caller
	ArrivedAt      time.Time     // to its node's machine, where it may stand unread
	Deadline       time.Time     // when its caller gives up
	IsRetry        bool
	CallerID       int
	IdempotencyKey string // of a keyed class
}

// Server is what decides on one machine. Its methods are called from the clock, and its answers may come before they
// return.
type Server interface {
	// Submit gives it a try; answer is to be called once, unless Gone comes first.
	Submit(t *Attempt, answer func(node.Response))
	// Cancel tells that nobody waits any more.
	Cancel(t *Attempt)
	// Drain is the notice that it is to stop after the given time.
	Drain(left time.Duration)
	// InFlight are the requests that run and that are held.
	InFlight() (running, held int)
}

// Environment is what a server is made in.
type Environment struct {
	Clock    *clock.Virtual
	Machine  *Machine
	Settings logic.Settings
	// OnRunStarted is to be called as a try's run is started.
	OnRunStarted func(*Attempt)

	dependency *sharedDependency // what runs of classes that call it call; nil: nothing
}

// run does a try's work: all of it, or with a call half way. done is told how it ended.
func (s Environment) run(t *Attempt, done func(o logic.Outcome)) {
	if s.dependency == nil || !s.Settings.Classes[t.Class].CallsDependency {
		s.Machine.Add(t.Work, func() { done(logic.OutcomeOK) })
		return
	}
	s.Machine.Add(t.Work/2, func() {
		s.dependency.call(func(o logic.Outcome, _ time.Duration) {
			if o != logic.OutcomeOK {
				done(logic.OutcomeFailed)
				return
			}
			s.Machine.Add(t.Work/2, func() { done(logic.OutcomeOK) })
		})
	})
}

// NewPolicy makes servers by name: "sloehitch" is the daemon's core and decisions; the others are small and stand for
// what is commonly done. parameter is how many run for each core, where the policy has such a limit.
func NewPolicy(name string, parameter float64) (func(Environment) Server, error) {
	if name == "sloehitch" {
		return newDaemonServer, nil
	}
	limited := map[string]func(q *limitedQueue){
		"fixed":    func(q *limitedQueue) { q.queueLimit = q.concurrencyLimit }, // so many run, as many wait, first come, first served
		"codel":    func(q *limitedQueue) { q.queueLimit, q.drop = 1<<30, (&codel{}).drop },
		"worth":    func(q *limitedQueue) { q.queueLimit, q.byPriority = q.concurrencyLimit, true },
		"gradient": func(q *limitedQueue) { q.queueLimit, q.adapt = q.concurrencyLimit, (&gradient{}).adapt },
	}
	set, ok := limited[name]
	switch {
	case name == "none": // all that comes runs at once
		return func(s Environment) Server { return newLimitedQueue(s, 1<<30) }, nil
	case name == "fifo": // one for each core, and an endless queue
		return func(s Environment) Server {
			q := newLimitedQueue(s, s.Settings.Cores)
			q.queueLimit = 1 << 30
			return q
		}, nil
	case !ok:
		return nil, fmt.Errorf("no policy %q: sloehitch, none, fifo, fixed, codel, worth or gradient", name)
	case parameter <= 0:
		return nil, fmt.Errorf("policy %s: a parameter above 0 is wanted: how many run for each core", name)
	}
	return func(s Environment) Server {
		q := newLimitedQueue(s, max(1, int(parameter*float64(s.Settings.Cores))))
		set(q)
		return q
	}, nil
}

// limitedQueue runs so many at once and has so many wait.
type limitedQueue struct {
	environment                  Environment
	concurrencyLimit, queueLimit int
	byPriority                   bool                                                   // of those that wait the most worthy run first, and the least worthy go first
	drop                         func(q *limitedQueue, waited time.Duration) bool       // whether who waited so long is turned away as its turn comes; nil: none is
	adapt                        func(q *limitedQueue, running int, took time.Duration) // the limit, by how long a run took beside so many; nil: it stays
	waiting                      []*queuedAttempt
	open                         map[*Attempt]*queuedAttempt
	running                      int
}

type queuedAttempt struct {
	attempt   *Attempt
	answer    func(node.Response)
	arrivedAt time.Time
	canceled  bool
}

func newLimitedQueue(s Environment, most int) *limitedQueue {
	return &limitedQueue{environment: s, concurrencyLimit: most, open: map[*Attempt]*queuedAttempt{}}
}

func (q *limitedQueue) Submit(t *Attempt, answer func(node.Response)) {
	r := &queuedAttempt{attempt: t, answer: answer, arrivedAt: q.environment.Clock.Now()}
	q.open[t] = r
	if q.running < q.concurrencyLimit {
		q.start(r)
		return
	}
	q.waiting = append(q.waiting, r)
	if len(q.waiting) <= q.queueLimit {
		return
	}
	last := len(q.waiting) - 1
	if q.byPriority {
		for i, r := range q.waiting { // the least worthy, the latest of them
			if less, same := q.weight(r) < q.weight(q.waiting[last]), q.weight(r) == q.weight(q.waiting[last]); less || same && i > last {
				last = i
			}
		}
	}
	q.reject(q.removeAt(last))
}

func (q *limitedQueue) weight(r *queuedAttempt) float64 {
	return q.environment.Settings.Classes[r.attempt.Class].PriorityWeight
}

// removeAt takes one of those that wait out of the queue.
func (q *limitedQueue) removeAt(i int) *queuedAttempt {
	r := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return r
}

func (q *limitedQueue) reject(r *queuedAttempt) {
	if delete(q.open, r.attempt); !r.canceled {
		r.answer(node.Response{Status: node.StatusRejected})
	}
}

func (q *limitedQueue) start(r *queuedAttempt) {
	q.running++
	beside, began := q.running, q.environment.Clock.Now()
	q.environment.OnRunStarted(r.attempt)
	q.environment.run(r.attempt, func(o logic.Outcome) {
		q.running--
		if delete(q.open, r.attempt); !r.canceled {
			kind := node.StatusServed
			if o != logic.OutcomeOK {
				kind = node.StatusFailed
			}
			r.answer(node.Response{Status: kind})
		}
		if q.adapt != nil {
			q.adapt(q, beside, q.environment.Clock.Now().Sub(began))
		}
		q.startNext()
	})
}

// startNext starts who waits while there is room.
func (q *limitedQueue) startNext() {
	for q.running < q.concurrencyLimit && len(q.waiting) > 0 {
		first := 0
		if q.byPriority {
			for i := range q.waiting {
				if q.weight(q.waiting[i]) > q.weight(q.waiting[first]) {
					first = i
				}
			}
		}
		switch r := q.removeAt(first); {
		case r.canceled:
		case q.drop != nil && q.drop(q, q.environment.Clock.Now().Sub(r.arrivedAt)):
			q.reject(r)
		default:
			q.start(r)
		}
	}
}

func (q *limitedQueue) Cancel(t *Attempt) {
	if r := q.open[t]; r != nil {
		r.canceled = true
		delete(q.open, t)
	}
}

func (q *limitedQueue) Drain(time.Duration)           {}
func (q *limitedQueue) InFlight() (running, held int) { return q.running, len(q.waiting) }

// codel is controlled delay (RFC 8289, 5) on requests as their turn comes: once all have waited longer than the target for
// an interval, one is dropped, and the next ones sooner and sooner. The interval is the RFC's 100 ms, the target its
// twentieth.
type codel struct {
	aboveTargetUntil time.Time // when the wait will have been above the target for an interval; zero: it is not
	dropping         bool
	nextDrop         time.Time
	drops            int
}

func (c *codel) drop(q *limitedQueue, waited time.Duration) bool {
	const interval = 100 * time.Millisecond
	now := q.environment.Clock.Now()
	if waited < interval/20 {
		c.aboveTargetUntil, c.dropping = time.Time{}, false
		return false
	}
	if c.aboveTargetUntil.IsZero() {
		c.aboveTargetUntil = now.Add(interval)
		return false
	}
	soon := func() time.Time { return now.Add(time.Duration(float64(interval) / math.Sqrt(float64(c.drops)))) }
	switch {
	case c.dropping && !now.Before(c.nextDrop):
		c.drops++
		c.nextDrop = soon()
		return true
	case !c.dropping && !now.Before(c.aboveTargetUntil):
		c.dropping = true
		if c.drops > 2 && now.Sub(c.nextDrop) < 8*interval {
			c.drops -= 2 // it was dropping not long ago: go on near there
		} else {
			c.drops = 1
		}
		c.nextDrop = soon()
		return true
	}
	return false
}

// gradient moves the limit by how much slower runs are than they used to be: limit times gradient, and the square root of
// the limit as room to grow (the gradient method of concurrency limits, after TCP Vegas).
type gradient struct {
	averageSeconds float64 // moving average of run times, in seconds
	samples        int
}

func (g *gradient) adapt(q *limitedQueue, running int, took time.Duration) {
	const window, smoothing, tolerance = 600, 0.2, 1.5
	g.samples++
	g.averageSeconds += max(1/float64(g.samples), 1.0/window) * (took.Seconds() - g.averageSeconds)
	if running < q.concurrencyLimit/2 {
		return // the limit was not what held it up
	}
	slope := max(0.5, min(1, tolerance*g.averageSeconds/max(1e-9, took.Seconds())))
	limit := float64(q.concurrencyLimit)
	limit = limit*(1-smoothing) + smoothing*(limit*slope+math.Sqrt(limit))
	q.concurrencyLimit = max(q.environment.Settings.Cores, min(int(math.Round(limit)), 20*q.environment.Settings.Cores))
	q.queueLimit = q.concurrencyLimit
}

// daemonServer is the daemon's core and gate on a virtual clock.
type daemonServer struct {
	environment Environment
	node        *node.Node
	admission   *admission.Controller
	runs        map[string]*daemonRun
	requestIDs  map[*Attempt]string
	lastID      int

	lastCallID int
}

// daemonRun is one piece of work that the core has started.
type daemonRun struct {
	work          *Work
	startedAt     time.Time
	remainingWork float64 // work after the call that it is to make or stands at
	call          *dependencyCall
	callTimeout   clock.Timer

	atCall, abandoned bool // at its call; nobody waits for it any more
}

func newDaemonServer(s Environment) Server {
	r := &daemonServer{environment: s, runs: map[string]*daemonRun{}, requestIDs: map[*Attempt]string{}}
	lim := limits.For(192, 1024)
	options := admission.Options{Clock: s.Clock, GaugesTimeout: lim.GaugesTimeout, OnDecision: func(d admission.Decision) { r.node.ApplyDecision(d) }}
	options.RequestGauges = func() {
		on := float64(s.Machine.Running())
		r.admission.ReportGauges(admission.Gauges{RunQueueLength: on, CPUUtilization: min(1, on/float64(s.Settings.Cores)), MemoryUtilization: -1, Connections: -1})
	}
	var err error
	if r.admission, err = admission.New(s.Settings, options); err != nil {
		panic(err) // the world's settings were checked as it was made
	}
	o := node.Options{Settings: s.Settings, Admission: r.admission, Clock: s.Clock, Limits: lim, Log: discardLog}
	if s.dependency != nil {
		o.Dependency = dependencyCaller{r}
	}
	r.node = node.New(o)
	r.sweep(lim.SweepInterval)
	return r
}

// sweep has the core drop what has expired now and then.
func (r *daemonServer) sweep(every time.Duration) {
	r.environment.Clock.AfterFunc(every, func() {
		r.node.Sweep()
		r.sweep(every)
	})
}

func (r *daemonServer) Submit(t *Attempt, answer func(node.Response)) {
	r.lastID++
	id := strconv.Itoa(r.lastID)
	r.requestIDs[t] = id
	r.node.Submit(node.Request{ID: id, Class: t.Class, Tenant: t.Tenant, MemoryKB: t.MemoryKB, WorkHint: t.WorkHint, Retry: t.IsRetry, CallerID: t.CallerID,
		ArrivedAt: t.ArrivedAt, AttemptTimeout: t.Deadline.Sub(t.ArrivedAt), IdempotencyKey: t.IdempotencyKey, Runner: daemonRunner{r, t}, Protocol: "emulator"},
		func(a node.Response) {
			delete(r.requestIDs, t)
			r.abandon(id)
			r.environment.Clock.AfterFunc(0, func() { answer(a) }) // the core is not to be called from within
		})
}

func (r *daemonServer) Cancel(t *Attempt) {
	if id, ok := r.requestIDs[t]; ok {
		delete(r.requestIDs, t)
		r.node.Cancel(id)
		r.abandon(id)
	}
}

func (r *daemonServer) Drain(left time.Duration) {
	r.node.Drain(r.environment.Clock.Now(), left, false)
}
func (r *daemonServer) InFlight() (running, held int) { return r.node.InFlight() }

// daemonRunner does the work of one try on the machine.
type daemonRunner struct {
	*daemonServer
	attempt *Attempt
}

func (r daemonRunner) Start(id, _ string, _ []byte, _ bool) {
	w := &daemonRun{startedAt: r.environment.Clock.Now()}
	r.runs[id] = w
	r.environment.OnRunStarted(r.attempt)
	if r.environment.dependency == nil || !r.environment.Settings.Classes[r.attempt.Class].CallsDependency {
		w.work = r.environment.Machine.Add(r.attempt.Work, func() { r.finish(id, w) })
		return
	}
	w.remainingWork = r.attempt.Work / 2
	w.work = r.environment.Machine.Add(r.attempt.Work/2, func() {
		if w.atCall = true; w.abandoned {
			r.abandon(id)
			return
		}
		r.lastCallID++
		r.node.CallRequested(id, uint64(r.lastCallID), nil)
	})
}

// abandon is told that a try is answered or its caller gone: its run ends where it stands at a call, or as it comes to one.
func (r *daemonServer) abandon(id string) {
	w := r.runs[id]
	if w == nil {
		return
	}
	if w.abandoned = true; w.atCall {
		delete(r.runs, id)
		r.environment.Clock.AfterFunc(0, func() { r.node.RunEnded(id, logic.OutcomeCanceled, r.environment.Clock.Now().Sub(w.startedAt), nil) })
	}
}

func (r *daemonServer) finish(id string, w *daemonRun) {
	delete(r.runs, id)
	r.node.RunEnded(id, logic.OutcomeOK, r.environment.Clock.Now().Sub(w.startedAt), nil)
}

// resume goes on with a run that stood at a call.
func (r *daemonServer) resume(id string) {
	if w := r.runs[id]; w != nil && w.remainingWork > 0 {
		rest := w.remainingWork
		w.remainingWork, w.atCall = 0, false
		// Not at once: the core is not to be called from within.
		r.environment.Clock.AfterFunc(0, func() { w.work = r.environment.Machine.Add(rest, func() { r.finish(id, w) }) })
	}
}

// dependencyCaller makes the core's calls.
type dependencyCaller struct{ *daemonServer }

func (c dependencyCaller) Call(id string, patience time.Duration, _ []byte, _ bool, done func(o admission.Outcome, took time.Duration, reply []byte)) {
	w := c.runs[id]
	if w == nil {
		return
	}
	c.environment.Clock.AfterFunc(0, func() { // not from within the core
		var late clock.Timer
		d := c.environment.dependency.call(func(o logic.Outcome, took time.Duration) {
			late.Stop()
			done(o, took, nil)
		})
		w.call = d
		late = c.environment.Clock.AfterFunc(patience, func() {
			c.environment.dependency.cancel(d)
			done(logic.OutcomeTimedOut, patience, nil)
		})
		w.callTimeout = late
	})
}

func (c dependencyCaller) Cancel(id string) {
	if w := c.runs[id]; w != nil && w.call != nil {
		c.environment.dependency.cancel(w.call)
		w.callTimeout.Stop()
	}
}

// Stop ends a run: the module stops only what nobody waits for any more, and the runtime confirms that with an end.
func (r daemonRunner) Stop(id string) {
	w := r.runs[id]
	if w == nil {
		return
	}
	if w.work.index == heap.Out {
		return // it stands at a call
	}
	r.environment.Machine.Remove(w.work)
	delete(r.runs, id)
	r.environment.Clock.AfterFunc(0, func() { r.node.RunEnded(id, logic.OutcomeCanceled, r.environment.Clock.Now().Sub(w.startedAt), nil) })
}

func (r daemonRunner) Resume(string) {}

// DeliverReply and Omit have a run go on that stands at a call.
func (r daemonRunner) DeliverReply(id string, _ []byte) { r.resume(id) }
func (r daemonRunner) SkipCall(id string, _ uint64)     { r.resume(id) }
