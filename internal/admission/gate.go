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

// DecisionKind says what was decided about a request.
type DecisionKind int

const (
	Run       DecisionKind = iota // start it, or go on with a paused run
	Reject                        // final answer: turned away
	Fail                          // final answer: failed
	Stop                          // stop its run
	Coalesce                      // serve it from the result of the request it repeats
	StoreKey                      // keep its key
	DeleteKey                     // forget its key
	MakeCall                      // make the call it stands at
	SkipCall                      // go on without that call
)

// Decision is one thing that the module decided.
type Decision struct {
	Kind       DecisionKind
	ID         uint64
	Duration   time.Duration // Refuse: when to come back; Call: how long to wait; Keep: how long
	NoFailover bool          // Refuse: no other node will help
}

// Event is one thing that happened; the functions below make it.
type Event struct{ event logic.Event }

// Arrived tells of a request that was read.
func Arrived(id uint64, a Arrival) Event {
	return Event{logic.Event{Kind: logic.EventArrival, ID: logic.RequestID(id), Arrival: a}}
}

// RunEnded tells that a run or a join is over.
func RunEnded(id uint64, o Outcome, took time.Duration) Event {
	return Event{logic.Event{Kind: logic.EventRunEnded, ID: logic.RequestID(id), Outcome: o, Elapsed: micros(took)}}
}

// CallRequested tells that a run stands at a call.
func CallRequested(id uint64) Event {
	return Event{logic.Event{Kind: logic.EventCallNeeded, ID: logic.RequestID(id)}}
}

// CallEnded tells how a call ended.
func CallEnded(id uint64, o Outcome, took time.Duration) Event {
	return Event{logic.Event{Kind: logic.EventCallEnded, ID: logic.RequestID(id), Outcome: o, Elapsed: micros(took)}}
}

// Canceled tells that nobody waits for a request any more.
func Canceled(id uint64) Event {
	return Event{logic.Event{Kind: logic.EventCanceled, ID: logic.RequestID(id)}}
}

// Draining tells that the process is to be stopped after the given time.
func Draining(left time.Duration) Event {
	return Event{logic.Event{Kind: logic.EventDrain, TimeToKill: micros(left)}}
}

func micros(d time.Duration) logic.Micros { return logic.Micros(d / time.Microsecond) }

// Options are what a gate needs beside the module's settings.
type Options struct {
	Seed  uint64
	Clock clock.Clock
	// OnDecision, if not nil, is given each decision, in turns that the clock calls: the gate has no goroutine of its own then, all
	// calls to it must come from the clock's, and Pick is not for use. It is how a virtual clock runs a gate.
	OnDecision func(Decision)
	// RequestGauges requests the gauges; they are to come through Tick. It must not block.
	RequestGauges func()
	// GaugesTimeout is how long a due tick waits for the gauges. While the machine stands still they do not come,
	// and a module that looked at the clock then would take the silence of its runs for an illness.
	GaugesTimeout time.Duration
	LearnedState  *logic.LearnedState // what another process of this node found out, to begin with; nil: nothing
}

// Controller owns one decision module.
type Controller struct {
	server *logic.Server
	opts   Options

	mu               sync.Mutex
	events           []logic.Event
	decisions        []Decision
	ready            *sync.Cond // out has something, or the gate is closed
	closed           bool
	newSettings      *logic.Settings // to be taken before the next events
	learnedRequests  []chan logic.LearnedState
	newResourceShare float64 // of the server, to be taken before the next events; 0: as it is

	wake            chan struct{}
	gauges          chan Gauges
	timerDue        chan uint64 // numbers of timers that are due
	timer           clock.Timer
	timerNumber     uint64 // the number of the newest; those before it are void
	stepScheduled   bool   // with Carry: a turn is on its way
	done            chan struct{}
	timerID         uint64 // tag of the timer that waits for gauges
	gaugesRequested bool
	lastStepAt      logic.Micros
	lastGauges      Gauges

	loadSignal  atomic.Uint64 // bits of the free value; NaN until one is set
	unhealthy   atomic.Bool
	idleTimeout atomic.Int64
}

// New returns a running gate round a module with these settings.
func New(cfg logic.Settings, opts Options) (*Controller, error) {
	server, err := logic.New(cfg, opts.Seed)
	if err != nil {
		return nil, err
	}
	if opts.LearnedState != nil {
		server.RestoreLearned(*opts.LearnedState)
	}
	g := &Controller{server: server, opts: opts, wake: make(chan struct{}, 1), gauges: make(chan Gauges, 1),
		timerDue: make(chan uint64), done: make(chan struct{}), lastGauges: Gauges{CPUUtilization: -1, RunQueueLength: -1, MemoryUtilization: -1, Connections: -1}}
	g.ready = sync.NewCond(&g.mu)
	g.loadSignal.Store(math.Float64bits(math.NaN()))
	if opts.OnDecision == nil {
		go g.loop()
	}
	return g, nil
}

// Report tells what happened. It never blocks.
func (g *Controller) Report(news ...Event) {
	g.mu.Lock()
	for _, n := range news {
		g.events = append(g.events, n.event)
	}
	g.mu.Unlock()
	g.scheduleStep()
}

// Reconfigure has the module take new settings before any news reported after this call; cfg must have passed
// logic.New's checks and keep the classes and tenants in their places (logic.Server.Retune). It never blocks.
func (g *Controller) Reconfigure(cfg logic.Settings) {
	g.mu.Lock()
	g.newSettings = &cfg
	g.mu.Unlock()
	g.scheduleStep()
}

// SetResourceShare has the module use a part of the cores and the memory, above 0 and at most 1: another process of this node has
// the rest. It never blocks.
func (g *Controller) SetResourceShare(part float64) {
	g.mu.Lock()
	g.newResourceShare = part
	g.mu.Unlock()
	g.scheduleStep()
}

// LearnedState is what the module has found out so far. It waits for the module's turn, which is short; false: the gate is
// closed.
func (g *Controller) LearnedState() (logic.LearnedState, bool) {
	if g.opts.OnDecision != nil {
		return g.server.LearnedState(), true
	}
	out := make(chan logic.LearnedState, 1)
	g.mu.Lock()
	g.learnedRequests = append(g.learnedRequests, out)
	g.mu.Unlock()
	g.scheduleStep()
	select {
	case l := <-out:
		return l, true
	case <-g.done:
		return logic.LearnedState{}, false
	}
}

// ReportGauges hands over the gauges that Ask requested. Gauges that nothing waits for are dropped.
func (g *Controller) ReportGauges(m Gauges) {
	if g.opts.OnDecision != nil {
		g.opts.Clock.AfterFunc(0, func() { g.gaugesReceived(m) })
		return
	}
	select {
	case g.gauges <- m:
	default:
	}
}

// Next waits for the next decision. It returns false once the gate is closed.
func (g *Controller) Next() (Decision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.decisions) == 0 && !g.closed {
		g.ready.Wait()
	}
	if len(g.decisions) == 0 {
		return Decision{}, false
	}
	d := g.decisions[0]
	if g.decisions = g.decisions[1:]; len(g.decisions) == 0 {
		g.decisions = nil
	}
	return d, true
}

// Close ends the gate; Pick returns what is left and then false.
func (g *Controller) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		close(g.done)
		g.ready.Broadcast()
	}
}

// LoadSignal is the free value to tell callers, if one was set.
func (g *Controller) LoadSignal() (float64, bool) {
	v := math.Float64frombits(g.loadSignal.Load())
	return v, !math.IsNaN(v)
}

// Healthy is what health checks are to hear.
func (g *Controller) Healthy() bool { return !g.unhealthy.Load() }

// IdleTimeout is how long an unused connection may stay; 0 for as long as its caller likes.
func (g *Controller) IdleTimeout() time.Duration { return time.Duration(g.idleTimeout.Load()) }

// scheduleStep has what was reported taken in soon.
func (g *Controller) scheduleStep() {
	if g.opts.OnDecision == nil {
		select {
		case g.wake <- struct{}{}:
		default:
		}
		return
	}
	if !g.stepScheduled {
		g.stepScheduled = true
		g.opts.Clock.AfterFunc(0, func() {
			g.stepScheduled = false
			g.step(false)
		})
	}
}

func (g *Controller) loop() {
	for {
		select {
		case <-g.done:
			return
		case <-g.wake:
			g.step(false)
		case m := <-g.gauges:
			g.gaugesReceived(m)
		case n := <-g.timerDue:
			if n == g.timerNumber {
				g.timerFired()
			}
		}
	}
}

// setTimer has rung called once d has passed, in place of what was armed before.
func (g *Controller) setTimer(d time.Duration) {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timerNumber++
	n := g.timerNumber
	g.timer = g.opts.Clock.AfterFunc(d, func() {
		if g.opts.OnDecision != nil {
			g.timerFired()
			return
		}
		select {
		case g.timerDue <- n:
		case <-g.done:
		}
	})
}

// timerFired takes a timer that is due: the gauges are asked for, or were and did not come.
func (g *Controller) timerFired() {
	if !g.gaugesRequested && g.opts.RequestGauges != nil {
		g.gaugesRequested = true
		g.setTimer(g.opts.GaugesTimeout)
		g.opts.RequestGauges()
		return
	}
	g.step(true)
}

// gaugesReceived takes gauges.
func (g *Controller) gaugesReceived(m Gauges) {
	g.lastGauges = m
	g.step(g.gaugesRequested)
}

// step takes in what has come and hands out what the module decides on it.
func (g *Controller) step(due bool) {
	g.mu.Lock()
	events, closed, retune, learn, share := g.events, g.closed, g.newSettings, g.learnedRequests, g.newResourceShare
	g.events, g.newSettings, g.learnedRequests, g.newResourceShare = nil, nil, nil, 0
	g.mu.Unlock()
	if closed {
		return
	}
	if retune != nil {
		if err := g.server.Reconfigure(*retune); err != nil {
			panic(err) // the caller checked them: the classes of requests in hand would be lost
		}
	}
	if share > 0 {
		g.server.SetResourceShare(share)
	}
	for _, out := range learn {
		out <- g.server.LearnedState()
	}
	if due {
		g.gaugesRequested = false
		events = append(events, logic.Event{Kind: logic.EventTimer, TimerID: g.timerID, Gauges: g.lastGauges})
	}
	if len(events) == 0 && share == 0 {
		return
	}
	// The module's clock only advances, whatever is done to the system's.
	g.lastStepAt = max(g.lastStepAt, logic.Micros(g.opts.Clock.Now().UnixMicro()))
	actions := g.server.Step(g.lastStepAt, events)
	var out []Decision
	for _, a := range actions {
		if a.Kind == logic.ActionSetTimer {
			g.timerID = a.TimerID
			g.setTimer(time.Duration(a.Duration) * time.Microsecond)
			continue
		}
		if d, ok := g.decisionOf(a); ok {
			out = append(out, d)
		}
	}
	if g.opts.OnDecision != nil {
		for _, d := range out {
			g.opts.OnDecision(d)
		}
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.decisions = append(g.decisions, out...); len(g.decisions) > 0 {
		g.ready.Broadcast()
	}
}

var decisionKinds = map[logic.ActionKind]DecisionKind{logic.ActionRun: Run, logic.ActionReject: Reject, logic.ActionFail: Fail,
	logic.ActionStop: Stop, logic.ActionCoalesce: Coalesce, logic.ActionStoreKey: StoreKey, logic.ActionDeleteKey: DeleteKey,
	logic.ActionCall: MakeCall, logic.ActionSkipCall: SkipCall}

// decisionOf is what an action says of a request; false: it says something of the server, which is kept.
func (g *Controller) decisionOf(a logic.Action) (Decision, bool) {
	switch a.Kind {
	case logic.ActionSetLoadSignal:
		g.loadSignal.Store(math.Float64bits(a.LoadSignal))
	case logic.ActionSetHealth:
		g.unhealthy.Store(!a.Healthy)
	case logic.ActionSetIdleTimeout:
		g.idleTimeout.Store(int64(a.Duration) * int64(time.Microsecond))
	default:
		return Decision{Kind: decisionKinds[a.Kind], ID: uint64(a.ID), Duration: time.Duration(a.Duration) * time.Microsecond, NoFailover: a.NoFailover}, true
	}
	return Decision{}, false
}
