package runtime

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/apispec"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
	"sloehitch/logic"
)

type runEnd struct {
	id      string
	outcome admission.Outcome
	result  string
}

type fakeEvents struct {
	ends  chan runEnd
	calls chan uint64

	mu          sync.Mutex
	unconfirmed []unconfirmedCommand
	forbidden   map[string]bool // runs that must not be started twice
}

func (e *fakeEvents) MayRunAgain(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.forbidden[id]
}

// forbid makes a run one that must not be started twice.
func (e *fakeEvents) forbid(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forbidden = map[string]bool{id: true}
}

func (e *fakeEvents) RunEnded(id string, o admission.Outcome, _ time.Duration, result []byte) {
	e.ends <- runEnd{id, o, string(result)}
}
func (e *fakeEvents) DeliveryUnconfirmed(id string, call uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unconfirmed = append(e.unconfirmed, unconfirmedCommand{id, call})
}

// reported returns the commands that have been reported as unconfirmed.
func (e *fakeEvents) reported() []unconfirmedCommand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.unconfirmed)
}
func (e *fakeEvents) CallRequested(_ string, pos uint64, _ []byte) { e.calls <- pos }

func startLink(t *testing.T, rt *standin.Runtime) (*Link, *fakeEvents) {
	e := &fakeEvents{ends: make(chan runEnd, 16), calls: make(chan uint64, 16)}
	l := New(Options{Address: rt.Address, GaugeNames: []string{"core_use", "on_cores"}, Limits: limits.For(64, 256),
		Log: standin.DiscardLogger, OnGauges: func(admission.Gauges) {}})
	go l.Serve(e)
	t.Cleanup(l.Close)
	return l, e
}

func TestRunsAndCalls(t *testing.T) {
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) {
		if j.Lane == "calls" {
			return "OK", string(j.Call("please"))
		}
		return map[string]string{"good": "OK", "bad": "ERROR", "odd": "NEW"}[j.Lane], "r"
	})
	l, e := startLink(t, rt)
	for _, c := range []struct {
		lane string
		o    admission.Outcome
	}{{"good", logic.OutcomeOK}, {"bad", logic.OutcomeFailed}, {"odd", logic.OutcomeFailed}} {
		l.Start(c.lane, c.lane, []byte("a\nb"), true)
		if got := <-e.ends; got.id != c.lane || got.outcome != c.o {
			t.Errorf("%s: %+v, want %v", c.lane, got, c.o)
		}
	}
	l.Start("x", "calls", nil, true)
	<-e.calls
	l.DeliverReply("x", []byte("reply"))
	if got := <-e.ends; got.result != "reply" {
		t.Errorf("result %q, want the reply that was delivered", got.result)
	}
}

// TestResumeNeitherLosesNorRepeatsNotices breaks the connection while runs are in progress and checks that no notice
// is lost or handled twice, and that nothing runs twice.
func TestResumeNeitherLosesNorRepeatsNotices(t *testing.T) {
	release := make(chan struct{})
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { <-release; return "OK", j.UID })
	l, e := startLink(t, rt)
	if pos := <-rt.Syncs; pos != 0 {
		t.Errorf("the first sync is from %d, want 0", pos)
	}
	l.Start("a", "book", []byte("a"), true)
	l.Start("b", "slot-search", []byte("b"), false)
	for rt.Runs("a")+rt.Runs("b") < 2 {
		time.Sleep(time.Millisecond)
	}
	rt.Disconnect()
	close(release)
	<-rt.Syncs
	l.Start("c", "book", []byte("c"), true)
	seen := map[string]int{}
	for range 3 {
		seen[(<-e.ends).id]++
	}
	for _, id := range []string{"a", "b", "c"} {
		if seen[id] != 1 || rt.Runs(id) != 1 {
			t.Errorf("run %s: ended %d times, ran %d times, want once each", id, seen[id], rt.Runs(id))
		}
	}
	rt.Disconnect()
	if pos := <-rt.Syncs; pos != 3 {
		t.Errorf("resumed from %d, want 3", pos)
	}
}

// TestLostCommandIsRedeliveredOnlyIfHarmless checks that a command that was written and not carried out is sent again
// only if a second delivery does no harm. The start of a request that is not idempotent, and a reply, are reported as
// unconfirmed instead. Skipping the call then makes the run continue, once.
func TestLostCommandIsRedeliveredOnlyIfHarmless(t *testing.T) {
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) {
		return "OK", string(j.Call("one")) + string(j.Call("two"))
	})
	l, e := startLink(t, rt)
	<-rt.Syncs
	drop := func(command func()) {
		n := rt.DropCommands()
		command()
		for rt.DroppedCommands() == n {
			time.Sleep(time.Millisecond)
		}
		rt.Disconnect()
		<-rt.Syncs
	}
	unconfirmed := func(want ...unconfirmedCommand) {
		t.Helper()
		waitFor(t, l, func() bool { return len(e.reported()) >= len(want) })
		if got := e.reported(); !slices.Equal(got, want) {
			t.Errorf("unconfirmed %v, want %v", got, want)
		}
	}
	drop(func() { l.Start("k", "book", []byte("k"), true) })
	unconfirmed(unconfirmedStart("k"))
	drop(func() { l.Start("a", "slot-search", []byte("a"), false) })
	first := <-e.calls
	drop(func() { l.DeliverReply("a", []byte("1")) })
	unconfirmed(unconfirmedStart("k"), unconfirmedReply("a", first))
	drop(func() { l.SkipCall("a", first) })
	<-e.calls
	l.DeliverReply("a", []byte("2"))
	if got := <-e.ends; got.result != "2" || rt.Runs("a") != 1 {
		t.Errorf("result %q after %d runs, want one run with the first call skipped and the second answered", got.result, rt.Runs("a"))
	}
	if rt.Runs("k") != 0 {
		t.Error("the start of a request that is not idempotent was sent again")
	}
}

func unconfirmedStart(id string) unconfirmedCommand              { return unconfirmedCommand{id, 0} }
func unconfirmedReply(id string, call uint64) unconfirmedCommand { return unconfirmedCommand{id, call} }

// requestGauges requests the gauges as if the runtime were ready.
func requestGauges(l *Link) { l.writable = true; l.RequestGauges(); l.writable = false }

// answerGauges records the echo of the last gauges request.
func answerGauges(l *Link) {
	l.recordGaugesReceived(gaugesNotice{echo: strconv.FormatUint(l.gaugesRequested, 10)})
}

// redeliveryCases are commands on a connection that breaks, and what is sent again or reported on the next one.
var redeliveryCases = []struct {
	name        string
	prepare     func(l *Link)
	want        string
	unconfirmed []unconfirmedCommand
}{
	{"idempotent start", func(l *Link) { l.Start("a", "book", nil, false) }, "start", nil},
	{"idempotent start that was read", func(l *Link) { l.Start("a", "book", nil, false); requestGauges(l); answerGauges(l) }, "start", nil},
	{"non-idempotent start", func(l *Link) { l.Start("a", "book", nil, true) }, "", []unconfirmedCommand{{"a", 0}}},
	{"non-idempotent start before an unanswered gauges request", func(l *Link) { l.Start("a", "book", nil, true); requestGauges(l) }, "", []unconfirmedCommand{{"a", 0}}},
	{"non-idempotent start that was read", func(l *Link) { l.Start("a", "book", nil, true); requestGauges(l); answerGauges(l) }, "", nil},
	{"non-idempotent start after an answered gauges request", func(l *Link) { requestGauges(l); l.Start("a", "book", nil, true); answerGauges(l) }, "", []unconfirmedCommand{{"a", 0}}},
	{"start followed by a notice of its run", func(l *Link) { l.Start("a", "book", nil, true); l.recordCall("a", 3) }, "", nil},
	{"start of a run that has ended", func(l *Link) { l.Start("a", "book", nil, true); l.removeRun("a") }, "", nil},
	{"reply after an answered gauges request", func(l *Link) {
		l.Start("a", "book", nil, false)
		l.recordCall("a", 3)
		requestGauges(l)
		answerGauges(l)
		l.DeliverReply("a", nil)
	}, "", []unconfirmedCommand{{"a", 3}}},
	{"reply that was read", func(l *Link) {
		l.Start("a", "book", nil, true)
		l.recordCall("a", 3)
		l.DeliverReply("a", nil)
		requestGauges(l)
		answerGauges(l)
	}, "", nil},
	{"skipped call", func(l *Link) {
		l.Start("a", "book", nil, true)
		l.recordCall("a", 3)
		l.SkipCall("a", 3)
		requestGauges(l)
		answerGauges(l)
	}, "omit", nil},
}

// TestRedeliveryByKindOfCommand checks that a command that may arrive twice is sent again on the next connection, and
// that any other is reported as unconfirmed unless an echo proves that it was read.
func TestRedeliveryByKindOfCommand(t *testing.T) {
	for _, c := range redeliveryCases {
		l := New(Options{Limits: limits.For(64, 256), Log: standin.DiscardLogger})
		l.generation = 1
		c.prepare(l)
		l.takeQueue()
		l.generation++
		r := l.decideRedelivery()
		var m command
		if len(l.queue) > 0 {
			if err := json.Unmarshal(l.queue[0].line, &m); err != nil {
				t.Fatal(err)
			}
		}
		if m.Action != c.want || len(l.queue) > 1 {
			t.Errorf("%s: %v is sent again, want %q", c.name, l.queue, c.want)
		}
		if !slices.Equal(r.unconfirmed, c.unconfirmed) || len(r.abandoned) > 0 {
			t.Errorf("%s: unconfirmed %v, abandoned %v, want %v and none", c.name, r.unconfirmed, r.abandoned, c.unconfirmed)
		}
		if again := l.decideRedelivery(); len(again.unconfirmed) > 0 || len(l.queue) > 1 {
			t.Errorf("%s: redelivery was decided twice on one connection", c.name)
		}
	}
}

// TestSetAddressLosesNoCommand checks that commands in flight during a change of address are carried out once, and
// that notices resume after the last one that was read.
func TestSetAddressLosesNoCommand(t *testing.T) {
	release := make(chan struct{})
	rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) { <-release; return "OK", j.UID })
	l, e := startLink(t, rt)
	<-rt.Syncs
	l.Start("a", "book", []byte("a"), true)
	l.SetAddress(rt.ListenAgain(t))
	l.Start("b", "book", []byte("b"), true)
	close(release)
	<-rt.Syncs
	for range 2 {
		got := <-e.ends
		if got.outcome != logic.OutcomeOK || rt.Runs(got.id) != 1 {
			t.Errorf("end %+v after %d runs, want OutcomeOK after one", got, rt.Runs(got.id))
		}
	}
	l.SetAddress(rt.ListenAgain(t))
	if pos := <-rt.Syncs; pos != 2 {
		t.Errorf("resumed from %d, want 2", pos)
	}
}

func TestMalformedNoticeIsRejected(t *testing.T) {
	l := New(Options{Limits: limits.For(64, 256), Log: standin.DiscardLogger})
	if err := l.handleNotice([]byte(`{"action":"info","pos":1,"code":{"a":[1]},"uid":7}`)); err != nil || l.lastNotice != 1 {
		t.Errorf("an informational notice was rejected or not counted: %v", err)
	}
	for _, line := range []string{"", "{", "[]", `{"action":"wants","pos":1,"content":"%"}`, `{"pos":-1}`} {
		l := New(Options{Limits: limits.For(64, 256), Log: standin.DiscardLogger})
		l.events = &fakeEvents{}
		if l.handleNotice([]byte(line)) == nil {
			t.Errorf("malformed notice %q was accepted", line)
		}
	}
}

// TestMessagesMatchAsyncAPI checks that each command is valid by the AsyncAPI document, and that each
// example notice of that document is handled.
func TestMessagesMatchAsyncAPI(t *testing.T) {
	messages, err := apispec.Messages(apispec.PlatformAsyncAPI)
	if err != nil {
		t.Fatal(err)
	}
	l := New(Options{Limits: limits.For(64, 256), Log: standin.DiscardLogger, OnGauges: func(admission.Gauges) {}})
	e := &fakeEvents{ends: make(chan runEnd, 16), calls: make(chan uint64, 16)}
	l.events, l.writable = e, true
	l.queue = append(l.queue, queuedCommand{line: encodeSync(7)})
	l.Start("a", "book", nil, true)
	l.Stop("a")
	l.Resume("a")
	l.DeliverReply("a", []byte("reply"))
	l.SkipCall("a", 3)
	l.RequestGauges()
	for _, q := range l.queue {
		payload, err := jsonschema.UnmarshalJSON(bytes.NewReader(q.line))
		if err != nil {
			t.Fatal(err)
		}
		if err := messages["command"].Validate(payload); err != nil {
			t.Errorf("%s: %v", q.line, err)
		}
	}
	for _, example := range messages["notice"].Examples {
		line, err := json.Marshal(example)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.handleNotice(line); err != nil {
			t.Errorf("%s: %v", line, err)
		}
	}
	if len(e.ends) != 1 || len(e.calls) != 1 || l.lastNotice != 3 {
		t.Errorf("%d ends and %d calls were reported, last notice %d; want 1, 1 and 3", len(e.ends), len(e.calls), l.lastNotice)
	}
}

func TestRequeueUnwritten(t *testing.T) {
	lines := []queuedCommand{{line: []byte("abc\n")}, {line: []byte("de\n")}, {line: []byte("f\n")}}
	for _, c := range []struct {
		written int
		want    string
	}{ // a line that lacks only its newline is complete to a reader that then reads the end of the stream
		{0, "abc\nde\nf\nlater\n"}, {2, "abc\nde\nf\nlater\n"}, {3, "de\nf\nlater\n"}, {4, "de\nf\nlater\n"}, {5, "de\nf\nlater\n"},
		{6, "f\nlater\n"}, {7, "f\nlater\n"}, {8, "later\n"}, {9, "later\n"},
	} {
		l := New(Options{Limits: limits.For(64, 256), Log: standin.DiscardLogger})
		l.queue = []queuedCommand{{line: []byte("later\n")}}
		l.requeueUnwritten(lines, c.written)
		var got string
		for _, q := range l.queue {
			got += string(q.line)
		}
		if got != c.want {
			t.Errorf("after %d bytes: %q, want %q", c.written, got, c.want)
		}
	}
}

// TestRunsFailIfNoticesAreLost checks that if the runtime no longer has all notices, a run that was started before
// the break and has no later notice counts as failed and is not started again, since its end may be among the lost
// notices.
func TestRunsFailIfNoticesAreLost(t *testing.T) {
	resume := func(first uint64, once bool) (ended []runEnd, queued int) {
		l := New(Options{Limits: limits.For(64, 256), Log: standin.DiscardLogger, OnGauges: func(admission.Gauges) {}})
		e := &fakeEvents{ends: make(chan runEnd, 16), calls: make(chan uint64, 16)}
		l.events, l.writable, l.generation = e, true, 1
		for _, id := range []string{"a", "b", "c"} {
			l.Start(id, "book", nil, once)
		}
		l.takeQueue() // all three are written before the link breaks
		l.lastNotice, l.generation = 10, 2
		for i, line := range []string{`{"action":"wants","uid":"b"`, `{"action":"info"`} {
			if err := l.handleNotice(fmt.Appendf(nil, `%s,"pos":%d}`, line, first+uint64(i))); err != nil {
				t.Fatal(err)
			}
		}
		l.Start("d", "book", nil, true)
		l.takeQueue()
		if err := l.handleNotice([]byte(`{"action":"load","echo":"resumed","meters":[]}`)); err != nil {
			t.Fatal(err)
		}
		close(e.ends)
		for x := range e.ends {
			ended = append(ended, x)
		}
		return ended, len(l.queue)
	}
	if got, queued := resume(11, false); len(got) != 0 || queued != 2 { // a and c may be lost; d was written on the current link
		t.Errorf("without lost notices %v ended, %d starts were sent again; want none and 2", got, queued)
	}
	if got, queued := resume(11, true); len(got) != 0 || queued != 0 {
		t.Errorf("without lost notices %v ended, %d non-idempotent starts were sent again; want none", got, queued)
	}
	got, queued := resume(5000, false)
	if !slices.Equal(got, []runEnd{{"a", logic.OutcomeFailed, ""}, {"c", logic.OutcomeFailed, ""}}) || queued != 0 {
		t.Errorf("with lost notices %v ended, %d starts were sent again; want a and c failed, and none sent again", got, queued)
	}
}
