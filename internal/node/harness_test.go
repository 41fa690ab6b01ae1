package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
	"sloehitch/logic"
)

// fixedClock returns a fixed time that tests set. Its timers are those of the system clock.
type fixedClock struct {
	clock.System
	now time.Time
}

func (c *fixedClock) Now() time.Time { return c.now }

// recorder is a Runner and a DependencyClient that records the commands it receives.
type recorder struct {
	commands []string
	once     []string // the starts and calls that must not be repeated
}

func (r *recorder) record(command, id string) { r.commands = append(r.commands, command+" "+id) }
func (r *recorder) recordOnce(command, id string, once bool) {
	r.record(command, id)
	if once {
		r.once = append(r.once, command)
	}
}
func (r *recorder) Start(id, _ string, _ []byte, once bool) { r.recordOnce("start", id, once) }
func (r *recorder) Stop(id string)                          { r.record("stop", id) }
func (r *recorder) Resume(id string)                        { r.record("resume", id) }
func (r *recorder) DeliverReply(id string, _ []byte)        { r.record("deliver", id) }
func (r *recorder) SkipCall(id string, _ uint64)            { r.record("skip", id) }
func (r *recorder) String() string                          { return strings.Join(r.commands, ", ") }
func (r *recorder) Cancel(id string)                        { r.record("cancel", id) }
func (r *recorder) Call(id string, _ time.Duration, _ []byte, once bool, done func(admission.Outcome, time.Duration, []byte)) {
	r.recordOnce("call", id, once)
}

// harness is a Node for which the test makes the decisions: Node.Run is not called and the admission controller is
// closed.
type harness struct {
	*Node
	clock     *fixedClock
	runner    *recorder
	responses map[string][]string // by request ID
}

// The classes of a harness.
const (
	classRead = iota // idempotent, may skip its calls
	classBook        // idempotent by key
	classMove        // not idempotent
)

func newHarness(t *testing.T) *harness {
	t.Helper()
	cfg := logic.Settings{Cores: 2, MemoryKB: 1e6, MaxConcurrencyPerCore: 5, ResponseGrace: 80000, DrainGrace: 2000000, Classes: []logic.Class{
		{Name: "read", LatencyObjective: 1e6, ClientTimeout: 60e6, PriorityWeight: 1, CallsDependency: true, DegradedWeightShare: 0.5},
		{Name: "book", LatencyObjective: 1e6, ClientTimeout: 60e6, PriorityWeight: 3, Idempotency: logic.IdempotentByKey, IdempotencyWindow: 10e6},
		{Name: "move", LatencyObjective: 1e6, ClientTimeout: 60e6, PriorityWeight: 3, Idempotency: logic.NonIdempotent}}}
	clock := &fixedClock{now: time.UnixMilli(1764576000000)}
	controller, err := admission.New(cfg, admission.Options{Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	controller.Close()
	r := &recorder{}
	return &harness{New(Options{Settings: cfg, Admission: controller, Dependency: r, Clock: clock, Limits: limits.For(64, 256), Log: standin.DiscardLogger}), clock, r, map[string][]string{}}
}

// submit submits a request whose arrival time is the clock's time plus the given offset.
func (h *harness) submit(id string, class int, key string, offset time.Duration) {
	h.Submit(Request{ID: id, Class: class, IdempotencyKey: key, ArrivedAt: h.clock.now.Add(offset), Runner: h.runner},
		func(response Response) {
			h.responses[id] = append(h.responses[id], fmt.Sprint(response.Status, " ", string(response.Result)))
		})
}

// decide has the Node carry out a decision as if admission had made it.
func (h *harness) decide(id string, kind admission.DecisionKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.byID[id]; r != nil {
		h.apply(r, admission.Decision{Kind: kind, ID: r.number})
	}
}

// reconfigureClass applies settings in which a class is changed, as a reload does.
func (h *harness) reconfigureClass(t *testing.T, class int, change func(*logic.Class)) {
	t.Helper()
	next := h.opts.Settings
	next.Classes = slices.Clone(next.Classes)
	change(&next.Classes[class])
	if err := h.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
}
