package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
	"sloehitch/logic"
)

// still stands until it is moved; its timers are the system's.
type still struct {
	clock.System
	now time.Time
}

func (c *still) Now() time.Time { return c.now }

// recorder is a runner that notes what it was asked for.
type recorder struct{ asked []string }

func (r *recorder) note(what, id string)                 { r.asked = append(r.asked, what+" "+id) }
func (r *recorder) Start(id, _ string, _ []byte, _ bool) { r.note("start", id) }
func (r *recorder) Stop(id string)                       { r.note("stop", id) }
func (r *recorder) Resume(id string)                     { r.note("continue", id) }
func (r *recorder) DeliverReply(id string, _ []byte)     { r.note("give", id) }
func (r *recorder) SkipCall(id string, _ uint64)         { r.note("omit", id) }
func (r *recorder) String() string                       { return strings.Join(r.asked, ", ") }
func (r *recorder) Cancel(id string)                     { r.note("quit", id) }
func (r *recorder) Call(id string, _ time.Duration, _ []byte, _ bool, done func(admission.Outcome, time.Duration, []byte)) {
	r.note("call", id)
}

// bench is a node whose decisions a test makes itself: Serve is not running, and the module's word is ignored.
type bench struct {
	*Node
	clock   *still
	work    *recorder
	answers map[string][]string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	cfg := logic.Settings{Cores: 2, MemoryKB: 1e6, MaxConcurrencyPerCore: 5, ResponseGrace: 80000, DrainGrace: 2000000, Classes: []logic.Class{
		{Name: "read", LatencyObjective: 1e6, ClientTimeout: 60e6, PriorityWeight: 1, CallsDependency: true, DegradedWeightShare: 0.5},
		{Name: "book", LatencyObjective: 1e6, ClientTimeout: 60e6, PriorityWeight: 3, Idempotency: logic.IdempotentByKey, IdempotencyWindow: 10e6},
		{Name: "move", LatencyObjective: 1e6, ClientTimeout: 60e6, PriorityWeight: 3, Idempotency: logic.NonIdempotent}}}
	c := &still{now: time.UnixMilli(1764576000000)}
	g, err := admission.New(cfg, admission.Options{Clock: c})
	if err != nil {
		t.Fatal(err)
	}
	g.Close()
	r := &recorder{}
	return &bench{New(Options{Settings: cfg, Admission: g, Dependency: r, Clock: c, Limits: limits.For(64, 256), Log: standin.Quiet}), c, r, map[string][]string{}}
}

func (b *bench) submit(id string, class int, key string, at time.Duration) {
	b.Submit(Request{ID: id, Class: class, IdempotencyKey: key, ArrivedAt: b.clock.now.Add(at), Runner: b.work},
		func(a Response) {
			b.answers[id] = append(b.answers[id], fmt.Sprint([]string{"served", "refused", "failed"}[a.Status], " ", string(a.Result)))
		})
}

// TestRefusal: a front that can't submit a try of a key that ran must not promise that it did not.
func TestRefusal(t *testing.T) {
	b := newBench(t)
	b.submit("a", 1, "k", 0)
	before := b.RejectionStatus("book", "k")
	b.decide("a", admission.Run)
	during := b.RejectionStatus("book", "k")
	b.RunEnded("a", logic.OutcomeOK, 0, nil)
	after := b.RejectionStatus("book", "k")
	b.clock.now = b.clock.now.Add(11 * time.Second)
	if past := b.RejectionStatus("book", "k"); before != StatusRejected || during != StatusFailed || after != StatusFailed || past != StatusRejected || b.RejectionStatus("book", "") != StatusRejected {
		t.Errorf("before the run %v, during it %v, after it %v, past its window %v", before, during, after, past)
	}
}

// decide plays the module.
func (b *bench) decide(id string, v admission.DecisionKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.byID[id]; r != nil {
		b.apply(r, admission.Decision{Kind: v, ID: r.number})
	}
}

func TestOutcomes(t *testing.T) {
	const book, move = 1, 2
	for _, c := range []struct {
		name string
		play func(b *bench)
		work string // what the runner was asked for
		want string // the answers of a, b and c
	}{
		{"served", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.decide("a", admission.Run)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		}, "start a", "[served r] [] []"},
		{"an end that comes twice", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.decide("a", admission.Run)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("s"))
		}, "start a", "[served r] [] []"},
		{"answered, then its run ends", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.decide("a", admission.Run)
			b.decide("a", admission.Fail)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		}, "start a", "[failed ] [] []"},
		{"gone while held, then run", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.Cancel("a")
			b.decide("a", admission.Run)
		}, "", "[] [] []"},
		{"the same id twice", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.submit("a", 0, "", 0)
			b.decide("a", admission.Run)
		}, "start a", "[refused ] [] []"},
		{"the same id twice, of a request that may run once", func(b *bench) {
			b.submit("a", move, "", 0)
			b.submit("a", move, "", 0)
			b.decide("a", admission.Run)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		}, "start a", "[failed  served r] [] []"},
		{"refused by mistake though it runs, and must not run twice", func(b *bench) {
			b.submit("a", move, "", 0)
			b.decide("a", admission.Run)
			b.decide("a", admission.Reject)
		}, "start a", "[failed ] [] []"},
		{"a start that nobody can confirm, and the run ends after all", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.DeliveryUnconfirmed("a", 0)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Coalesce)
		}, "start a", "[served r] [served r] []"},
		{"a start that nobody can confirm: its key stays taken, a repeat that waits for it fails with it", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.DeliveryUnconfirmed("a", 0)
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Coalesce)
			b.decide("a", admission.Fail)
			b.submit("c", book, "k", 0)
			b.decide("c", admission.Run)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("late"))
		}, "start a", "[failed ] [failed ] [failed ]"},
		{"a start that nobody can confirm, whose caller is gone: it is written off when it was due", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.DeliveryUnconfirmed("a", 0)
			b.Cancel("a")
			b.Sweep()
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Coalesce)
			b.clock.now = b.clock.now.Add(61 * time.Second)
			b.Sweep()
		}, "start a", "[] [failed ] []"},
		{"a reply that nobody can confirm: the run goes on without the call", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.decide("a", admission.Run)
			b.CallRequested("a", 7, nil)
			b.decide("a", admission.MakeCall)
			b.DeliveryUnconfirmed("a", 7)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		}, "start a, call a, omit a, quit a", "[served r] [] []"},
		{"a reply that nobody can confirm, in a class whose calls can't be left out", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.CallRequested("a", 7, nil)
			b.DeliveryUnconfirmed("a", 7)
			b.CallRequested("a", 8, nil)
			b.decide("a", admission.Fail)
			b.RunEnded("a", logic.OutcomeOK, 0, nil)
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Coalesce)
		}, "start a", "[failed ] [served ] []"},
		{"a keyed request without a key", func(b *bench) {
			b.submit("a", book, "", 0)
			b.decide("a", admission.Run)
		}, "", "[refused ] [] []"},
		{"a second try run by mistake joins the first", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.submit("b", book, "k", 0)
			b.decide("a", admission.Run)
			b.decide("b", admission.Run)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		}, "start a", "[served r] [served r] []"},
		{"a try that is refused after its forerunner ran is failed", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.RunEnded("a", logic.OutcomeFailed, 0, nil)
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Reject)
		}, "start a", "[failed ] [failed ] []"},
		{"the key is free once a try was refused unrun", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Reject)
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Run)
		}, "start b", "[refused ] [] []"},
		{"one that waits for a try that never ran runs itself", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Coalesce)
			b.decide("a", admission.Reject)
			b.decide("b", admission.Run)
		}, "start b", "[refused ] [] []"},
		{"a run that was moot leaves the key to the next", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.RunEnded("a", logic.OutcomeNotStarted, 0, nil)
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Run)
		}, "start a, start b", "[failed ] [] []"},
		{"the window counts from the time stamp of the try that ran", func(b *bench) {
			b.submit("a", book, "k", -5*time.Second)
			b.decide("a", admission.Run)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
			b.clock.now = b.clock.now.Add(4900 * time.Millisecond)
			b.submit("b", book, "k", 0) // 9.9 s after it: joins
			b.decide("b", admission.Run)
			b.clock.now = b.clock.now.Add(time.Second)
			b.Sweep()
			b.submit("c", book, "k", 0) // 10.9 s after it: a new request
			b.decide("c", admission.Run)
		}, "start a, start c", "[served r] [served r] []"},
		{"and from one that is ahead of our clock", func(b *bench) {
			b.submit("a", book, "k", 3*time.Second)
			b.decide("a", admission.Run)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
			b.clock.now = b.clock.now.Add(12900 * time.Millisecond)
			b.submit("b", book, "k", 0) // 9.9 s after it: joins
			b.decide("b", admission.Run)
			b.clock.now = b.clock.now.Add(time.Second)
			b.submit("c", book, "k", 0)
			b.decide("c", admission.Run)
		}, "start a, start c", "[served r] [served r] []"},
		{"a try read late belongs to when it came", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
			b.clock.now = b.clock.now.Add(11 * time.Second)
			b.Sweep()
			b.submit("b", book, "k", -2*time.Second)
			b.decide("b", admission.Run)
		}, "start a", "[served r] [served r] []"},
		{"too late after the notice to leave", func(b *bench) {
			b.Drain(b.clock.now, time.Minute, false)
			b.clock.now = b.clock.now.Add(1500 * time.Millisecond)
			b.submit("a", 0, "", 0)
			b.clock.now = b.clock.now.Add(1500 * time.Millisecond)
			b.submit("b", 0, "", -1500*time.Millisecond) // its first byte came in time; when its last one did nobody has seen
			b.submit("c", 0, "", 0)
			for _, id := range []string{"a", "b", "c"} {
				b.decide(id, admission.Run)
			}
		}, "start a", "[] [refused ] [refused ]"},
		{"a repeat that is read too late has the result of the run", func(b *bench) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.Drain(b.clock.now, time.Minute, false)
			b.clock.now = b.clock.now.Add(3 * time.Second)
			b.submit("b", book, "k", 0)
			b.submit("c", book, "l", 0)
			b.decide("b", admission.Coalesce)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		}, "start a", "[served r] [served r] [refused ]"},
		{"what is read after all was answered for the kill is answered at once", func(b *bench) {
			b.Drain(b.clock.now.Add(-time.Second), 1100*time.Millisecond, true) // the module isn't told of it
			b.submit("a", 0, "", 0)
			b.submit("b", book, "k", 0)
			b.decide("a", admission.Run)
			b.decide("b", admission.Run)
		}, "", "[refused ] [refused ] []"},
		{"the grace counts from the notice, however late it is heard of", func(b *bench) {
			b.Drain(b.clock.now.Add(-1900*time.Millisecond), time.Minute, false)
			b.submit("a", 0, "", 0)
			b.clock.now = b.clock.now.Add(200 * time.Millisecond)
			b.submit("b", 0, "", -150*time.Millisecond)
			b.decide("a", admission.Run)
			b.decide("b", admission.Run)
		}, "start a", "[] [refused ] []"},
		{"all is answered before the kill", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.submit("b", book, "k", 0)
			b.submit("c", book, "l", 0)
			b.decide("b", admission.Run)
			b.Cancel("c")
			b.Drain(b.clock.now, time.Minute, false)
			b.answerAllForKill()
		}, "start b", "[refused ] [failed ] []"},
		{"a call whose request is over is given up", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.decide("a", admission.Run)
			b.CallRequested("a", 3, nil)
			b.decide("a", admission.MakeCall)
			b.RunEnded("a", logic.OutcomeCanceled, 0, nil)
		}, "start a, call a, quit a", "[failed ] [] []"},
		{"a call left out", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.decide("a", admission.Run)
			b.decide("a", admission.SkipCall) // it stands at no call yet
			b.CallRequested("a", 3, nil)
			b.decide("a", admission.SkipCall)
			b.decide("a", admission.MakeCall)
		}, "start a, omit a", "[] [] []"},
		{"paused and taken up again", func(b *bench) {
			b.submit("a", 0, "", 0)
			b.decide("a", admission.Run)
			b.decide("a", admission.Stop)
			b.decide("a", admission.Run)
			b.decide("a", admission.Run)
		}, "start a, stop a, continue a", "[] [] []"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			c.play(b)
			if got := b.work.String(); got != c.work {
				t.Errorf("work: %s; want %s", got, c.work)
			}
			if got := fmt.Sprint(b.answers["a"], " ", b.answers["b"], " ", b.answers["c"]); got != c.want {
				t.Errorf("answers: %s; want %s", got, c.want)
			}
		})
	}
}

// TestGoneAsItStarts: a caller that leaves while the module decides to start its request takes no place from others for good.
func TestGoneAsItStarts(t *testing.T) {
	b := newBench(t)
	g, err := admission.New(b.opts.Settings, admission.Options{Clock: b.clock})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	b.opts.Admission = g
	picked := make(chan admission.Decision)
	go func() {
		for {
			d, ok := g.Next()
			if !ok {
				return
			}
			picked <- d
		}
	}()
	for i := range 20 { // far more than run at once on two cores
		id := fmt.Sprint(i)
		b.submit(id, i%2, "k"+id, 0)
		for {
			var d admission.Decision
			select {
			case d = <-picked:
			case <-time.After(standin.Patience):
				t.Fatalf("request %d is not started: the ones before it still count", i)
			}
			if d.Kind != admission.Run {
				continue // it keeps a key
			}
			b.Cancel(id)
			b.ApplyDecision(d)
			break
		}
	}
	if got := b.work.String(); got != "" {
		t.Errorf("started: %s", got)
	}
}

// TestBegin: a response that has begun can't be refused any more, and only a run that is owed an answer and need not be kept may begin.
func TestBegin(t *testing.T) {
	b := newBench(t)
	var got []Response
	for i, class := range []int{0, 0, 1} {
		b.Submit(Request{ID: fmt.Sprint(i), Class: class, IdempotencyKey: "k", ArrivedAt: b.clock.now, Runner: b.work}, func(a Response) { got = append(got, a) })
	}
	if b.BeginResponse("0") || b.BeginResponse("none") {
		t.Error("one that does not run has begun")
	}
	for i := range 3 {
		b.decide(fmt.Sprint(i), admission.Run)
	}
	if !b.BeginResponse("0") || !b.BeginResponse("0") || !b.BeginResponse("1") || b.BeginResponse("2") {
		t.Error("a run may not begin, or one that is kept for repeats may")
	}
	b.decide("0", admission.Reject)
	b.RunEnded("1", logic.OutcomeOK, 0, nil)
	if b.BeginResponse("0") {
		t.Error("one that is answered has begun")
	}
	if len(got) != 2 || got[0].Status != StatusFailed || !got[0].ResponseStarted || got[1].Status != StatusServed || !got[1].ResponseStarted {
		t.Errorf("%+v", got)
	}
}

// TestToldWait: a caller that says how long it waits is due then, if that is sooner than its class's deadline.
func TestToldWait(t *testing.T) {
	b := newBench(t)
	for _, c := range []struct{ wait, want time.Duration }{{0, time.Minute}, {time.Second, time.Second}, {time.Hour, time.Minute}} {
		id := fmt.Sprint(c.wait)
		b.Submit(Request{ID: id, ArrivedAt: b.clock.now, AttemptTimeout: c.wait, Runner: b.work}, func(Response) {})
		if got := b.byID[id].deadline.Sub(b.clock.now); got != c.want {
			t.Errorf("a wait of %v: due after %v, want %v", c.wait, got, c.want)
		}
	}
}

// TestKeptResultsAreBounded: a result beyond the room is not kept, so its repeat fails; what expires makes room again.
func TestKeptResultsAreBounded(t *testing.T) {
	b := newBench(t)
	b.keys.freeResultBytes = 5
	run := func(id, key string) {
		b.submit(id, 1, key, 0)
		b.decide(id, admission.Run)
		b.RunEnded(id, logic.OutcomeOK, 0, []byte("four"))
	}
	for i, want := range []string{"[served four]", "[served four]", "[served four]", "[failed ]"} {
		id := fmt.Sprint(i)
		run(id, []string{"k", "l", "k", "l"}[i])
		if got := fmt.Sprint(b.answers[id]); got != want {
			t.Errorf("%d: %s, want %s", i, got, want)
		}
	}
	b.clock.now = b.clock.now.Add(time.Hour)
	b.Sweep()
	if run("5", "l"); b.keys.freeResultBytes != 1 || len(b.keys.entries) != 1 || b.work.String() != "start 0, start 1, start 5" {
		t.Errorf("%d bytes left, %d keys after an hour; %s", b.keys.freeResultBytes, len(b.keys.entries), b.work)
	}
}

// TestTablesAreBounded: neither a crowd of requests nor one of keys may take more than its limit.
func TestTablesAreBounded(t *testing.T) {
	b := newBench(t)
	b.opts.Limits.MaxInFlight, b.keys.maxEntries = 3, 2
	for i := range 5 {
		id := fmt.Sprint(i)
		b.submit(id, 1, "k"+id, 0)
		b.decide(id, admission.Run)
	}
	if got := b.work.String(); got != "start 0, start 1" || len(b.byNumber) != 2 {
		t.Errorf("%s, %d in hand; want two, as there is room for two keys", got, len(b.byNumber))
	}
	for i := range 5 {
		b.submit(fmt.Sprint("r", i), 0, "", 0)
	}
	if len(b.byNumber) != 3 || b.unanswered != 3 {
		t.Errorf("%d in hand, %d owed; want 3", len(b.byNumber), b.unanswered)
	}
	b.clock.now = b.clock.now.Add(time.Hour)
	b.Sweep() // runs whose end was never told
	b.Sweep()
	if c, hand, keys := b.Totals(); hand != 0 || keys != 0 || c.Read != 10 {
		t.Errorf("after an hour: %d in hand, %d keys, %+v", hand, keys, c)
	}
}
