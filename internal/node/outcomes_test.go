package node

import (
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

type outcomeCase struct {
	name string
	play func(h *harness)
	work string // what the runner and the dependency were asked for
	want string // the responses of a, b and c
}

var outcomeCases = []outcomeCase{
	{"served", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[served r] [] []"},
	{"the end is reported twice", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("s"))
	}, "start a", "[served r] [] []"},
	{"answered, then its run ends", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.Fail)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[failed ] [] []"},
	{"canceled while queued, then run", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.Cancel("a")
		h.decide("a", admission.Run)
	}, "", "[] [] []"},
	{"the same id twice", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
	}, "start a", "[rejected ] [] []"},
	{"the same id twice, of a request that is not idempotent", func(h *harness) {
		h.submit("a", classMove, "", 0)
		h.submit("a", classMove, "", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[failed  served r] [] []"},
	{"rejected by mistake though it runs and is not idempotent", func(h *harness) {
		h.submit("a", classMove, "", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.Reject)
	}, "start a", "[failed ] [] []"},
	{"unconfirmed start, and the run ends after all", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.DeliveryUnconfirmed("a", 0)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Coalesce)
	}, "start a", "[served r] [served r] []"},
	{"unconfirmed start: its key stays claimed, a coalesced attempt fails with it", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.DeliveryUnconfirmed("a", 0)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Coalesce)
		h.decide("a", admission.Fail)
		h.submit("c", classBook, "k", 0)
		h.decide("c", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("late"))
	}, "start a", "[failed ] [failed ] [failed ]"},
	{"unconfirmed start of a canceled request: abandoned at its deadline", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.DeliveryUnconfirmed("a", 0)
		h.Cancel("a")
		h.Sweep()
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Coalesce)
		h.clock.now = h.clock.now.Add(61 * time.Second)
		h.Sweep()
	}, "start a", "[] [failed ] []"},
	{"unconfirmed reply: the run continues without the call", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.CallRequested("a", 7, nil)
		h.decide("a", admission.MakeCall)
		h.DeliveryUnconfirmed("a", 7)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a, call a, skip a, cancel a", "[served r] [] []"},
	{"unconfirmed reply, in a class whose calls can't be skipped", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.CallRequested("a", 7, nil)
		h.DeliveryUnconfirmed("a", 7)
		h.CallRequested("a", 8, nil)
		h.decide("a", admission.Fail)
		h.RunEnded("a", logic.OutcomeOK, 0, nil)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Coalesce)
	}, "start a", "[failed ] [served ] []"},
	{"a keyed request without a key", func(h *harness) {
		h.submit("a", classBook, "", 0)
		h.decide("a", admission.Run)
	}, "", "[rejected ] [] []"},
	{"a second attempt run by mistake is coalesced with the first", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.submit("b", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.decide("b", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[served r] [served r] []"},
	{"an attempt rejected after its original ran is failed", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeFailed, 0, nil)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Reject)
	}, "start a", "[failed ] [failed ] []"},
	{"the key is free once an attempt was rejected without a run", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Reject)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Run)
	}, "start b", "[rejected ] [] []"},
	{"an attempt coalesced with one that never ran runs itself", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Coalesce)
		h.decide("a", admission.Reject)
		h.decide("b", admission.Run)
	}, "start b", "[rejected ] [] []"},
	{"a run that was not started leaves the key to the next", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeNotStarted, 0, nil)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Run)
	}, "start a, start b", "[failed ] [] []"},
	{"the window counts from the arrival of the attempt that ran", func(h *harness) {
		h.submit("a", classBook, "k", -5*time.Second)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.clock.now = h.clock.now.Add(4900 * time.Millisecond)
		h.submit("b", classBook, "k", 0) // 9.9 s after it: coalesced
		h.decide("b", admission.Run)
		h.clock.now = h.clock.now.Add(time.Second)
		h.Sweep()
		h.submit("c", classBook, "k", 0) // 10.9 s after it: a new request
		h.decide("c", admission.Run)
	}, "start a, start c", "[served r] [served r] []"},
	{"and from one that is ahead of this machine's clock", func(h *harness) {
		h.submit("a", classBook, "k", 3*time.Second)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.clock.now = h.clock.now.Add(12900 * time.Millisecond)
		h.submit("b", classBook, "k", 0) // 9.9 s after it: coalesced
		h.decide("b", admission.Run)
		h.clock.now = h.clock.now.Add(time.Second)
		h.submit("c", classBook, "k", 0)
		h.decide("c", admission.Run)
	}, "start a, start c", "[served r] [served r] []"},
	{"an attempt read late belongs to when it arrived", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.clock.now = h.clock.now.Add(11 * time.Second)
		h.Sweep()
		h.submit("b", classBook, "k", -2*time.Second)
		h.decide("b", admission.Run)
	}, "start a", "[served r] [served r] []"},
	{"read after the drain grace", func(h *harness) {
		h.Drain(h.clock.now, time.Minute, false)
		h.clock.now = h.clock.now.Add(1500 * time.Millisecond)
		h.submit("a", classRead, "", 0)
		h.clock.now = h.clock.now.Add(1500 * time.Millisecond)
		h.submit("b", classRead, "", -1500*time.Millisecond) // its first byte came in time; when its last one did nobody has seen
		h.submit("c", classRead, "", 0)
		for _, id := range []string{"a", "b", "c"} {
			h.decide(id, admission.Run)
		}
	}, "start a", "[] [rejected ] [rejected ]"},
	{"a retry read after the drain grace has the result of the run", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.Drain(h.clock.now, time.Minute, false)
		h.clock.now = h.clock.now.Add(3 * time.Second)
		h.submit("b", classBook, "k", 0)
		h.submit("c", classBook, "l", 0)
		h.decide("b", admission.Coalesce)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[served r] [served r] [rejected ]"},
	{"read after all was answered for the kill: answered at once", func(h *harness) {
		h.Drain(h.clock.now.Add(-time.Second), 1100*time.Millisecond, true) // admission isn't told of it
		h.submit("a", classRead, "", 0)
		h.submit("b", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.decide("b", admission.Run)
	}, "", "[rejected ] [rejected ] []"},
	{"the drain grace counts from the notice, however late it is heard of", func(h *harness) {
		h.Drain(h.clock.now.Add(-1900*time.Millisecond), time.Minute, false)
		h.submit("a", classRead, "", 0)
		h.clock.now = h.clock.now.Add(200 * time.Millisecond)
		h.submit("b", classRead, "", -150*time.Millisecond)
		h.decide("a", admission.Run)
		h.decide("b", admission.Run)
	}, "start a", "[] [rejected ] []"},
	{"all is answered before the kill", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.submit("b", classBook, "k", 0)
		h.submit("c", classBook, "l", 0)
		h.decide("b", admission.Run)
		h.Cancel("c")
		h.Drain(h.clock.now, time.Minute, false)
		h.answerAllForKill()
	}, "start b", "[rejected ] [failed ] []"},
	{"the call of a run that has ended is canceled", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.CallRequested("a", 3, nil)
		h.decide("a", admission.MakeCall)
		h.RunEnded("a", logic.OutcomeCanceled, 0, nil)
	}, "start a, call a, cancel a", "[failed ] [] []"},
	{"a skipped call", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.SkipCall) // it waits for no call yet
		h.CallRequested("a", 3, nil)
		h.decide("a", admission.SkipCall)
		h.decide("a", admission.MakeCall)
	}, "start a, skip a", "[] [] []"},
	{"paused and resumed", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.Stop)
		h.decide("a", admission.Run)
		h.decide("a", admission.Run)
	}, "start a, stop a, resume a", "[] [] []"},
}
