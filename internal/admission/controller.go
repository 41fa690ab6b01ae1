// Package admission serializes access to the logic.Server, a state machine without I/O or locks. A Controller collects
// events (Report), steps logic on a goroutine of its own, and hands out its decisions (Next). It also keeps logic's
// clock: a timer that logic has set is delivered together with the server's gauges.
package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Options are what a Controller needs beside logic's settings.
type Options struct {
	Seed  uint64
	Clock clock.Clock
	// OnDecision, if not nil, is given each decision from a callback of Clock. The Controller then has no goroutine
	// of its own, all calls to it must come from the clock's callbacks, and Next is not to be used. It is for virtual
	// clocks.
	OnDecision func(Decision)
	// RequestGauges asks for the server's gauges; they are to be passed to ReportGauges. It must not block. Nil:
	// there are none.
	RequestGauges func()
	// GaugesTimeout is how long a due timer waits for the gauges. While the machine stands still none come, and
	// logic, stepped then, would take the runs for stalled.
	GaugesTimeout time.Duration
	LearnedState  *logic.LearnedState // of an earlier process of this node, to begin with; nil: none
}

// Controller owns one logic.Server. New makes one and Close ends it. Its methods may be called from any goroutine
// and, but for Next and LearnedState, never block. The logic.Server and the timer belong to the goroutine that runs
// loop.
type Controller struct {
	server *logic.Server
	opts   Options

	mu               sync.Mutex
	events           []logic.Event
	decisions        []Decision
	ready            *sync.Cond // there are decisions, or the controller is closed
	closed           bool
	newSettings      *logic.Settings // to be applied before the next events; nil: none
	newResourceShare float64         // likewise; 0: none
	learnedRequests  []chan logic.LearnedState

	wake            chan struct{}
	gauges          chan Gauges
	timerDue        chan uint64 // numbers of timers
	timer           clock.Timer
	timerNumber     uint64 // of the newest timer; older ones are void
	timerID         uint64 // logic's name for it
	stepScheduled   bool   // with OnDecision: a callback that steps logic is set
	done            chan struct{}
	gaugesRequested bool // the timer is due and waits for gauges
	lastStepAt      logic.Micros
	lastGauges      Gauges

	loadSignal  atomic.Uint64 // bits of a float64; NaN until logic sets it
	unhealthy   atomic.Bool
	idleTimeout atomic.Int64 // nanoseconds
}

// New starts a Controller of a logic.Server with these settings.
func New(cfg logic.Settings, opts Options) (*Controller, error) {
	server, err := logic.New(cfg, opts.Seed)
	if err != nil {
		return nil, err
	}
	if opts.LearnedState != nil {
		server.RestoreLearned(*opts.LearnedState)
	}
	c := &Controller{
		server:   server,
		opts:     opts,
		wake:     make(chan struct{}, 1),
		gauges:   make(chan Gauges, 1),
		timerDue: make(chan uint64),
		done:     make(chan struct{}),
		lastGauges: Gauges{
			CPUUtilization:    -1,
			RunQueueLength:    -1,
			MemoryUtilization: -1,
			Connections:       -1,
		},
	}
	c.ready = sync.NewCond(&c.mu)
	c.loadSignal.Store(math.Float64bits(math.NaN()))
	if opts.OnDecision == nil {
		go c.loop()
	}
	return c, nil
}

// Report passes events on to logic.
func (c *Controller) Report(events ...Event) {
	c.mu.Lock()
	for _, e := range events {
		c.events = append(c.events, e.event)
	}
	c.mu.Unlock()
	c.scheduleStep()
}

// ReportGauges passes on the gauges that RequestGauges asked for. Gauges that nothing waits for are dropped.
func (c *Controller) ReportGauges(gauges Gauges) {
	if c.opts.OnDecision != nil {
		c.opts.Clock.AfterFunc(0, func() { c.gaugesReceived(gauges) })
		return
	}
	select {
	case c.gauges <- gauges:
	default:
	}
}

// Reconfigure has logic use new settings before any event reported after this call. cfg must have passed
// logic.New's checks and keep the classes and tenants in their places (logic.Server.Reconfigure).
func (c *Controller) Reconfigure(cfg logic.Settings) {
	c.mu.Lock()
	c.newSettings = &cfg
	c.mu.Unlock()
	c.scheduleStep()
}

// SetResourceShare has logic use a fraction of the cores and the memory, above 0 and at most 1: another process
// of this node has the rest.
func (c *Controller) SetResourceShare(fraction float64) {
	c.mu.Lock()
	c.newResourceShare = fraction
	c.mu.Unlock()
	c.scheduleStep()
}

// LearnedState returns what logic has learned so far. It waits for logic's next step, which is short. It
// returns false if the controller is closed.
func (c *Controller) LearnedState() (logic.LearnedState, bool) {
	if c.opts.OnDecision != nil {
		return c.server.LearnedState(), true
	}
	out := make(chan logic.LearnedState, 1)
	c.mu.Lock()
	c.learnedRequests = append(c.learnedRequests, out)
	c.mu.Unlock()
	c.scheduleStep()
	select {
	case l := <-out:
		return l, true
	case <-c.done:
		return logic.LearnedState{}, false
	}
}

// Next waits for the next decision and returns it. It returns false once the controller is closed and no decision is
// left.
func (c *Controller) Next() (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.decisions) == 0 && !c.closed {
		c.ready.Wait()
	}
	if len(c.decisions) == 0 {
		return Decision{}, false
	}
	d := c.decisions[0]
	if c.decisions = c.decisions[1:]; len(c.decisions) == 0 {
		c.decisions = nil
	}
	return d, true
}

// Close ends the controller.
func (c *Controller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.done)
		c.ready.Broadcast()
	}
}

// LoadSignal returns the load signal for callers; false until logic sets one.
func (c *Controller) LoadSignal() (float64, bool) {
	v := math.Float64frombits(c.loadSignal.Load())
	return v, !math.IsNaN(v)
}

// Healthy is logic's answer to health checks.
func (c *Controller) Healthy() bool { return !c.unhealthy.Load() }

// IdleTimeout is how long an unused connection may stay open; 0: as long as its caller likes.
func (c *Controller) IdleTimeout() time.Duration { return time.Duration(c.idleTimeout.Load()) }
