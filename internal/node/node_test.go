package node

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/testing/standin"
	"sloehitch/logic"
)

// TestRejectionStatusIsFailedIfKeyMayHaveRun checks that a front end that can't submit an attempt fails it if its key
// may have run within the window, since a rejection would promise that it did not.
func TestRejectionStatusIsFailedIfKeyMayHaveRun(t *testing.T) {
	h := newHarness(t)
	h.submit("a", classBook, "k", 0)
	before := h.RejectionStatus("book", "k")
	h.decide("a", admission.Run)
	during := h.RejectionStatus("book", "k")
	h.RunEnded("a", logic.OutcomeOK, 0, nil)
	after := h.RejectionStatus("book", "k")
	h.clock.now = h.clock.now.Add(11 * time.Second)
	if past := h.RejectionStatus("book", "k"); before != StatusRejected || during != StatusFailed || after != StatusFailed || past != StatusRejected || h.RejectionStatus("book", "") != StatusRejected {
		t.Errorf("statuses before the run %v, during it %v, after it %v, past its window %v; want rejected, failed, failed, rejected, and rejected without a key", before, during, after, past)
	}
}

// TestCommandsAndResponses checks the commands to the runner and the responses to the callers for different orders of
// events.
func TestCommandsAndResponses(t *testing.T) {
	for _, c := range outcomeCases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			c.play(h)
			if got := h.runner.String(); got != c.wantCommands {
				t.Errorf("commands: %s; want %s", got, c.wantCommands)
			}
			if got := fmt.Sprint(h.responses["a"], " ", h.responses["b"], " ", h.responses["c"]); got != c.wantResponses {
				t.Errorf("responses of a, b and c: %s; want %s", got, c.wantResponses)
			}
		})
	}
}

// TestRequestCanceledBeforeStartDoesNotCountAsRunning guards against lost run slots: a request that is canceled after
// admission has decided to start it must not count as running forever.
func TestRequestCanceledBeforeStartDoesNotCountAsRunning(t *testing.T) {
	h := newHarness(t)
	controller, err := admission.New(h.opts.Settings, admission.Options{Clock: h.clock})
	if err != nil {
		t.Fatal(err)
	}
	defer controller.Close()
	h.opts.Admission = controller
	decisions := make(chan admission.Decision)
	go func() {
		for {
			d, ok := controller.Next()
			if !ok {
				return
			}
			decisions <- d
		}
	}()
	for i := range 20 { // far more than may run at once on two cores
		id := fmt.Sprint(i)
		h.submit(id, i%2, "k"+id, 0)
		for {
			var d admission.Decision
			select {
			case d = <-decisions:
			case <-time.After(standin.WaitTimeout):
				t.Fatalf("request %d was not started: canceled requests before it still count as running", i)
			}
			if d.Kind != admission.Run {
				continue // a StoreKey decision
			}
			h.Cancel(id)
			h.ApplyDecision(d)
			break
		}
	}
	if got := h.runner.String(); got != "" {
		t.Errorf("commands to the runner: %s, want none", got)
	}
}

// TestBegunResponseIsNotRejected checks that a response may begin only if its request runs, is unanswered and has no
// key, and that a request whose response has begun is failed instead of rejected.
func TestBegunResponseIsNotRejected(t *testing.T) {
	h := newHarness(t)
	var got []Response
	for i, class := range []int{classRead, classRead, classBook} {
		h.Submit(Request{ID: fmt.Sprint(i), Class: class, IdempotencyKey: "k", ArrivedAt: h.clock.now, Runner: h.runner}, func(a Response) { got = append(got, a) })
	}
	if h.BeginResponse("0") || h.BeginResponse("none") {
		t.Error("BeginResponse accepted a request that does not run")
	}
	for i := range 3 {
		h.decide(fmt.Sprint(i), admission.Run)
	}
	first, again := h.BeginResponse("0"), h.BeginResponse("0")
	if !first || !again || !h.BeginResponse("1") || h.BeginResponse("2") {
		t.Error("BeginResponse refused a running request, or accepted one whose response is stored for retries")
	}
	h.decide("0", admission.Reject)
	h.RunEnded("1", logic.OutcomeOK, 0, nil)
	if h.BeginResponse("0") {
		t.Error("BeginResponse accepted an answered request")
	}
	if len(got) != 2 || got[0].Status != StatusFailed || !got[0].ResponseStarted || got[1].Status != StatusServed || !got[1].ResponseStarted {
		t.Errorf("responses %+v, want failed and served, both with ResponseStarted", got)
	}
}

// TestDeadlineIsEarlierOfCallerAndClass checks that a request's deadline is the earlier of its caller's and its
// class's.
func TestDeadlineIsEarlierOfCallerAndClass(t *testing.T) {
	h := newHarness(t)
	for _, c := range []struct{ wait, want time.Duration }{{0, time.Minute}, {time.Second, time.Second}, {time.Hour, time.Minute}} {
		id := fmt.Sprint(c.wait)
		h.Submit(Request{ID: id, ArrivedAt: h.clock.now, AttemptTimeout: c.wait, Runner: h.runner}, func(Response) {})
		if got := h.byID[id].deadline.Sub(h.clock.now); got != c.want {
			t.Errorf("attempt timeout %v: deadline after %v, want %v", c.wait, got, c.want)
		}
	}
}

// TestStoredResultsAreBounded checks that a result for which there is no space is not stored, so that its retry fails,
// and that expired keys release their space.
func TestStoredResultsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.keys.freeResultBytes = 5
	run := func(id, key string) {
		h.submit(id, classBook, key, 0)
		h.decide(id, admission.Run)
		h.RunEnded(id, logic.OutcomeOK, 0, []byte("four"))
	}
	for i, want := range []string{"[served four]", "[served four]", "[served four]", "[failed ]"} {
		id := fmt.Sprint(i)
		run(id, []string{"k", "l", "k", "l"}[i])
		if got := fmt.Sprint(h.responses[id]); got != want {
			t.Errorf("request %d: responses %s, want %s", i, got, want)
		}
	}
	h.clock.now = h.clock.now.Add(time.Hour)
	h.Sweep()
	if run("5", "l"); h.keys.freeResultBytes != 1 || len(h.keys.entries) != 1 || h.runner.String() != "start 0, start 1, start 5" {
		t.Errorf("after an hour: %d bytes free, %d keys, want 1 of each; commands %s", h.keys.freeResultBytes, len(h.keys.entries), h.runner)
	}
}

// TestTablesAreBounded checks the limits on requests in flight and on keys, and that Sweep empties both tables.
func TestTablesAreBounded(t *testing.T) {
	h := newHarness(t)
	h.opts.Limits.MaxInFlight, h.keys.maxEntries = 3, 2
	for i := range 5 {
		id := fmt.Sprint(i)
		h.submit(id, classBook, "k"+id, 0)
		h.decide(id, admission.Run)
	}
	if got := h.runner.String(); got != "start 0, start 1" || len(h.byNumber) != 2 {
		t.Errorf("commands %s, %d requests in flight; want two runs, as there is room for two keys", got, len(h.byNumber))
	}
	for i := range 5 {
		h.submit(fmt.Sprint("r", i), classRead, "", 0)
	}
	if len(h.byNumber) != 3 || h.unanswered != 3 {
		t.Errorf("%d in flight, %d unanswered; want 3", len(h.byNumber), h.unanswered)
	}
	h.clock.now = h.clock.now.Add(time.Hour)
	h.Sweep() // removes the runs whose end was never reported
	h.Sweep()
	if c, inFlight, keys := h.Totals(); inFlight != 0 || keys != 0 || c.Read != 10 {
		t.Errorf("after an hour: %d in flight, %d keys, %+v", inFlight, keys, c)
	}
}
