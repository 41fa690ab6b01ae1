package node

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// journal notes what it was asked for in the same list as the runner, and says that it is done when a test says so.
type journal struct {
	*recorder
	done  map[string]func(error)
	fails error
}

func (j *journal) RecordStart(b RunRecord, done func(error)) error {
	j.note("began", b.RequestID)
	j.done[b.RequestID] = done
	return j.fails
}
func (j *journal) RecordEnd(b RunRecord) {
	j.note(fmt.Sprintf("ended(%v %s)", b.Succeeded, b.Result), b.RequestID)
}
func (j *journal) Withdraw(b RunRecord) { j.note("withdraw", b.RequestID) }

func journalBench(t *testing.T) (*bench, *journal) {
	b := newBench(t)
	j := &journal{recorder: b.work, done: map[string]func(error){}}
	b.opts.Journal = j
	b.opts.Limits.RecordTimeout = time.Hour // no timer in these tests
	return b, j
}

// TestRecordedStart: a booking's run is started once its record is durable, or never.
func TestRecordedStart(t *testing.T) {
	const book = 1
	full := errors.New("full")
	for _, c := range []struct {
		name string
		play func(b *bench, j *journal)
		work string
		want string
	}{
		{"recorded, then started", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			j.done["a"](nil)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		}, "began a, start a, ended(true r) a", "[served r] [] []"},
		{"a read needs no record", func(b *bench, j *journal) {
			b.submit("a", 0, "", 0)
			b.decide("a", admission.Run)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
		}, "start a", "[served r] [] []"},
		{"it can't be recorded", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			j.done["a"](full)
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Run)
			j.done["b"](nil)
		}, "began a, withdraw a, began b, start b", "[refused ] [] []"},
		{"it is refused at once", func(b *bench, j *journal) {
			j.fails = full
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
		}, "began a, withdraw a", "[refused ] [] []"},
		{"durable after it was given up", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.Abort("a")
			j.done["a"](nil)
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Run)
			j.done["b"](nil)
		}, "began a, withdraw a, began b, start b", "[refused ] [] []"},
		{"too slow", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.startRecorded(b.byID["a"].number, errRecordTimeout)
			j.done["a"](nil)
		}, "began a, withdraw a", "[refused ] [] []"},
		{"the module changes its mind", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.decide("a", admission.Reject)
			j.done["a"](nil)
		}, "began a, withdraw a", "[refused ] [] []"},
		{"one that waits for a start that fails runs itself", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.submit("b", book, "k", 0)
			b.decide("a", admission.Run)
			b.decide("b", admission.Coalesce)
			j.done["a"](full)
			b.decide("b", admission.Run)
			j.done["b"](nil)
			b.RunEnded("b", logic.OutcomeOK, 0, []byte("r"))
		}, "began a, withdraw a, began b, start b, ended(true r) b", "[refused ] [served r] []"},
		{"the caller gone meanwhile, its run goes on for repeats", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.Cancel("a")
			j.done["a"](nil)
			b.RunEnded("a", logic.OutcomeOK, 0, []byte("r"))
			b.submit("b", book, "k", 0)
			b.decide("b", admission.Run)
		}, "began a, start a, ended(true r) a", "[] [served r] []"},
		{"paused before it started", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.decide("a", admission.Stop)
			j.done["a"](nil)
			b.decide("a", admission.Run)
		}, "began a, start a, stop a, continue a", "[] [] []"},
		{"paused and taken up before it started", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.decide("a", admission.Stop)
			b.decide("a", admission.Run)
			j.done["a"](nil)
		}, "began a, start a", "[] [] []"},
		{"nothing was started", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			j.done["a"](nil)
			b.RunEnded("a", logic.OutcomeNotStarted, 0, nil)
		}, "began a, start a, withdraw a", "[failed ] [] []"},
		{"the process is to end", func(b *bench, j *journal) {
			b.submit("a", book, "k", 0)
			b.decide("a", admission.Run)
			b.Drain(b.clock.now, time.Minute, false)
			b.answerAllForKill()
			j.done["a"](nil)
		}, "began a, withdraw a", "[refused ] [] []"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, j := journalBench(t)
			c.play(b, j)
			if got := b.work.String(); got != c.work {
				t.Errorf("work: %s; want %s", got, c.work)
			}
			if got := fmt.Sprint(b.answers["a"], " ", b.answers["b"], " ", b.answers["c"]); got != c.want {
				t.Errorf("answers: %s; want %s", got, c.want)
			}
		})
	}
}

// TestRestored: a booking of an earlier process is not run again in its window, whatever became of it, and is not refused; another body
// under its key is told apart; when its window is over the key is free.
func TestRestored(t *testing.T) {
	b, _ := journalBench(t)
	old := RunRecord{Key: "k", Class: "book", Fingerprint: fingerprintOf("book", &Request{}), ArrivedAt: b.clock.now.Add(-4 * time.Second), Window: 10 * time.Second}
	b.Restore(old)
	old.Key, old.Class = "l", "no longer there"
	b.Restore(old)
	old.Key, old.Class, old.Ended, old.Succeeded, old.ResultStored, old.Result, old.Protocol = "kept", "book", true, true, true, []byte("r"), ""
	b.Restore(old)
	old.Key, old.Protocol = "other protocol's", "x"
	b.Restore(old)
	old.Key, old.Protocol, old.Result = "no room", "", make([]byte, b.opts.Limits.StoredResultBytes+1)
	b.Restore(old)
	for i, c := range []struct{ key, want string }{{"kept", "[served r]"}, {"kept", "[served r]"}, {"other protocol's", "[failed ]"}, {"no room", "[failed ]"}} {
		id := fmt.Sprint("r", i)
		b.submit(id, 1, c.key, 0)
		if got := fmt.Sprint(b.answers[id]); got != c.want {
			t.Errorf("%s: %s, want %s", c.key, got, c.want)
		}
	}
	b.submit("a", 1, "k", 0)
	b.submit("b", 1, "l", 0)
	var taken bool
	b.Submit(Request{ID: "c", Class: 1, IdempotencyKey: "k", Content: []byte("other"), ArrivedAt: b.clock.now, Runner: b.work}, func(a Response) { taken = a.KeyReused })
	if got := fmt.Sprint(b.answers["a"], b.answers["b"], taken, b.work); got != "[failed ] [failed ] true " {
		t.Errorf("%s", got)
	}
	b.clock.now = b.clock.now.Add(6300 * time.Millisecond)
	b.submit("d", 1, "k", 0)
	b.decide("d", admission.Run)
	if got := b.work.String(); got != "began d" {
		t.Errorf("after the window: %s", got)
	}
	if c, _, _ := b.Totals(); c.Restored != 5 {
		t.Errorf("%+v", c)
	}
}
