package node

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// shared is a journal that another process writes too: what it holds, a test says.
type shared struct {
	*journal
	held  map[string]RunRecord
	waits []func()
}

func (s *shared) Lookup(b RunRecord) (RunRecord, bool) {
	h, ok := s.held[b.Key]
	return h, ok
}
func (s *shared) NotifyOnChange(b RunRecord, done func()) { s.waits = append(s.waits, done) }

// resolve says what became of a key that the other process held, and wakes who waits.
func (s *shared) resolve(key string, b *RunRecord) {
	if delete(s.held, key); b != nil {
		s.held[key] = *b
	}
	waits := s.waits
	s.waits = nil
	for _, done := range waits {
		done()
	}
}

// TestAbroad: a try of a key that another process holds is not run here; it hears what came of that run, at once or when
// it ends, and fails where that can't be known by its due time. Where nothing ran there it is as new.
func TestAbroad(t *testing.T) {
	const book = 1
	same := fingerprintOf("book", &Request{})
	running := RunRecord{Fingerprint: same}
	ended := RunRecord{Fingerprint: same, Ended: true, Succeeded: true, ResultStored: true, Result: []byte("r")}
	lost := RunRecord{Fingerprint: same, Ended: true, Succeeded: true}
	for _, c := range []struct {
		name string
		play func(b *bench, s *shared)
		work string
		want string
	}{
		{"it ran there", func(b *bench, s *shared) {
			s.held["k"] = ended
			b.submit("a", book, "k", 0)
		}, "", "[served r] [] []"},
		{"it ran there and left no result", func(b *bench, s *shared) {
			s.held["k"] = lost
			b.submit("a", book, "k", 0)
		}, "", "[failed ] [] []"},
		{"another body under its key", func(b *bench, s *shared) {
			s.held["k"] = RunRecord{Ended: true, Succeeded: true, ResultStored: true, Result: []byte("r")}
			b.submit("a", book, "k", 0)
		}, "", "[failed ] [] []"},
		{"it runs there: two wait", func(b *bench, s *shared) {
			s.held["k"] = running
			b.submit("a", book, "k", 0)
			b.submit("b", book, "k", 0)
			s.resolve("k", &running) // nothing new
			s.resolve("k", &ended)
		}, "", "[served r] [served r] []"},
		{"it is withdrawn there, and runs here", func(b *bench, s *shared) {
			s.held["k"] = running
			b.submit("a", book, "k", 0)
			s.resolve("k", nil)
			b.decide("a", admission.Run)
			s.done["a"](nil)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("own"))
		}, "began a, start a, ended(true own) a", "[served own] [] []"},
		{"its caller leaves, then it ends there", func(b *bench, s *shared) {
			s.held["k"] = running
			b.submit("a", book, "k", 0)
			b.Cancel("a")
			s.resolve("k", &ended)
		}, "", "[] [] []"},
		{"given up, then it ends there", func(b *bench, s *shared) {
			s.held["k"] = running
			b.submit("a", book, "k", 0)
			b.Abort("a")
			s.resolve("k", &ended)
		}, "", "[failed ] [] []"},
		{"the other process was first by a moment, for both tries here", func(b *bench, s *shared) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Coalesce)
			s.held["k"] = running
			s.done["a"](ErrKeyHeld)
			s.resolve("k", &ended)
		}, "began a", "[served r] [served r] []"},
		{"the other was first and has ended", func(b *bench, s *shared) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			s.held["k"] = ended
			s.done["a"](ErrKeyHeld)
		}, "began a", "[served r] [] []"},
		{"the other was first, its caller here is gone", func(b *bench, s *shared) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.Cancel("a")
			s.held["k"] = running
			s.done["a"](ErrKeyHeld)
			s.resolve("k", &ended)
		}, "began a", "[] [] []"},
		{"the other was first and lets go at once", func(b *bench, s *shared) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			s.done["a"](ErrKeyHeld)
			b.decide("a", admission.Run)
			s.done["a"](nil)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("own"))
		}, "began a, began a, start a, ended(true own) a", "[served own] [] []"},
		{"refused by the module as the other begins", func(b *bench, s *shared) {
			b.submit("a", book, "k", 0)
			s.held["k"] = running
			b.decide("a", admission.Reject)
			s.resolve("k", &ended)
		}, "", "[served r] [] []"},
		{"all that waits is answered before the kill", func(b *bench, s *shared) {
			s.held["k"] = running
			b.submit("a", book, "k", 0)
			b.Drain(b.clock.now, time.Hour, true)
			b.answerAllForKill()
		}, "", "[failed ] [] []"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, j := journalBench(t)
			s := &shared{journal: j, held: map[string]RunRecord{}}
			b.opts.Journal = s
			c.play(b, s)
			if got := b.work.String(); got != c.work {
				t.Errorf("asked for %q, want %q", got, c.work)
			}
			if got := fmt.Sprint(b.answers["a"], " ", b.answers["b"], " ", b.answers["c"]); got != c.want {
				t.Errorf("answers %s, want %s", got, c.want)
			}
			if b.Unanswered() != 0 || len(b.byID) != 0 {
				t.Errorf("%d owed, %d in hand at the end", b.Unanswered(), len(b.byID))
			}
		})
	}
}
