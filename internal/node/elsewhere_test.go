package node

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// sharedJournal is a journal that another process writes too; the test says what that process holds.
type sharedJournal struct {
	*fakeJournal
	held     map[string]RunRecord
	watchers []func()
}

func (s *sharedJournal) Lookup(b RunRecord) (RunRecord, bool) {
	h, ok := s.held[b.Key]
	return h, ok
}
func (s *sharedJournal) NotifyOnChange(b RunRecord, done func()) {
	s.watchers = append(s.watchers, done)
}

// resolve sets what the other process has recorded of the key "k" (nil: nothing any more), and notifies the watchers.
func (s *sharedJournal) resolve(b *RunRecord) {
	if delete(s.held, "k"); b != nil {
		s.held["k"] = *b
	}
	watchers := s.watchers
	s.watchers = nil
	for _, done := range watchers {
		done()
	}
}

// What the other process has recorded of the key "k".
var (
	keyFingerprint  = fingerprintOf("book", &Request{})
	runningThere    = RunRecord{Fingerprint: keyFingerprint}
	servedThere     = RunRecord{Fingerprint: keyFingerprint, Ended: true, Succeeded: true, ResultStored: true, Result: []byte("r")}
	resultLostThere = RunRecord{Fingerprint: keyFingerprint, Ended: true, Succeeded: true}
)

type elsewhereCase struct {
	name string
	play func(h *harness, s *sharedJournal)
	work string // what the journal and the runner were asked for
	want string // the responses of a, b and c
}

var elsewhereCases = []elsewhereCase{
	{"served elsewhere", func(h *harness, s *sharedJournal) {
		s.held["k"] = servedThere
		h.submit("a", classBook, "k", 0)
	}, "", "[served r] [] []"},
	{"ran elsewhere, no result stored", func(h *harness, s *sharedJournal) {
		s.held["k"] = resultLostThere
		h.submit("a", classBook, "k", 0)
	}, "", "[failed ] [] []"},
	{"another fingerprint under its key", func(h *harness, s *sharedJournal) {
		s.held["k"] = RunRecord{Ended: true, Succeeded: true, ResultStored: true, Result: []byte("r")}
		h.submit("a", classBook, "k", 0)
	}, "", "[failed ] [] []"},
	{"runs elsewhere: two wait", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningThere
		h.submit("a", classBook, "k", 0)
		h.submit("b", classBook, "k", 0)
		s.resolve(&runningThere) // nothing new
		s.resolve(&servedThere)
	}, "", "[served r] [served r] []"},
	{"withdrawn elsewhere: runs here", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningThere
		h.submit("a", classBook, "k", 0)
		s.resolve(nil)
		h.decide("a", admission.Run)
		s.done["a"](nil)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("own"))
	}, "record start a, start a, record end(true own) a", "[served own] [] []"},
	{"canceled, then ended elsewhere", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningThere
		h.submit("a", classBook, "k", 0)
		h.Cancel("a")
		s.resolve(&servedThere)
	}, "", "[] [] []"},
	{"aborted, then ended elsewhere", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningThere
		h.submit("a", classBook, "k", 0)
		h.Abort("a")
		s.resolve(&servedThere)
	}, "", "[failed ] [] []"},
	{"the other process was first by a moment: both attempts wait", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.submit("b", classBook, "k", 0)
		h.decide("b", admission.Coalesce)
		s.held["k"] = runningThere
		s.done["a"](ErrKeyHeld)
		s.resolve(&servedThere)
	}, "record start a", "[served r] [served r] []"},
	{"the other process was first and has ended", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		s.held["k"] = servedThere
		s.done["a"](ErrKeyHeld)
	}, "record start a", "[served r] [] []"},
	{"the other process was first: canceled here", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		h.Cancel("a")
		s.held["k"] = runningThere
		s.done["a"](ErrKeyHeld)
		s.resolve(&servedThere)
	}, "record start a", "[] [] []"},
	{"the other process was first and withdraws at once", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		h.decide("a", admission.Run)
		s.done["a"](ErrKeyHeld)
		h.decide("a", admission.Run)
		s.done["a"](nil)
		h.RunEnded("a", logic.OutcomeOK, 0, []byte("own"))
	}, "record start a, record start a, start a, record end(true own) a", "[served own] [] []"},
	{"rejected as the other process starts", func(h *harness, s *sharedJournal) {
		h.submit("a", classBook, "k", 0)
		s.held["k"] = runningThere
		h.decide("a", admission.Reject)
		s.resolve(&servedThere)
	}, "", "[served r] [] []"},
	{"answered before the kill", func(h *harness, s *sharedJournal) {
		s.held["k"] = runningThere
		h.submit("a", classBook, "k", 0)
		h.Drain(h.clock.now, time.Hour, true)
		h.answerAllForKill()
	}, "", "[failed ] [] []"},
}

// TestKeyHeldElsewhere: an attempt whose key another process holds is not run here. It is answered as that run is, at
// once or when it ends, and fails if that is not known by its deadline. If nothing ran there it is submitted as new.
func TestKeyHeldElsewhere(t *testing.T) {
	for _, c := range elsewhereCases {
		t.Run(c.name, func(t *testing.T) {
			h, j := newJournalHarness(t)
			s := &sharedJournal{fakeJournal: j, held: map[string]RunRecord{}}
			h.opts.Journal = s
			c.play(h, s)
			if got := h.runner.String(); got != c.work {
				t.Errorf("asked for %q, want %q", got, c.work)
			}
			if got := fmt.Sprint(h.responses["a"], " ", h.responses["b"], " ", h.responses["c"]); got != c.want {
				t.Errorf("responses %s, want %s", got, c.want)
			}
			if h.Unanswered() != 0 || len(h.byID) != 0 {
				t.Errorf("%d owed, %d in flight at the end", h.Unanswered(), len(h.byID))
			}
		})
	}
}
