package node

import (
	"fmt"
	"testing"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// setIdempotency applies settings in which a class has the given idempotency, as a reload does.
func (h *harness) setIdempotency(t *testing.T, class int, idempotency logic.Idempotency) {
	t.Helper()
	h.reconfigureClass(t, class, func(c *logic.Class) { c.Idempotency = idempotency })
}

// TestStricterOfSemanticsAsReadAndInForceHolds guards against a request that is run, or called for, twice because its class changed
// while it was in flight: the node asked only the class in force, so a request that was read as fragile was rejected after it had run,
// which invites its caller to send it again, and its calls could be repeated.
func TestStricterOfSemanticsAsReadAndInForceHolds(t *testing.T) {
	for _, c := range []struct {
		name           string
		asRead, now    logic.Idempotency
		onceStart      string // the start must not be repeated if the class changes while the request is queued
		onceCall       string // nor a call, if it changes while the request runs
		rejectedRun    string // response to a running request that admission rejects
		secondWithSame string // response to another request with its id
		mayRunAgain    bool
	}{
		{"fragile made retryable", logic.NonIdempotent, logic.Idempotent, "[start]", "[start call]", "[failed ]", "[failed ]", false},
		{"retryable made fragile", logic.Idempotent, logic.NonIdempotent, "[start]", "[call]", "[failed ]", "[failed ]", false},
		{"dedup made retryable", logic.IdempotentByKey, logic.Idempotent, "[start]", "[start call]", "[failed ]", "[failed ]", false},
		{"retryable stays", logic.Idempotent, logic.Idempotent, "[]", "[]", "[rejected ]", "[rejected ]", true},
		{"fragile stays", logic.NonIdempotent, logic.NonIdempotent, "[start]", "[start call]", "[failed ]", "[failed ]", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			submitted := func() *harness {
				h := newHarness(t)
				h.setIdempotency(t, classRead, c.asRead)
				h.submit("a", classRead, "k", 0)
				return h
			}
			h := submitted()
			h.setIdempotency(t, classRead, c.now)
			h.decide("a", admission.Run)
			if got := fmt.Sprint(h.runner.once); got != c.onceStart {
				t.Errorf("must not be repeated after a change in the queue: %s, want %s", got, c.onceStart)
			}

			h = submitted()
			h.decide("a", admission.Run)
			h.setIdempotency(t, classRead, c.now)
			h.CallRequested("a", 1, nil)
			h.decide("a", admission.MakeCall)
			if got := fmt.Sprint(h.runner.once); got != c.onceCall {
				t.Errorf("must not be repeated after a change during the run: %s, want %s", got, c.onceCall)
			}
			if got := h.MayRunAgain("a"); got != c.mayRunAgain {
				t.Errorf("may run again %v, want %v", got, c.mayRunAgain)
			}
			h.decide("a", admission.Reject)
			if got := fmt.Sprint(h.responses["a"]); got != c.rejectedRun {
				t.Errorf("response to the rejected run %s, want %s", got, c.rejectedRun)
			}

			h = submitted()
			h.setIdempotency(t, classRead, c.now)
			h.submit("a", classRead, "k2", 0)
			if got := fmt.Sprint(h.responses["a"]); got != c.secondWithSame {
				t.Errorf("response to a second request with the id %s, want %s", got, c.secondWithSame)
			}
		})
	}
}

// TestOperationMovedToOtherClassCounts guards against a retry of a request whose operation now belongs to a fragile class, although the
// class under which it was read is unchanged.
func TestOperationMovedToOtherClassCounts(t *testing.T) {
	h := newHarness(t)
	h.submit("a", classRead, "", 0)
	if h.MayRunAgainAs("a", classMove) || !h.MayRunAgainAs("a", classRead) || h.MayRunAgainAs("unknown", classRead) || h.MayRunAgain("unknown") {
		t.Error("want a request to run again only if both classes are idempotent, and never one that is not in flight")
	}
}
