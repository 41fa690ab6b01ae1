package emulator

import (
	"fmt"
	"strconv"
	"time"

	"sloehitch/internal/clock"
	"sloehitch/internal/gate"
	"sloehitch/internal/limits"
	"sloehitch/internal/node"
	"sloehitch/logic"
)

// Try is one request to one node.
type Try struct {
	ID     string
	Class  int
	Tenant int
	KB     float64
	Work   float64       // to do, in seconds of a core of speed 1
	Hint   time.Duration // what the caller says of it; rough
	Sent   time.Time     // by its caller
	Due    time.Time     // when its caller gives up
	Retry  bool
	Source int
	Key    string // of a keyed class
}

// Server is what decides on one machine. Its methods are called from the clock, and its answers may come before they
// return.
type Server interface {
	// Offer gives it a try; answer is to be called once, unless Gone comes first.
	Offer(t *Try, answer func(node.Answer))
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
}

// Policies makes servers by name: "sloehitch" is the daemon's core and decisions; the others are small and stand for
// what is commonly done.
func Policies(name string, parameter float64) (func(Site) Server, error) {
	switch name {
	case "sloehitch":
		return newReal, nil
	case "none": // all that comes runs at once
		return func(s Site) Server { return newQueue(s, 1<<30, 0) }, nil
	case "fixed": // so many for each core run at once, as many again wait
		if parameter <= 0 {
			return nil, fmt.Errorf("policy fixed: a parameter above 0 is wanted: how many run for each core")
		}
		return func(s Site) Server {
			most := max(1, int(parameter*float64(s.Settings.Cores)))
			return newQueue(s, most, most)
		}, nil
	case "fifo": // one for each core, and an endless queue
		return func(s Site) Server { return newQueue(s, s.Settings.Cores, 1<<30) }, nil
	}
	return nil, fmt.Errorf("no policy %q: sloehitch, none, fixed or fifo", name)
}

// queue runs so many at once and has so many wait, first come, first served.
type queue struct {
	site          Site
	most, waiting int
	held          []*queued
	open          map[*Try]*queued
	running       int
}

type queued struct {
	try    *Try
	answer func(node.Answer)
	gone   bool
}

func newQueue(s Site, most, waiting int) Server {
	return &queue{site: s, most: most, waiting: waiting, open: map[*Try]*queued{}}
}

func (q *queue) Offer(t *Try, answer func(node.Answer)) {
	r := &queued{try: t, answer: answer}
	switch {
	case q.running < q.most:
		q.open[t] = r
		q.run(r)
	case len(q.held) < q.waiting:
		q.open[t] = r
		q.held = append(q.held, r)
	default:
		answer(node.Answer{Kind: node.Refused})
	}
}

func (q *queue) run(r *queued) {
	q.running++
	q.site.Ran(r.try)
	q.site.Machine.Add(r.try.Work, func() {
		q.running--
		if delete(q.open, r.try); !r.gone {
			r.answer(node.Answer{Kind: node.Served})
		}
		for q.running < q.most && len(q.held) > 0 {
			next := q.held[0]
			if q.held = q.held[1:]; !next.gone {
				q.run(next)
			}
		}
	})
}

func (q *queue) Gone(t *Try) {
	if r := q.open[t]; r != nil {
		r.gone = true
		delete(q.open, t)
	}
}

func (q *queue) Leave(time.Duration)         {}
func (q *queue) Counts() (running, held int) { return q.running, len(q.held) }

// real is the daemon's core and gate on a virtual clock.
type real struct {
	site Site
	node *node.Node
	gate *gate.Gate
	runs map[string]*run
	ids  map[*Try]string
	next int
}

// run is one piece of work that the core has started.
type run struct {
	work  *Work
	since time.Time
}

func newReal(s Site) Server {
	r := &real{site: s, runs: map[string]*run{}, ids: map[*Try]string{}}
	lim := limits.For(192, 1024)
	options := gate.Options{Clock: s.Clock, Patience: lim.Gauges, Carry: func(d gate.Decision) { r.node.Decide(d) }}
	options.Ask = func() {
		on := float64(s.Machine.Running())
		r.gate.Tick(gate.Gauges{RunQueue: on, CoreUse: min(1, on/float64(s.Settings.Cores)), MemoryShare: -1, Connections: -1})
	}
	var err error
	if r.gate, err = gate.New(s.Settings, options); err != nil {
		panic(err) // the world's settings were checked as it was made
	}
	r.node = node.New(node.Options{Settings: s.Settings, Gate: r.gate, Clock: s.Clock, Limits: lim, Log: quiet})
	r.sweep(lim.Sweep)
	return r
}

// sweep has the core drop what has expired now and then.
func (r *real) sweep(every time.Duration) {
	r.site.Clock.AfterFunc(every, func() {
		r.node.Sweep()
		r.sweep(every)
	})
}

func (r *real) Offer(t *Try, answer func(node.Answer)) {
	r.next++
	id := strconv.Itoa(r.next)
	r.ids[t] = id
	r.node.Submit(node.Request{ID: id, Class: t.Class, Tenant: t.Tenant, KB: t.KB, Hint: t.Hint, Retry: t.Retry, Source: t.Source,
		Arrived: r.site.Clock.Now(), Wait: t.Due.Sub(r.site.Clock.Now()), Key: t.Key, Runner: runner{r, t}, Front: "emulator"},
		func(a node.Answer) {
			delete(r.ids, t)
			r.site.Clock.AfterFunc(0, func() { answer(a) }) // the core is not to be called from within
		})
}

func (r *real) Gone(t *Try) {
	if id, ok := r.ids[t]; ok {
		delete(r.ids, t)
		r.node.Gone(id)
	}
}

func (r *real) Leave(left time.Duration)    { r.node.Leave(left, false) }
func (r *real) Counts() (running, held int) { return r.node.Hand() }

// runner does the work of one try on the machine.
type runner struct {
	*real
	try *Try
}

func (r runner) Start(id, _ string, _ []byte) {
	w := &run{since: r.site.Clock.Now()}
	r.runs[id] = w
	r.site.Ran(r.try)
	w.work = r.site.Machine.Add(r.try.Work, func() {
		delete(r.runs, id)
		r.node.Ended(id, logic.OK, r.site.Clock.Now().Sub(w.since), nil)
	})
}

// Stop ends a run: the module stops only what nobody waits for any more, and the runtime confirms that with an end.
func (r runner) Stop(id string) {
	w := r.runs[id]
	if w == nil {
		return
	}
	r.site.Machine.Remove(w.work)
	delete(r.runs, id)
	r.site.Clock.AfterFunc(0, func() { r.node.Ended(id, logic.Cancelled, r.site.Clock.Now().Sub(w.since), nil) })
}

func (r runner) Continue(string)     {}
func (r runner) Give(string, []byte) {}
func (r runner) Omit(string, uint64) {}
