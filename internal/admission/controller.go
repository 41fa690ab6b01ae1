// Package admission serializes access to the logic.Server, a state machine without I/O or locks. A Controller collects
// events (Report), steps the logic.Server on its own goroutine and returns its decisions (Next). It also provides the
// clock and the timer of the logic.Server; an expired timer is delivered together with the server's gauges.
package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"sloehitch/internal/platform/clock"
	"sloehitch/logic"
)

// Options configures a Controller, in addition to the settings of the logic.Server.
type Options struct {
	Seed  uint64
	Clock clock.Clock
	// OnDecision, if not nil, is called with each decision from a callback of Clock. The Controller then has no
	// goroutine, all calls to it must come from the clock's callbacks, and Next must not be used. It is for virtual
	// clocks.
	OnDecision func(Decision)
	// RequestGauges requests the server's gauges, which the host then passes to ReportGauges. It must not block. Nil:
	// there are no gauges.
	RequestGauges func()
	// GaugesTimeout is how long an expired timer waits for the gauges. While the machine is suspended no gauges arrive,
	// and a step of the logic.Server at that time would take the runs for stalled.
	GaugesTimeout time.Duration
	LearnedState  *logic.LearnedState // initial state, from an earlier process of this node; nil: none
}

// Controller owns one logic.Server. New creates a Controller and Close ends it. Its methods may be called from any
// goroutine and, except Next and LearnedState, do not block. The logic.Server and the timer are used only by the
// goroutine that runs loop.
type Controller struct {
	server *logic.Server
	opts   Options

	mu               sync.Mutex
	events           []logic.Event
	decisions        []Decision
	ready            *sync.Cond // signals that there are decisions or that the controller is closed
	closed           bool
	newSettings      *logic.Settings // applied before the next events; nil: none
	newResourceShare float64         // applied before the next events; 0: none
	learnedRequests  []chan logic.LearnedState

	wake            chan struct{}
	gauges          chan Gauges
	timerDue        chan uint64 // numbers of expired timers
	timer           clock.Timer
	timerNumber     uint64 // number of the latest timer; earlier ones are ignored
	timerID         uint64 // TimerID that the logic.Server gave its timer
	stepScheduled   bool   // with OnDecision: a clock callback that runs a step is scheduled
	done            chan struct{}
	gaugesRequested bool // the timer has expired and waits for gauges
	lastStepAt      logic.Micros
	lastGauges      Gauges

	loadSignal  atomic.Uint64 // bits of a float64; NaN until the logic.Server sets it
	unhealthy   atomic.Bool
	idleTimeout atomic.Int64 // nanoseconds
}

// New starts a Controller for a logic.Server with the given settings.
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

// Report passes events to the logic.Server, which handles them in its next step.
func (c *Controller) Report(events ...Event) {
	c.mu.Lock()
	for _, e := range events {
		c.events = append(c.events, e.event)
	}
	c.mu.Unlock()
	c.scheduleStep()
}

// ReportGauges passes on the gauges that RequestGauges requested. It drops them if earlier gauges are still to be
// handled.
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

// Reconfigure applies new settings before any event that is reported after this call. cfg must be valid for logic.New
// and keep the indices of classes and tenants (logic.Server.Reconfigure).
func (c *Controller) Reconfigure(cfg logic.Settings) {
	c.mu.Lock()
	c.newSettings = &cfg
	c.mu.Unlock()
	c.scheduleStep()
}

// SetResourceShare limits the logic.Server to a fraction of the cores and the memory, above 0 and at most 1. Another
// process of this node uses the rest.
func (c *Controller) SetResourceShare(fraction float64) {
	c.mu.Lock()
	c.newResourceShare = fraction
	c.mu.Unlock()
	c.scheduleStep()
}

// LearnedState returns the learned state of the logic.Server. It waits for the next step, which is short. It returns
// false if the controller is closed.
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

// Next waits for the next decision and returns it. It returns false once the controller is closed and all decisions
// have been returned.
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

// Close stops the controller.
func (c *Controller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.done)
		c.ready.Broadcast()
	}
}

// LoadSignal returns the load signal for callers, or false if none has been set.
func (c *Controller) LoadSignal() (float64, bool) {
	v := math.Float64frombits(c.loadSignal.Load())
	return v, !math.IsNaN(v)
}

// Healthy reports whether health checks are to succeed.
func (c *Controller) Healthy() bool { return !c.unhealthy.Load() }

// IdleTimeout returns how long an idle connection may stay open, or 0 for no limit.
func (c *Controller) IdleTimeout() time.Duration { return time.Duration(c.idleTimeout.Load()) }
