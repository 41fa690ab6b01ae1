package node

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// endKeys changes class book, whose requests are keyed, to the given idempotency, without a window.
func (h *harness) endKeys(t *testing.T, idempotency logic.Idempotency) {
	t.Helper()
	h.reconfigureClass(t, classBook, func(c *logic.Class) { c.Idempotency, c.IdempotencyWindow = idempotency, 0 })
}

// TestKeyThatRanIsNotRunAgainOnceClassNeedsNoKeys guards against the second run of a key within its window: a reload that made the class
// fragile or retryable had the node drop the keys of all attempts that it read afterwards.
func TestKeyThatRanIsNotRunAgainOnceClassNeedsNoKeys(t *testing.T) {
	for _, idempotency := range []logic.Idempotency{logic.Idempotent, logic.NonIdempotent} {
		t.Run(fmt.Sprint(idempotency), func(t *testing.T) {
			h := newHarness(t)
			for _, id := range []string{"ended", "running", "queued"} {
				h.submit(id, classBook, id, 0)
			}
			h.decide("ended", admission.Run)
			h.RunEnded("ended", logic.OutcomeOK, 0, []byte("r"))
			h.decide("running", admission.Run)
			h.endKeys(t, idempotency)
			for _, id := range []string{"ended", "running", "queued"} {
				h.submit("repeat of "+id, classBook, id, time.Second)
				h.decide("repeat of "+id, admission.Run)
			}
			h.RunEnded("running", logic.OutcomeOK, 0, []byte("s"))
			h.RunEnded("repeat of queued", logic.OutcomeOK, 0, []byte("t"))
			h.decide("queued", admission.Run)
			if got, want := h.runner.String(), "start ended, start running, start repeat of queued"; got != want {
				t.Errorf("commands %s, want %s", got, want)
			}
			want := "[served r] [served s] [served t] [served t]"
			if got := fmt.Sprint(h.responses["repeat of ended"], " ", h.responses["repeat of running"], " ", h.responses["repeat of queued"], " ", h.responses["queued"]); got != want {
				t.Errorf("responses %s, want %s", got, want)
			}

			h.submit("new", classBook, "new", 0) // a key that was not in use is not kept
			h.decide("new", admission.Run)
			h.RunEnded("new", logic.OutcomeOK, 0, nil)
			h.submit("second", classBook, "new", 0)
			h.decide("second", admission.Run)
			h.clock.now = h.clock.now.Add(11 * time.Second) // past the window that the class had
			h.submit("late", classBook, "ended", 0)
			h.decide("late", admission.Run)
			if got, want := h.runner.String(), "start ended, start running, start repeat of queued, start new, start second, start late"; got != want {
				t.Errorf("commands %s, want %s", got, want)
			}
		})
	}
}

// TestAttemptReadAsKeyedIsKeyed guards against the second run of a key whose attempt was read while its class needed keys, and submitted
// after a reload, as its body arrived slowly.
func TestAttemptReadAsKeyedIsKeyed(t *testing.T) {
	h := newHarness(t)
	h.endKeys(t, logic.NonIdempotent)
	for _, id := range []string{"a", "b"} {
		h.Submit(Request{ID: id, Class: classBook, Idempotency: logic.IdempotentByKey, IdempotencyKey: "k", ArrivedAt: h.clock.now, Runner: h.runner},
			func(response Response) { h.responses[id] = append(h.responses[id], fmt.Sprint(response.Status)) })
		h.decide(id, admission.Run)
	}
	h.RunEnded("a", logic.OutcomeOK, 0, nil)
	if got, want := fmt.Sprint(h.runner, h.responses["a"], h.responses["b"]), "start a [served] [served]"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// TestKeyOfOtherClassDoesNotCount checks that a request of a class without keys is not taken for a repeat of a keyed class's request that
// has the same key.
func TestKeyOfOtherClassDoesNotCount(t *testing.T) {
	h := newHarness(t)
	h.submit("a", classBook, "k", 0)
	h.decide("a", admission.Run)
	h.submit("b", classMove, "k", 0)
	h.decide("b", admission.Run)
	if got := h.runner.String(); got != "start a, start b" {
		t.Errorf("commands %s, want both requests started", got)
	}
}

// windowJournal records the windows that it is given.
type windowJournal struct {
	fakeJournal
	windows []time.Duration
}

func (j *windowJournal) RecordStart(record RunRecord, done func(error)) error {
	j.windows = append(j.windows, record.Window)
	return j.fakeJournal.RecordStart(record, done)
}

func (j *windowJournal) RecordEnd(record RunRecord) { j.windows = append(j.windows, record.Window) }

// TestWindowIsNotShortenedWhileKeyRuns guards against a key that the next process runs again: a reload during the run took the window
// away, and the record of the run's end, which replaces that of its start, then had none.
func TestWindowIsNotShortenedWhileKeyRuns(t *testing.T) {
	h := newHarness(t)
	j := &windowJournal{fakeJournal: fakeJournal{recorder: h.runner, done: map[string]func(error){}}}
	h.opts.Journal, h.opts.Limits.RecordTimeout = j, time.Hour
	h.submit("a", classBook, "k", 0)
	h.decide("a", admission.Run)
	j.done["a"](nil)
	h.endKeys(t, logic.NonIdempotent)
	h.RunEnded("a", logic.OutcomeOK, 0, nil)
	if got := fmt.Sprint(j.windows); got != "[10s 10s]" {
		t.Errorf("windows of the records %s, want 10s for the start and the end", got)
	}
}

// TestLongerWindowHoldsForKeysThatRan checks that a key that ran under a shorter window is kept for the window in force.
func TestLongerWindowHoldsForKeysThatRan(t *testing.T) {
	h := newHarness(t)
	h.submit("a", classBook, "k", 0)
	h.decide("a", admission.Run)
	h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	h.reconfigureClass(t, classBook, func(c *logic.Class) { c.IdempotencyWindow = 60e6 })
	h.clock.now = h.clock.now.Add(50 * time.Second)
	h.Sweep()
	h.submit("b", classBook, "k", 0)
	h.decide("b", admission.Run)
	if got := fmt.Sprint(h.runner, h.responses["b"]); got != "start a [served r]" {
		t.Errorf("%s, want the result of the first run", got)
	}
}

// TestKeyOfOtherProcessCountsOnceClassNeedsNoKeys guards against the second run of a key that ran in an earlier process, or is held by
// the one that this process replaces, if this process was started with settings in which the class needs no keys.
func TestKeyOfOtherProcessCountsOnceClassNeedsNoKeys(t *testing.T) {
	t.Run("earlier process", func(t *testing.T) {
		h := newHarness(t)
		h.endKeys(t, logic.NonIdempotent)
		record := servedRecord
		record.Key, record.Class, record.ArrivedAt, record.Window = "k", "book", h.clock.now, 10*time.Second
		h.Restore(record)
		h.submit("a", classBook, "k", time.Second)
		if got := fmt.Sprint(h.runner, h.responses["a"]); got != " [served r]" {
			t.Errorf("%s, want the recorded result without a run", got)
		}
	})
	t.Run("replaced process", func(t *testing.T) {
		h, j := newJournalHarness(t)
		h.opts.Journal = &sharedJournal{fakeJournal: j, held: map[string]RunRecord{"k": servedRecord}}
		h.endKeys(t, logic.NonIdempotent)
		h.submit("a", classBook, "k", 0)
		if got := fmt.Sprint(h.runner, h.responses["a"]); got != " [served r]" {
			t.Errorf("%s, want the other process's result without a run", got)
		}
	})
}
