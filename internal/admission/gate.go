// Package admission is the facade in blocking style before the decision module: Report tells it what happened,
// Pick waits for what it decided, Tick answers its wish to look at the clock. One goroutine owns the module.
package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Arrival, Outcome and Gauges are the module's terms for a request as read, the end of a run or call, and the
// server's own meters.
type (
	Arrival = logic.Arrival
	Outcome = logic.Outcome
	Gauges  = logic.Gauges
)

// Verb says what was decided about a request.
type Verb int

const (
	Run    Verb = iota // start it, or go on with a paused run
	Refuse             // final answer: turned away
	Fail               // final answer: failed
	Stop               // stop its run
	Join               // serve it from the result of the request it repeats
	Keep               // keep its key
	Forget             // forget its key
	Call               // make the call it stands at
	GoOn               // go on without that call
)

// Decision is one thing that the module decided.
type Decision struct {
	Verb Verb
	ID   uint64
	Span time.Duration // Refuse: when to come back; Call: how long to wait; Keep: how long
	Last bool          // Refuse: no other node will help
}

// News is one thing that happened; the functions below make it.
type News struct{ event logic.Event }

// Arrived tells of a request that was read.
func Arrived(id uint64, a Arrival) News {
	return News{logic.Event{Kind: logic.EvArrival, ID: logic.RequestID(id), Arrival: a}}
}

// Ended tells that a run or a join is over.
func Ended(id uint64, o Outcome, took time.Duration) News {
	return News{logic.Event{Kind: logic.EvDone, ID: logic.RequestID(id), Outcome: o, Elapsed: micros(took)}}
}

// AtCall tells that a run stands at a call.
func AtCall(id uint64) News {
	return News{logic.Event{Kind: logic.EvNeedsCall, ID: logic.RequestID(id)}}
}

// CallEnded tells how a call ended.
func CallEnded(id uint64, o Outcome, took time.Duration) News {
	return News{logic.Event{Kind: logic.EvCallResult, ID: logic.RequestID(id), Outcome: o, Elapsed: micros(took)}}
}

// Gone tells that nobody waits for a request any more.
func Gone(id uint64) News {
	return News{logic.Event{Kind: logic.EvGone, ID: logic.RequestID(id)}}
}

// Leaving tells that the process is to be stopped after the given time.
func Leaving(left time.Duration) News {
	return News{logic.Event{Kind: logic.EvDrain, Left: micros(left)}}
}

func micros(d time.Duration) logic.Micros { return logic.Micros(d / time.Microsecond) }

// Options are what a gate needs beside the module's settings.
type Options struct {
	Seed  uint64
	Clock clock.Clock
	// Carry, if not nil, is given each decision, in turns that the clock calls: the gate has no goroutine of its own then, all
	// calls to it must come from the clock's, and Pick is not for use. It is how a virtual clock runs a gate.
	Carry func(Decision)
	// Ask requests the gauges; they are to come through Tick. It must not block.
	Ask func()
	// Patience is how long a due tick waits for the gauges. While the machine stands still they do not come,
	// and a module that looked at the clock then would take the silence of its runs for an illness.
	Patience time.Duration
	Learned  *logic.Learned // what another process of this node found out, to begin with; nil: nothing
}

// Gate owns one decision module.
type Gate struct {
	server *logic.Server
	opts   Options

	mu     sync.Mutex
	in     []logic.Event
	out    []Decision
	ready  *sync.Cond // out has something, or the gate is closed
	closed bool
	retune *logic.Settings // to be taken before the next events
	learn  []chan logic.Learned
	share  float64 // of the server, to be taken before the next events; 0: as it is

	wake    chan struct{}
	gauges  chan Gauges
	fire    chan uint64 // numbers of timers that are due
	timer   clock.Timer
	timers  uint64 // the number of the newest; those before it are void
	soon    bool   // with Carry: a turn is on its way
	done    chan struct{}
	pending uint64 // tag of the timer that waits for gauges
	asked   bool
	last    logic.Micros
	lastG   Gauges

	signal atomic.Uint64 // bits of the free value; NaN until one is set
	sick   atomic.Bool
	idle   atomic.Int64
}

// New returns a running gate round a module with these settings.
func New(cfg logic.Settings, opts Options) (*Gate, error) {
	server, err := logic.New(cfg, opts.Seed)
	if err != nil {
		return nil, err
	}
	if opts.Learned != nil {
		server.Adopt(*opts.Learned)
	}
	g := &Gate{server: server, opts: opts, wake: make(chan struct{}, 1), gauges: make(chan Gauges, 1),
		fire: make(chan uint64), done: make(chan struct{}), lastG: Gauges{CoreUse: -1, RunQueue: -1, MemoryShare: -1, Connections: -1}}
	g.ready = sync.NewCond(&g.mu)
	g.signal.Store(math.Float64bits(math.NaN()))
	if opts.Carry == nil {
		go g.run()
	}
	return g, nil
}

// Report tells what happened. It never blocks.
func (g *Gate) Report(news ...News) {
	g.mu.Lock()
	for _, n := range news {
		g.in = append(g.in, n.event)
	}
	g.mu.Unlock()
	g.turn()
}

// Retune has the module take new settings before any news reported after this call; cfg must have passed
// logic.New's checks and keep the classes and tenants in their places (logic.Server.Retune). It never blocks.
func (g *Gate) Retune(cfg logic.Settings) {
	g.mu.Lock()
	g.retune = &cfg
	g.mu.Unlock()
	g.turn()
}

// Share has the module use a part of the cores and the memory, above 0 and at most 1: another process of this node has
// the rest. It never blocks.
func (g *Gate) Share(part float64) {
	g.mu.Lock()
	g.share = part
	g.mu.Unlock()
	g.turn()
}

// Learned is what the module has found out so far. It waits for the module's turn, which is short; false: the gate is
// closed.
func (g *Gate) Learned() (logic.Learned, bool) {
	if g.opts.Carry != nil {
		return g.server.Learned(), true
	}
	out := make(chan logic.Learned, 1)
	g.mu.Lock()
	g.learn = append(g.learn, out)
	g.mu.Unlock()
	g.turn()
	select {
	case l := <-out:
		return l, true
	case <-g.done:
		return logic.Learned{}, false
	}
}

// Tick hands over the gauges that Ask requested. Gauges that nothing waits for are dropped.
func (g *Gate) Tick(m Gauges) {
	if g.opts.Carry != nil {
		g.opts.Clock.AfterFunc(0, func() { g.measured(m) })
		return
	}
	select {
	case g.gauges <- m:
	default:
	}
}

// Pick waits for the next decision. It returns false once the gate is closed.
func (g *Gate) Pick() (Decision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.out) == 0 && !g.closed {
		g.ready.Wait()
	}
	if len(g.out) == 0 {
		return Decision{}, false
	}
	d := g.out[0]
	if g.out = g.out[1:]; len(g.out) == 0 {
		g.out = nil
	}
	return d, true
}

// Close ends the gate; Pick returns what is left and then false.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		close(g.done)
		g.ready.Broadcast()
	}
}

// Signal is the free value to tell callers, if one was set.
func (g *Gate) Signal() (float64, bool) {
	v := math.Float64frombits(g.signal.Load())
	return v, !math.IsNaN(v)
}

// Well is what health checks are to hear.
func (g *Gate) Well() bool { return !g.sick.Load() }

// Idle is how long an unused connection may stay; 0 for as long as its caller likes.
func (g *Gate) Idle() time.Duration { return time.Duration(g.idle.Load()) }

// turn has what was reported taken in soon.
func (g *Gate) turn() {
	if g.opts.Carry == nil {
		select {
		case g.wake <- struct{}{}:
		default:
		}
		return
	}
	if !g.soon {
		g.soon = true
		g.opts.Clock.AfterFunc(0, func() {
			g.soon = false
			g.step(false)
		})
	}
}

func (g *Gate) run() {
	for {
		select {
		case <-g.done:
			return
		case <-g.wake:
			g.step(false)
		case m := <-g.gauges:
			g.measured(m)
		case n := <-g.fire:
			if n == g.timers {
				g.rung()
			}
		}
	}
}

// arm has rung called once d has passed, in place of what was armed before.
func (g *Gate) arm(d time.Duration) {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timers++
	n := g.timers
	g.timer = g.opts.Clock.AfterFunc(d, func() {
		if g.opts.Carry != nil {
			g.rung()
			return
		}
		select {
		case g.fire <- n:
		case <-g.done:
		}
	})
}

// rung takes a timer that is due: the gauges are asked for, or were and did not come.
func (g *Gate) rung() {
	if !g.asked && g.opts.Ask != nil {
		g.asked = true
		g.arm(g.opts.Patience)
		g.opts.Ask()
		return
	}
	g.step(true)
}

// measured takes gauges.
func (g *Gate) measured(m Gauges) {
	g.lastG = m
	g.step(g.asked)
}

// step takes in what has come and hands out what the module decides on it.
func (g *Gate) step(due bool) {
	g.mu.Lock()
	events, closed, retune, learn, share := g.in, g.closed, g.retune, g.learn, g.share
	g.in, g.retune, g.learn, g.share = nil, nil, nil, 0
	g.mu.Unlock()
	if closed {
		return
	}
	if retune != nil {
		if err := g.server.Retune(*retune); err != nil {
			panic(err) // the caller checked them: the classes of requests in hand would be lost
		}
	}
	if share > 0 {
		g.server.Share(share)
	}
	for _, out := range learn {
		out <- g.server.Learned()
	}
	if due {
		g.asked = false
		events = append(events, logic.Event{Kind: logic.EvTimer, Tag: g.pending, Gauges: g.lastG})
	}
	if len(events) == 0 && share == 0 {
		return
	}
	// The module's clock only advances, whatever is done to the system's.
	g.last = max(g.last, logic.Micros(g.opts.Clock.Now().UnixMicro()))
	actions := g.server.Step(g.last, events)
	var out []Decision
	for _, a := range actions {
		if a.Kind == logic.ActTimer {
			g.pending = a.Tag
			g.arm(time.Duration(a.Span) * time.Microsecond)
			continue
		}
		if d, ok := g.decision(a); ok {
			out = append(out, d)
		}
	}
	if g.opts.Carry != nil {
		for _, d := range out {
			g.opts.Carry(d)
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.out = append(g.out, out...); len(g.out) > 0 {
		g.ready.Broadcast()
	}
}

var verbs = map[logic.ActionKind]Verb{logic.ActRun: Run, logic.ActRefuse: Refuse, logic.ActFail: Fail,
	logic.ActStop: Stop, logic.ActJoin: Join, logic.ActKeepKey: Keep, logic.ActForgetKey: Forget,
	logic.ActCall: Call, logic.ActGoOn: GoOn}

// decision is what an action says of a request; false: it says something of the server, which is kept.
func (g *Gate) decision(a logic.Action) (Decision, bool) {
	switch a.Kind {
	case logic.ActSay:
		g.signal.Store(math.Float64bits(a.Value))
	case logic.ActHealth:
		g.sick.Store(!a.On)
	case logic.ActCloseIdle:
		g.idle.Store(int64(a.Span) * int64(time.Microsecond))
	default:
		return Decision{Verb: verbs[a.Kind], ID: uint64(a.ID), Span: time.Duration(a.Span) * time.Microsecond, Last: a.Last}, true
	}
	return Decision{}, false
}
