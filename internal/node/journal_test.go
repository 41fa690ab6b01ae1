package node

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// fakeJournal records the commands it receives in the same list as the runner. A start becomes durable, or fails, when
// the test calls done.
type fakeJournal struct {
	*recorder
	done map[string]func(error)
	err  error // returned by RecordStart
}

func (j *fakeJournal) RecordStart(record RunRecord, done func(error)) error {
	j.record("record start", record.RequestID)
	j.done[record.RequestID] = done
	return j.err
}
func (j *fakeJournal) RecordEnd(record RunRecord) {
	j.record(fmt.Sprintf("record end(%v %s)", record.Succeeded, record.Result), record.RequestID)
}
func (j *fakeJournal) Withdraw(record RunRecord) { j.record("withdraw", record.RequestID) }

func newJournalHarness(t *testing.T) (*harness, *fakeJournal) {
	h := newHarness(t)
	j := &fakeJournal{recorder: h.runner, done: map[string]func(error){}}
	h.opts.Journal = j
	h.opts.Limits.RecordTimeout = time.Hour // so that no timer expires in these tests
	return h, j
}

var errJournalFull = errors.New("full")

type recordedStartCase struct {
	name          string
	play          func(h *harness, j *fakeJournal)
	wantCommands  string // commands to the journal and the runner
	wantResponses string // the responses of a, b and c
}

var recordedStartCases = []recordedStartCase{
	{"keyed request is started after its start is recorded", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		j.done["a"](nil)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "record start a, start a, record end(true r) a", "[served r] [] []"},
	{"idempotent request is started without a record", func(h *harness, j *fakeJournal) {
		h.submit("a", classRead, "", 0)
		h.decide("a", admission.Run)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
	}, "start a", "[served r] [] []"},
	{"rejected and key released if the start can't be recorded", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		j.done["a"](errJournalFull)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Run)
		j.done["b"](nil)
	}, "record start a, withdraw a, record start b, start b", "[rejected ] [] []"},
	{"rejected if RecordStart returns an error", func(h *harness, j *fakeJournal) {
		j.err = errJournalFull
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
	}, "record start a, withdraw a", "[rejected ] [] []"},
	{"not started if durable after the request was aborted", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.Abort("a")
		j.done["a"](nil)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Run)
		j.done["b"](nil)
	}, "record start a, withdraw a, record start b, start b", "[rejected ] [] []"},
	{"rejected if the start is not durable in time", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.startRecorded(h.byID["a"].number, errRecordTimeout)
		j.done["a"](nil)
	}, "record start a, withdraw a", "[rejected ] [] []"},
	{"start withdrawn if rejected while it is recorded", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.Reject)
		j.done["a"](nil)
	}, "record start a, withdraw a", "[rejected ] [] []"},
	{"attempt coalesced with a start that fails is run itself", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.submit("b", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.decide("b", admission.Coalesce)
		j.done["a"](errJournalFull)
		h.decide("b", admission.Run)
		j.done["b"](nil)
		h.RunEnded("b", logic.OutcomeOK, 0, []byte("r"))
	}, "record start a, withdraw a, record start b, start b, record end(true r) b", "[rejected ] [served r] []"},
	{"started for retries if canceled while its start is recorded", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.Cancel("a")
		j.done["a"](nil)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Run)
	}, "record start a, start a, record end(true r) a", "[] [served r] []"},
	{"paused at its start if stopped while its start is recorded", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.Stop)
		j.done["a"](nil)
		h.decide("a", admission.Run)
	}, "record start a, start a, stop a, resume a", "[] [] []"},
	{"not paused if stopped and resumed while its start is recorded", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.decide("a", admission.Stop)
		h.decide("a", admission.Run)
		j.done["a"](nil)
	}, "record start a, start a", "[] [] []"},
	{"record withdrawn if the run was not started", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		j.done["a"](nil)
		h.RunEnded("a", logic.OutcomeNotStarted, 0, nil)
	}, "record start a, start a, withdraw a", "[failed ] [] []"},
	{"start withdrawn if answered before the kill while it is recorded", func(h *harness, j *fakeJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.Drain(h.clock.now, time.Minute, false)
		h.answerAllBeforeKill()
		j.done["a"](nil)
	}, "record start a, withdraw a", "[rejected ] [] []"},
}

// TestKeyedRunStartsAfterItsRecordIsDurable checks that a keyed run is started only after its record is durable.
func TestKeyedRunStartsAfterItsRecordIsDurable(t *testing.T) {
	for _, c := range recordedStartCases {
		t.Run(c.name, func(t *testing.T) {
			h, j := newJournalHarness(t)
			c.play(h, j)
			if got := h.runner.String(); got != c.wantCommands {
				t.Errorf("commands: %s; want %s", got, c.wantCommands)
			}
			if got := fmt.Sprint(h.responses["a"], " ", h.responses["b"], " ", h.responses["c"]); got != c.wantResponses {
				t.Errorf("responses of a, b and c: %s; want %s", got, c.wantResponses)
			}
		})
	}
}

// TestRestoredKeyIsNotRunWithinWindow checks that a request that was started in an earlier process is neither run again
// within its window nor rejected, that a request with the same key and other content is recognized, and that the key
// can be used again after the window.
func TestRestoredKeyIsNotRunWithinWindow(t *testing.T) {
	h, _ := newJournalHarness(t)
	record := RunRecord{Key: "k", Class: "book", Fingerprint: fingerprintOf("book", &Request{}), ArrivedAt: h.clock.now.Add(-4 * time.Second), Window: 10 * time.Second}
	h.Restore(record)
	record.Key, record.Class = "l", "no longer there"
	h.Restore(record)
	record.Key, record.Class, record.Ended, record.Succeeded, record.ResultStored, record.Result, record.Protocol = "kept", "book", true, true, true, []byte("r"), ""
	h.Restore(record)
	record.Key, record.Protocol = "other protocol's", "x"
	h.Restore(record)
	record.Key, record.Protocol, record.Result = "no room", "", make([]byte, h.opts.Limits.StoredResultBytes+1)
	h.Restore(record)
	for i, c := range []struct{ key, want string }{{"kept", "[served r]"}, {"kept", "[served r]"}, {"other protocol's", "[failed ]"}, {"no room", "[failed ]"}} {
		id := fmt.Sprint("r", i)
		h.submit(id, classBook, c.key, 0)
		if got := fmt.Sprint(h.responses[id]); got != c.want {
			t.Errorf("key %q: responses %s, want %s", c.key, got, c.want)
		}
	}
	h.submit("a", classBook, "k", 0)
	h.submit("b", classBook, "l", 0)
	var reused bool
	h.Submit(Request{ID: "c", Class: 1, IdempotencyKey: "k", Content: []byte("other"), ArrivedAt: h.clock.now, Runner: h.runner}, func(a Response) { reused = a.KeyReused })
	if got := fmt.Sprint(h.responses["a"], h.responses["b"], reused, h.runner); got != "[failed ] [failed ] true " {
		t.Errorf("responses of a and b, reuse of c's key, commands: %s; want [failed ] [failed ] true and no commands", got)
	}
	h.clock.now = h.clock.now.Add(6300 * time.Millisecond)
	h.submit("d", classBook, "k", 0)
	h.decide("d", admission.Run)
	if got := h.runner.String(); got != "record start d" {
		t.Errorf("commands after the window: %s, want the start of d to be recorded", got)
	}
	if c, _, _ := h.Totals(); c.Restored != 5 {
		t.Errorf("counts %+v, want 5 restored", c)
	}
}
