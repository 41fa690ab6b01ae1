package node

import (
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

type outcomeCase struct {
	name          string
	play          func(h *harness)
	wantCommands  string // commands to the runner and the dependency client
	wantResponses string // the responses of a, b and c
}

var outcomeCases = []outcomeCase{
	{"served", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[served r] [] []"},
	{"second report of a run's end is ignored", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("s"))
	}, "start a", "[served r] [] []"},
	{"run ends after the request was answered", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.Fail)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[failed ] [] []"},
	{"request canceled while queued is not started", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.Cancel("a")
		h.decide("a", admission.Run)
	}, "", "[] [] []"},
	{"second request with the same id is rejected", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
	}, "start a", "[rejected ] [] []"},
	{"second request with the same id is failed if not idempotent", func(h *harness) {
		h.submit("a", classMove, "", 0)
		h.submit("a", classMove, "", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[failed  served r] [] []"},
	{"rejection of a running request that is not idempotent becomes a failure", func(h *harness) {
		h.submit("a", classMove, "", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.Reject)
	}, "start a", "[failed ] [] []"},
	{"run with unconfirmed start ends normally", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.DeliveryUnconfirmed("a", 0)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Coalesce)
	}, "start a", "[served r] [served r] []"},
	{"key of an unconfirmed start stays claimed and coalesced attempts fail", func(h *harness) {
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
	{"unconfirmed start of a canceled request is abandoned at its deadline", func(h *harness) {
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
	{"run with unconfirmed reply continues without the call", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.CallRequested("a", 7, nil)
		h.decide("a", admission.MakeCall)
		h.DeliveryUnconfirmed("a", 7)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a, call a, skip a, cancel a", "[served r] [] []"},
	{"run with unconfirmed reply that can't skip calls is not abandoned after its next call", func(h *harness) {
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
	{"keyed request without a key is rejected", func(h *harness) {
		h.submit("a", classBook, "", 0)
		h.decide("a", admission.Run)
	}, "", "[rejected ] [] []"},
	{"second attempt that admission starts is coalesced with the first", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.submit("b", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.decide("b", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[served r] [served r] []"},
	{"attempt rejected after its key ran is failed", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeFailed, 0, nil)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Reject)
	}, "start a", "[failed ] [failed ] []"},
	{"rejected attempt without a run releases its key", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Reject)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Run)
	}, "start b", "[rejected ] [] []"},
	{"attempt coalesced with a request that never ran is run itself", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Coalesce)
		h.decide("a", admission.Reject)
		h.decide("b", admission.Run)
	}, "start b", "[rejected ] [] []"},
	{"run that was not started releases its key", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeNotStarted, 0, nil)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Run)
	}, "start a, start b", "[failed ] [] []"},
	{"window starts at the arrival of the attempt that ran", func(h *harness) {
		h.submit("a", classBook, "k", -5*time.Second)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.clock.now = h.clock.now.Add(4900 * time.Millisecond)
		h.submit("b", classBook, "k", 0) // 9.9 s after that arrival: coalesced
		h.decide("b", admission.Run)
		h.clock.now = h.clock.now.Add(time.Second)
		h.Sweep()
		h.submit("c", classBook, "k", 0) // 10.9 s after that arrival: a new request
		h.decide("c", admission.Run)
	}, "start a, start c", "[served r] [served r] []"},
	{"window starts at the arrival even if that is ahead of the local clock", func(h *harness) {
		h.submit("a", classBook, "k", 3*time.Second)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.clock.now = h.clock.now.Add(12900 * time.Millisecond)
		h.submit("b", classBook, "k", 0) // 9.9 s after that arrival: coalesced
		h.decide("b", admission.Run)
		h.clock.now = h.clock.now.Add(time.Second)
		h.submit("c", classBook, "k", 0)
		h.decide("c", admission.Run)
	}, "start a, start c", "[served r] [served r] []"},
	{"attempt that arrived within the window but was read after it is coalesced", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.clock.now = h.clock.now.Add(11 * time.Second)
		h.Sweep()
		h.submit("b", classBook, "k", -2*time.Second)
		h.decide("b", admission.Run)
	}, "start a", "[served r] [served r] []"},
	{"request read after the drain grace is rejected", func(h *harness) {
		h.Drain(h.clock.now, time.Minute, false)
		h.clock.now = h.clock.now.Add(1500 * time.Millisecond)
		h.submit("a", classRead, "", 0)
		h.clock.now = h.clock.now.Add(1500 * time.Millisecond)
		h.submit("b", classRead, "", -1500*time.Millisecond) // its first byte arrived within the grace, its last one later
		h.submit("c", classRead, "", 0)
		for _, id := range []string{"a", "b", "c"} {
			h.decide(id, admission.Run)
		}
	}, "start a", "[] [rejected ] [rejected ]"},
	{"retry read after the drain grace is served with the result of the run", func(h *harness) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.Drain(h.clock.now, time.Minute, false)
		h.clock.now = h.clock.now.Add(3 * time.Second)
		h.submit("b", classBook, "k", 0)
		h.submit("c", classBook, "l", 0)
		h.decide("b", admission.Coalesce)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[served r] [served r] [rejected ]"},
	{"request read within the kill margin is rejected at once", func(h *harness) {
		h.Drain(h.clock.now.Add(-time.Second), 1100*time.Millisecond, true) // not reported to admission
		h.submit("a", classRead, "", 0)
		h.submit("b", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.decide("b", admission.Run)
	}, "", "[rejected ] [rejected ] []"},
	{"drain grace starts at the notice even if Drain is called late", func(h *harness) {
		h.Drain(h.clock.now.Add(-1900*time.Millisecond), time.Minute, false)
		h.submit("a", classRead, "", 0)
		h.clock.now = h.clock.now.Add(200 * time.Millisecond)
		h.submit("b", classRead, "", -150*time.Millisecond)
		h.decide("a", admission.Run)
		h.decide("b", admission.Run)
	}, "start a", "[] [rejected ] []"},
	{"all requests are answered before the kill", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.submit("b", classBook, "k", 0)
		h.submit("c", classBook, "l", 0)
		h.decide("b", admission.Run)
		h.Cancel("c")
		h.Drain(h.clock.now, time.Minute, false)
		h.answerAllBeforeKill()
	}, "start b", "[rejected ] [failed ] []"},
	{"call of a run that has ended is canceled", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.CallRequested("a", 3, nil)
		h.decide("a", admission.MakeCall)
		h.RunEnded("a", logic.OutcomeCanceled, 0, nil)
	}, "start a, call a, cancel a", "[failed ] [] []"},
	{"call is skipped only while the run waits for it", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.SkipCall) // the run waits for no call yet
		h.CallRequested("a", 3, nil)
		h.decide("a", admission.SkipCall)
		h.decide("a", admission.MakeCall)
	}, "start a, skip a", "[] [] []"},
	{"paused run is resumed once", func(h *harness) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.Stop)
		h.decide("a", admission.Run)
		h.decide("a", admission.Run)
	}, "start a, stop a, resume a", "[] [] []"},
}
