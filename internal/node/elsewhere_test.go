package node

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// sharedJournal is a journal that another process also writes to. The test sets the records of that process.
type sharedJournal struct {
	*fakeJournal
	held     map[string]RunRecord
	watchers []func()
}

func (s *sharedJournal) Lookup(record RunRecord) (RunRecord, bool) {
	held, ok := s.held[record.Key]
	return held, ok
}
func (s *sharedJournal) NotifyOnChange(record RunRecord, done func()) {
	s.watchers = append(s.watchers, done)
}

// setRecord sets the other process's record of the key "k" (nil: none) and notifies the watchers.
func (s *sharedJournal) setRecord(record *RunRecord) {
	if delete(s.held, "k"); record != nil {
		s.held["k"] = *record
	}
	watchers := s.watchers
	s.watchers = nil
	for _, done := range watchers {
		done()
	}
}

// Records of the other process for the key "k".
var (
	keyFingerprint   = fingerprintOf("book", &Request{})
	runningRecord    = RunRecord{Fingerprint: keyFingerprint}
	servedRecord     = RunRecord{Fingerprint: keyFingerprint, Ended: true, Succeeded: true, ResultStored: true, Result: []byte("r")}
	resultLostRecord = RunRecord{Fingerprint: keyFingerprint, Ended: true, Succeeded: true}
)

type otherProcessCase struct {
	name          string
	play          func(h *harness, s *sharedJournal)
	wantCommands  string // commands to the journal and the runner
	wantResponses string // the responses of a, b and c
}

var otherProcessCases = []otherProcessCase{
	{"served with the result of the other process", func(h *harness, s *sharedJournal) {
		s.held["k"] = servedRecord
		h.submit("a", classBook, "k", 0)
	}, "", "[served r] [] []"},
	{"failed if the other process stored no result", func(h *harness, s *sharedJournal) {
		s.held["k"] = resultLostRecord
		h.submit("a", classBook, "k", 0)
	}, "", "[failed ] [] []"},
	{"failed if the key has another fingerprint there", func(h *harness, s *sharedJournal) {
		s.held["k"] = RunRecord{Ended: true, Succeeded: true, ResultStored: true, Result: []byte("r")}
		h.submit("a", classBook, "k", 0)
	}, "", "[failed ] [] []"},
	{"two attempts wait for the run in the other process", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningRecord
		h.submit("a", classBook, "k", 0)
		h.submit("b", classBook, "k", 0)
		s.setRecord(&runningRecord) // notification without a change
		s.setRecord(&servedRecord)
	}, "", "[served r] [served r] []"},
	{"run here after the other process has withdrawn its start", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningRecord
		h.submit("a", classBook, "k", 0)
		s.setRecord(nil)
		h.decide("a", admission.Run)
		s.done["a"](nil)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("own"))
	}, "record start a, start a, record end(true own) a", "[served own] [] []"},
	{"no response if canceled while waiting", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningRecord
		h.submit("a", classBook, "k", 0)
		h.Cancel("a")
		s.setRecord(&servedRecord)
	}, "", "[] [] []"},
	{"failed if aborted while waiting", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningRecord
		h.submit("a", classBook, "k", 0)
		h.Abort("a")
		s.setRecord(&servedRecord)
	}, "", "[failed ] [] []"},
	{"attempt and coalesced attempt wait if the other process recorded its start first", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Coalesce)
		s.held["k"] = runningRecord
		s.done["a"](ErrKeyHeld)
		s.setRecord(&servedRecord)
	}, "record start a", "[served r] [served r] []"},
	{"served if the other process recorded its start first and its run has ended", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		s.held["k"] = servedRecord
		s.done["a"](ErrKeyHeld)
	}, "record start a", "[served r] [] []"},
	{"no response if canceled before the record of the start fails because the other process holds the key", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.Cancel("a")
		s.held["k"] = runningRecord
		s.done["a"](ErrKeyHeld)
		s.setRecord(&servedRecord)
	}, "record start a", "[] [] []"},
	{"run here if the other process recorded its start first and withdrew it", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		s.done["a"](ErrKeyHeld)
		h.decide("a", admission.Run)
		s.done["a"](nil)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("own"))
	}, "record start a, record start a, start a, record end(true own) a", "[served own] [] []"},
	{"waits instead of being rejected if the other process has started the key", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		s.held["k"] = runningRecord
		h.decide("a", admission.Reject)
		s.setRecord(&servedRecord)
	}, "", "[served r] [] []"},
	{"failed before the kill while waiting", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningRecord
		h.submit("a", classBook, "k", 0)
		h.Drain(h.clock.now, time.Hour, true)
		h.answerAllBeforeKill()
	}, "", "[failed ] [] []"},
}

// TestKeyHeldByOtherProcessIsNotRun checks that an attempt whose key another process holds is not run here. It is
// answered with the outcome of that run, at once or when the run ends, and fails if that is not known by its deadline.
// If the key did not run there, the attempt is submitted as a new one.
func TestKeyHeldByOtherProcessIsNotRun(t *testing.T) {
	for _, c := range otherProcessCases {
		t.Run(c.name, func(t *testing.T) {
			h, j := newJournalHarness(t)
			s := &sharedJournal{fakeJournal: j, held: map[string]RunRecord{}}
			h.opts.Journal = s
			c.play(h, s)
			if got := h.runner.String(); got != c.wantCommands {
				t.Errorf("commands %q, want %q", got, c.wantCommands)
			}
			if got := fmt.Sprint(h.responses["a"], " ", h.responses["b"], " ", h.responses["c"]); got != c.wantResponses {
				t.Errorf("responses of a, b and c: %s, want %s", got, c.wantResponses)
			}
			if h.Unanswered() != 0 || len(h.byID) != 0 {
				t.Errorf("%d requests unanswered and %d in flight at the end, want none", h.Unanswered(), len(h.byID))
			}
		})
	}
}
