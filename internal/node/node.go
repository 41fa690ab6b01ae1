// Package node is the core of the daemon. It sits between the front ends, which read requests, and the back ends, which
// run them, and tracks each attempt of a request from when it is read to its one final response. It does not depend on
// any wire format.
//
// Package admission decides which requests run, wait and are rejected, and this package carries out its decisions. It
// enforces three rules itself, whatever admission decides:
//
//   - Each request gets exactly one final response, by its deadline (response.go, deadline.go).
//   - A keyed request runs at most once within its window (idempotency.go; keytable.go, journal.go and elsewhere.go
//     track the keys of this process, of earlier processes and of concurrent processes of the node).
//   - A request that was read after the drain grace is not started, and all requests are answered before the process is
//     killed (drain.go).
//
// A Node has one lock. Its exported methods may be called from any goroutine and block on nothing but that lock. It
// calls runners, the dependency client, the journal and reply functions with the lock held, so they must neither block
// nor call back into the Node.
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

// Runner runs requests. Its methods must not block. The progress of runs is reported by calls of Node.RunEnded,
// Node.CallRequested and Node.DeliveryUnconfirmed.
type Runner interface {
	// Start starts a run. once means that it must not be started again, even if the first start fails.
	Start(id, class string, body []byte, once bool)
	// Stop stops a run, or pauses it if the back end supports that.
	Stop(id string)
	// Resume continues a paused run.
	Resume(id string)
	// DeliverReply continues a run that waits for a call with the call's reply.
	DeliverReply(id string, reply []byte)
	// SkipCall continues a run without the call that the notice with the given number requested.
	SkipCall(id string, notice uint64)
}

// DependencyClient makes the calls that runs request. Its methods must not block.
type DependencyClient interface {
	// Call makes a call and then calls done once, unless Cancel is called before. once means that the call must not be
	// retried if it may have run.
	Call(id string, timeout time.Duration, body []byte, once bool,
		done func(outcome admission.Outcome, elapsed time.Duration, reply []byte))
	// Cancel cancels the call of a run.
	Cancel(id string)
}

// Options configures a Node.
type Options struct {
	Settings   logic.Settings
	Admission  *admission.Controller
	Dependency DependencyClient // nil: every call fails as unreachable
	Journal    Journal          // nil: keys are tracked in memory only
	Clock      clock.Clock
	Limits     limits.Limits
	Log        *slog.Logger
	// ObserveLatency, if not nil, is called for each served request with the time from its arrival at the machine to
	// its response. It is called with the Node's lock held, so it must neither block nor call the Node.
	ObserveLatency func(time.Duration)
}

// Node owns all requests in flight. Use New to create one.
type Node struct {
	opts Options

	mu             sync.Mutex
	byID           map[string]*request
	byNumber       map[uint64]*request // requests that were reported to admission
	lastNumber     uint64
	keys           *keyTable
	log            *lograte.Logger
	tracing        bool      // each step of each request is logged
	drainStartedAt time.Time // zero: not draining
	killAt         time.Time
	unanswered     int // requests without a final response
	counts         Counts
	classCounts    map[string]*ClassCounts // by class name
}

// New returns a Node. Admission's decisions are carried out by Run, or by ApplyDecision if the controller has an
// OnDecision callback.
func New(opts Options) *Node {
	n := &Node{
		opts:        opts,
		classCounts: map[string]*ClassCounts{},
		byID:        map[string]*request{},
		byNumber:    map[uint64]*request{},
		log:         lograte.New(opts.Log, opts.Limits.LogInterval),
		tracing:     tracingEnabled(opts.Log),
	}
	n.keys = newKeyTable(opts.Limits.MaxKeys, opts.Limits.TotalStoredResultBytes, opts.Limits.KeyWindowSlack)
	return n
}

// Reconfigure applies new settings to requests submitted from now on. The classes of the old settings must keep their
// indices and new classes must be appended, so that each request in flight keeps its class; the number of tenants must
// not change (package reconfigure creates such settings). It returns an error and changes nothing if the settings are
// invalid or violate that rule.
func (n *Node) Reconfigure(s logic.Settings) error {
	if _, err := logic.New(s, 0); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.opts.Settings
	if len(s.Classes) < len(old.Classes) || len(s.Tenants) != len(old.Tenants) {
		return errors.New("reconfigure: a class was removed or the number of tenants changed")
	}
	for i := range old.Classes {
		if s.Classes[i].Name != old.Classes[i].Name {
			return fmt.Errorf("reconfigure: name of class %d changed to %q, was %q", i, s.Classes[i].Name, old.Classes[i].Name)
		}
	}
	n.opts.Settings = s
	n.opts.Settings.Classes = withWindows(old.Classes, s.Classes)
	n.extendWindows()
	n.opts.Admission.Reconfigure(s) // with n.mu held, so that no request of a new class is reported before
	return nil
}

// Run carries out admission's decisions. It blocks until the controller is closed.
func (n *Node) Run() {
	for {
		d, ok := n.opts.Admission.Next()
		if !ok {
			return
		}
		n.ApplyDecision(d)
	}
}

// ApplyDecision carries out one decision. It is for hosts whose controller passes decisions to
// admission.Options.OnDecision.
func (n *Node) ApplyDecision(d admission.Decision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.byNumber[d.ID]; r != nil {
		n.apply(r, d)
	} else if d.Kind == admission.Run || d.Kind == admission.Coalesce {
		// The request was canceled or answered meanwhile. Admission counts it as running until its end is reported:
		// without this report one run slot would be lost.
		n.opts.Admission.Report(admission.RunEnded(d.ID, logic.OutcomeNotStarted, 0))
	}
}

// Sweep removes expired keys, and runs whose end was never reported. The host must call it every
// limits.Limits.SweepInterval.
func (n *Node) Sweep() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Clock.Now()
	n.keys.expire(now)
	for _, r := range n.byNumber {
		switch overdue := now.Sub(r.deadline); {
		case r.unconfirmed && overdue > 0:
			n.abandonRun(r)
		case overdue > n.opts.Limits.OrphanTimeout: // the report of its end was lost with a connection
			n.finishRun(r, logic.OutcomeFailed, 0, nil)
		}
	}
}

func duration(m logic.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
