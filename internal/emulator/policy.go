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

// Try is one request to one node.
type Try struct {
	ID      string
	Request string // the ID of the first try of the same request
	Class   int
	Tenant  int
	KB      float64
	Work    float64       // to do, in seconds of a core of speed 1
	Hint    time.Duration // what the caller says of it; rough
	Sent    time.Time     // by its caller
	Came    time.Time     // to its node's machine, where it may stand unread
	Due     time.Time     // when its caller gives up
	Retry   bool
	Source  int
	Key     string // of a keyed class
}

// Server is what decides on one machine. Its methods are called from the clock, and its answers may come before they
// return.
type Server interface {
	// Offer gives it a try; answer is to be called once, unless Gone comes first.
	Offer(t *Try, answer func(node.Response))
	// Gone tells that nobody waits any more.
	Gone(t *Try)
	// Leave is the notice that it is to stop after the given time.
	Leave(left time.Duration)
	// Counts are the requests that run and that are held.
	Counts() (running, held int)
}

// Site is what a server is made in.
type Site struct {
	Clock    *clock.Virtual
	Machine  *Machine
	Settings logic.Settings
	// Ran is to be called as a try's run is started.
	Ran func(*Try)

	below *below // what runs of classes that call it call; nil: nothing
}

// work does a try's work: all of it, or with a call half way. done is told how it ended.
func (s Site) work(t *Try, done func(o logic.Outcome)) {
	if s.below == nil || !s.Settings.Classes[t.Class].CallsDependency {
		s.Machine.Add(t.Work, func() { done(logic.OutcomeOK) })
		return
	}
	s.Machine.Add(t.Work/2, func() {
		s.below.call(func(o logic.Outcome, _ time.Duration) {
			if o != logic.OutcomeOK {
				done(logic.OutcomeFailed)
				return
			}
			s.Machine.Add(t.Work/2, func() { done(logic.OutcomeOK) })
		})
	})
}

// Policies makes servers by name: "sloehitch" is the daemon's core and decisions; the others are small and stand for
// what is commonly done. parameter is how many run for each core, where the policy has such a limit.
func Policies(name string, parameter float64) (func(Site) Server, error) {
	if name == "sloehitch" {
		return newReal, nil
	}
	limited := map[string]func(q *queue){
		"fixed":    func(q *queue) { q.waiting = q.most }, // so many run, as many wait, first come, first served
		"codel":    func(q *queue) { q.waiting, q.drop = 1<<30, (&codel{}).drop },
		"worth":    func(q *queue) { q.waiting, q.byWorth = q.most, true },
		"gradient": func(q *queue) { q.waiting, q.adapt = q.most, (&gradient{}).adapt },
	}
	set, ok := limited[name]
	switch {
	case name == "none": // all that comes runs at once
		return func(s Site) Server { return newQueue(s, 1<<30) }, nil
	case name == "fifo": // one for each core, and an endless queue
		return func(s Site) Server {
			q := newQueue(s, s.Settings.Cores)
			q.waiting = 1 << 30
			return q
		}, nil
	case !ok:
		return nil, fmt.Errorf("no policy %q: sloehitch, none, fifo, fixed, codel, worth or gradient", name)
	case parameter <= 0:
		return nil, fmt.Errorf("policy %s: a parameter above 0 is wanted: how many run for each core", name)
	}
	return func(s Site) Server {
		q := newQueue(s, max(1, int(parameter*float64(s.Settings.Cores))))
		set(q)
		return q
	}, nil
}

// queue runs so many at once and has so many wait.
type queue struct {
	site          Site
	most, waiting int
	byWorth       bool                                            // of those that wait the most worthy run first, and the least worthy go first
	drop          func(q *queue, waited time.Duration) bool       // whether who waited so long is turned away as its turn comes; nil: none is
	adapt         func(q *queue, running int, took time.Duration) // the limit, by how long a run took beside so many; nil: it stays
	held          []*queued
	open          map[*Try]*queued
	running       int
}

type queued struct {
	try    *Try
	answer func(node.Response)
	came   time.Time
	gone   bool
}

func newQueue(s Site, most int) *queue {
	return &queue{site: s, most: most, open: map[*Try]*queued{}}
}

func (q *queue) Offer(t *Try, answer func(node.Response)) {
	r := &queued{try: t, answer: answer, came: q.site.Clock.Now()}
	q.open[t] = r
	if q.running < q.most {
		q.run(r)
		return
	}
	q.held = append(q.held, r)
	if len(q.held) <= q.waiting {
		return
	}
	last := len(q.held) - 1
	if q.byWorth {
		for i, r := range q.held { // the least worthy, the latest of them
			if less, same := q.worth(r) < q.worth(q.held[last]), q.worth(r) == q.worth(q.held[last]); less || same && i > last {
				last = i
			}
		}
	}
	q.refuse(q.take(last))
}

func (q *queue) worth(r *queued) float64 { return q.site.Settings.Classes[r.try.Class].PriorityWeight }

// take takes one of those that wait out of the queue.
func (q *queue) take(i int) *queued {
	r := q.held[i]
	q.held = append(q.held[:i], q.held[i+1:]...)
	return r
}

func (q *queue) refuse(r *queued) {
	if delete(q.open, r.try); !r.gone {
		r.answer(node.Response{Status: node.StatusRejected})
	}
}

func (q *queue) run(r *queued) {
	q.running++
	beside, began := q.running, q.site.Clock.Now()
	q.site.Ran(r.try)
	q.site.work(r.try, func(o logic.Outcome) {
		q.running--
		if delete(q.open, r.try); !r.gone {
			kind := node.StatusServed
			if o != logic.OutcomeOK {
				kind = node.StatusFailed
			}
			r.answer(node.Response{Status: kind})
		}
		if q.adapt != nil {
			q.adapt(q, beside, q.site.Clock.Now().Sub(began))
		}
		q.next()
	})
}

// next starts who waits while there is room.
func (q *queue) next() {
	for q.running < q.most && len(q.held) > 0 {
		first := 0
		if q.byWorth {
			for i := range q.held {
				if q.worth(q.held[i]) > q.worth(q.held[first]) {
					first = i
				}
			}
		}
		switch r := q.take(first); {
		case r.gone:
		case q.drop != nil && q.drop(q, q.site.Clock.Now().Sub(r.came)):
			q.refuse(r)
		default:
			q.run(r)
		}
	}
}

func (q *queue) Gone(t *Try) {
	if r := q.open[t]; r != nil {
		r.gone = true
		delete(q.open, t)
	}
}

func (q *queue) Leave(time.Duration)         {}
func (q *queue) Counts() (running, held int) { return q.running, len(q.held) }

// codel is controlled delay (RFC 8289, 5) on requests as their turn comes: once all have waited longer than the target for
// an interval, one is dropped, and the next ones sooner and sooner. The interval is the RFC's 100 ms, the target its
// twentieth.
type codel struct {
	above    time.Time // when the wait will have been above the target for an interval; zero: it is not
	dropping bool
	next     time.Time
	count    int
}

func (c *codel) drop(q *queue, waited time.Duration) bool {
	const interval = 100 * time.Millisecond
	now := q.site.Clock.Now()
	if waited < interval/20 {
		c.above, c.dropping = time.Time{}, false
		return false
	}
	if c.above.IsZero() {
		c.above = now.Add(interval)
		return false
	}
	soon := func() time.Time { return now.Add(time.Duration(float64(interval) / math.Sqrt(float64(c.count)))) }
	switch {
	case c.dropping && !now.Before(c.next):
		c.count++
		c.next = soon()
		return true
	case !c.dropping && !now.Before(c.above):
		c.dropping = true
		if c.count > 2 && now.Sub(c.next) < 8*interval {
			c.count -= 2 // it was dropping not long ago: go on near there
		} else {
			c.count = 1
		}
		c.next = soon()
		return true
	}
	return false
}

// gradient moves the limit by how much slower runs are than they used to be: limit times gradient, and the square root of
// the limit as room to grow (the gradient method of concurrency limits, after TCP Vegas).
type gradient struct {
	long float64 // moving average of run times, in seconds
	n    int
}

func (g *gradient) adapt(q *queue, running int, took time.Duration) {
	const window, smoothing, tolerance = 600, 0.2, 1.5
	g.n++
	g.long += max(1/float64(g.n), 1.0/window) * (took.Seconds() - g.long)
	if running < q.most/2 {
		return // the limit was not what held it up
	}
	slope := max(0.5, min(1, tolerance*g.long/max(1e-9, took.Seconds())))
	limit := float64(q.most)
	limit = limit*(1-smoothing) + smoothing*(limit*slope+math.Sqrt(limit))
	q.most = max(q.site.Settings.Cores, min(int(math.Round(limit)), 20*q.site.Settings.Cores))
	q.waiting = q.most
}

// real is the daemon's core and gate on a virtual clock.
type real struct {
	site Site
	node *node.Node
	gate *admission.Controller
	runs map[string]*run
	ids  map[*Try]string
	next int

	calls int
}

// run is one piece of work that the core has started.
type run struct {
	work  *Work
	since time.Time
	rest  float64 // work after the call that it is to make or stands at
	call  *dependent
	late  clock.Timer

	standing, over bool // at its call; nobody waits for it any more
}

func newReal(s Site) Server {
	r := &real{site: s, runs: map[string]*run{}, ids: map[*Try]string{}}
	lim := limits.For(192, 1024)
	options := admission.Options{Clock: s.Clock, GaugesTimeout: lim.GaugesTimeout, OnDecision: func(d admission.Decision) { r.node.ApplyDecision(d) }}
	options.RequestGauges = func() {
		on := float64(s.Machine.Running())
		r.gate.ReportGauges(admission.Gauges{RunQueueLength: on, CPUUtilization: min(1, on/float64(s.Settings.Cores)), MemoryUtilization: -1, Connections: -1})
	}
	var err error
	if r.gate, err = admission.New(s.Settings, options); err != nil {
		panic(err) // the world's settings were checked as it was made
	}
	o := node.Options{Settings: s.Settings, Admission: r.gate, Clock: s.Clock, Limits: lim, Log: quiet}
	if s.below != nil {
		o.Dependency = caller{r}
	}
	r.node = node.New(o)
	r.sweep(lim.SweepInterval)
	return r
}

// sweep has the core drop what has expired now and then.
func (r *real) sweep(every time.Duration) {
	r.site.Clock.AfterFunc(every, func() {
		r.node.Sweep()
		r.sweep(every)
	})
}

func (r *real) Offer(t *Try, answer func(node.Response)) {
	r.next++
	id := strconv.Itoa(r.next)
	r.ids[t] = id
	r.node.Submit(node.Request{ID: id, Class: t.Class, Tenant: t.Tenant, MemoryKB: t.KB, WorkHint: t.Hint, Retry: t.Retry, CallerID: t.Source,
		ArrivedAt: t.Came, AttemptTimeout: t.Due.Sub(t.Came), IdempotencyKey: t.Key, Runner: runner{r, t}, Protocol: "emulator"},
		func(a node.Response) {
			delete(r.ids, t)
			r.over(id)
			r.site.Clock.AfterFunc(0, func() { answer(a) }) // the core is not to be called from within
		})
}

func (r *real) Gone(t *Try) {
	if id, ok := r.ids[t]; ok {
		delete(r.ids, t)
		r.node.Cancel(id)
		r.over(id)
	}
}

func (r *real) Leave(left time.Duration)    { r.node.Drain(r.site.Clock.Now(), left, false) }
func (r *real) Counts() (running, held int) { return r.node.InFlight() }

// runner does the work of one try on the machine.
type runner struct {
	*real
	try *Try
}

func (r runner) Start(id, _ string, _ []byte, _ bool) {
	w := &run{since: r.site.Clock.Now()}
	r.runs[id] = w
	r.site.Ran(r.try)
	if r.site.below == nil || !r.site.Settings.Classes[r.try.Class].CallsDependency {
		w.work = r.site.Machine.Add(r.try.Work, func() { r.ended(id, w) })
		return
	}
	w.rest = r.try.Work / 2
	w.work = r.site.Machine.Add(r.try.Work/2, func() {
		if w.standing = true; w.over {
			r.over(id)
			return
		}
		r.calls++
		r.node.CallRequested(id, uint64(r.calls), nil)
	})
}

// over is told that a try is answered or its caller gone: its run ends where it stands at a call, or as it comes to one.
func (r *real) over(id string) {
	w := r.runs[id]
	if w == nil {
		return
	}
	if w.over = true; w.standing {
		delete(r.runs, id)
		r.site.Clock.AfterFunc(0, func() { r.node.RunEnded(id, logic.OutcomeCanceled, r.site.Clock.Now().Sub(w.since), nil) })
	}
}

func (r *real) ended(id string, w *run) {
	delete(r.runs, id)
	r.node.RunEnded(id, logic.OutcomeOK, r.site.Clock.Now().Sub(w.since), nil)
}

// resume goes on with a run that stood at a call.
func (r *real) resume(id string) {
	if w := r.runs[id]; w != nil && w.rest > 0 {
		rest := w.rest
		w.rest, w.standing = 0, false
		// Not at once: the core is not to be called from within.
		r.site.Clock.AfterFunc(0, func() { w.work = r.site.Machine.Add(rest, func() { r.ended(id, w) }) })
	}
}

// caller makes the core's calls.
type caller struct{ *real }

func (c caller) Call(id string, patience time.Duration, _ []byte, _ bool, done func(o admission.Outcome, took time.Duration, reply []byte)) {
	w := c.runs[id]
	if w == nil {
		return
	}
	c.site.Clock.AfterFunc(0, func() { // not from within the core
		var late clock.Timer
		d := c.site.below.call(func(o logic.Outcome, took time.Duration) {
			late.Stop()
			done(o, took, nil)
		})
		w.call = d
		late = c.site.Clock.AfterFunc(patience, func() {
			c.site.below.quit(d)
			done(logic.OutcomeTimedOut, patience, nil)
		})
		w.late = late
	})
}

func (c caller) Cancel(id string) {
	if w := c.runs[id]; w != nil && w.call != nil {
		c.site.below.quit(w.call)
		w.late.Stop()
	}
}

// Stop ends a run: the module stops only what nobody waits for any more, and the runtime confirms that with an end.
func (r runner) Stop(id string) {
	w := r.runs[id]
	if w == nil {
		return
	}
	if w.work.index == heap.Out {
		return // it stands at a call
	}
	r.site.Machine.Remove(w.work)
	delete(r.runs, id)
	r.site.Clock.AfterFunc(0, func() { r.node.RunEnded(id, logic.OutcomeCanceled, r.site.Clock.Now().Sub(w.since), nil) })
}

func (r runner) Resume(string) {}

// DeliverReply and Omit have a run go on that stands at a call.
func (r runner) DeliverReply(id string, _ []byte) { r.resume(id) }
func (r runner) SkipCall(id string, _ uint64)     { r.resume(id) }
