// Package node is the daemon's core between the front ends, which read requests, and the back ends, which run them.
// It follows each attempt of a request from its reading to its one final response, and knows no wire format.
//
// Package admission decides which requests run, wait and are shed; this package carries its decisions out. Three
// rules it enforces itself, whatever was decided:
//
//   - Each request gets one final response, by its deadline (response.go, deadline.go).
//   - A keyed request runs at most once within its window (idempotency.go; keytable.go, journal.go and elsewhere.go hold
//     what this process, the processes before it and those beside it know of a key).
//   - Nothing that was read after the drain grace is started, and everything is answered before the kill (drain.go).
//
// A Node has one lock. Its exported methods may be called from any goroutine and wait for nothing but that lock. It
// calls runners, the dependency's client, the journal and reply functions with the lock held: they must neither block
// nor call the Node from within.
package node

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
	"sloehitch/logic"
)

// Runner does the work of requests. Its methods must not block. How runs go is reported by Node.RunEnded,
// Node.CallRequested and Node.DeliveryUnconfirmed.
type Runner interface {
	// Start starts a run. once says that it must not be started a second time, whatever becomes of the first start.
	Start(id, class string, body []byte, once bool)
	// Stop stops a run, or pauses it where the back end can.
	Stop(id string)
	// Resume continues a paused run.
	Resume(id string)
	// DeliverReply continues a run that waits for a call with the call's reply.
	DeliverReply(id string, reply []byte)
	// SkipCall continues a run without the call that the notice of that number asked for.
	SkipCall(id string, notice uint64)
}

// DependencyClient makes the calls that runs ask for. Its methods must not block.
type DependencyClient interface {
	// Call calls done once, unless Cancel comes first. once says that the call must not be repeated if it may have run.
	Call(id string, timeout time.Duration, body []byte, once bool,
		done func(outcome admission.Outcome, elapsed time.Duration, reply []byte))
	// Cancel gives up the call of a run.
	Cancel(id string)
}

// Options are what a Node is made of.
type Options struct {
	Settings   logic.Settings
	Admission  *admission.Controller
	Dependency DependencyClient // nil: every call fails as unreachable
	Journal    Journal          // nil: keys are known in memory only
	Clock      clock.Clock
	Limits     limits.Limits
	Log        *slog.Logger
	// ObserveLatency, if not nil, is given the time of each served request from its arrival at the machine to its
	// response. It is called with the Node's lock held: it must neither block nor call the Node.
	ObserveLatency func(time.Duration)
}

// Node owns all requests in flight. New makes one.
type Node struct {
	opts Options

	mu             sync.Mutex
	byID           map[string]*request
	byNumber       map[uint64]*request // those that admission knows
	lastNumber     uint64
	keys           *keyTable
	log            *lograte.Logger
	tracing        bool      // each step of each request is logged
	drainStartedAt time.Time // zero: not draining
	killAt         time.Time
	unanswered     int // requests that are owed a response
	counts         Counts
	classCounts    map[string]*ClassCounts // by the class's name
}

// New returns a Node. Its decisions are carried out by Run, or by ApplyDecision where the controller has OnDecision.
func New(opts Options) *Node {
	n := &Node{
		opts:        opts,
		classCounts: map[string]*ClassCounts{},
		byID:        map[string]*request{},
		byNumber:    map[uint64]*request{},
		log:         lograte.New(opts.Log, opts.Limits.LogInterval),
		tracing:     tracingEnabled(opts.Log),
	}
	// Called with n.mu held: the settings are those of the latest Reconfigure.
	window := func(class int) time.Duration { return duration(n.opts.Settings.Classes[class].IdempotencyWindow) }
	n.keys = newKeyTable(opts.Limits.MaxKeys, opts.Limits.TotalStoredResultBytes, opts.Limits.KeyWindowSlack, window)
	return n
}

// Reconfigure applies new settings to requests submitted from now on. The classes of the old settings must keep their
// places, with new ones after them, so that each request in flight keeps its class; the tenants must stay (package
// reconfigure makes such settings). It returns an error, and changes nothing, if the settings are not valid or break
// that rule.
func (n *Node) Reconfigure(s logic.Settings) error {
	if _, err := logic.New(s, 0); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.opts.Settings
	if len(s.Classes) < len(old.Classes) || len(s.Tenants) != len(old.Tenants) {
		return errors.New("reconfigure: classes may only be added, and tenants must stay")
	}
	for i := range old.Classes {
		if s.Classes[i].Name != old.Classes[i].Name {
			return fmt.Errorf("reconfigure: class %d is %q, was %q", i, s.Classes[i].Name, old.Classes[i].Name)
		}
	}
	n.opts.Settings = s
	n.opts.Admission.Reconfigure(s) // under n.mu: before any request of a new class is reported
	return nil
}

// Run carries out admission's decisions until the controller is closed. It blocks.
func (n *Node) Run() {
	for {
		d, ok := n.opts.Admission.Next()
		if !ok {
			return
		}
		n.ApplyDecision(d)
	}
}

// ApplyDecision carries out one decision. It is for hosts whose controller hands out decisions by
// admission.Options.OnDecision.
func (n *Node) ApplyDecision(d admission.Decision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.byNumber[d.ID]; r != nil {
		n.apply(r, d)
	} else if d.Kind == admission.Run || d.Kind == admission.Coalesce {
		// The request was canceled or answered meanwhile. Admission counts it as running until an end is reported:
		// without this report it would run one request less from now on.
		n.opts.Admission.Report(admission.RunEnded(d.ID, logic.OutcomeNotStarted, 0))
	}
}

// Sweep drops expired keys, and runs whose end was never reported. The host calls it every limits.Limits.SweepInterval.
func (n *Node) Sweep() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	n.keys.expire(now)
	for _, r := range n.byNumber {
		switch late := now.Sub(r.deadline); {
		case r.unconfirmed && late > 0:
			n.abandonRun(r)
		case late > n.opts.Limits.OrphanTimeout: // the report of its end was lost with a connection
			n.finishRun(r, logic.OutcomeFailed, 0, nil)
		}
	}
}

func duration(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
