package compositejournal

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/testing/standin"
)

// fakeJournal records the calls to one of the two journals.
type fakeJournal struct {
	name      string
	calls     *[]string                 // calls to both journals, in order
	startErr  error                     // error returned by RecordStart
	result    error                     // error that RecordStart passes to done
	held      map[string]node.RunRecord // records of other processes, by key
	callbacks []func()                  // done callbacks of starts
}

func (f *fakeJournal) record(what string, r node.RunRecord) {
	*f.calls = append(*f.calls, f.name+" "+what+" "+r.Key)
}

func (f *fakeJournal) RecordStart(r node.RunRecord, done func(error)) error {
	if f.startErr != nil {
		return f.startErr
	}
	f.record("start", r)
	err := f.result
	f.callbacks = append(f.callbacks, func() { done(err) })
	return nil
}
func (f *fakeJournal) RecordEnd(r node.RunRecord)                   { f.record("end", r) }
func (f *fakeJournal) Withdraw(r node.RunRecord)                    { f.record("withdraw", r) }
func (f *fakeJournal) NotifyOnChange(_ node.RunRecord, done func()) { go done() }
func (f *fakeJournal) Lookup(r node.RunRecord) (node.RunRecord, bool) {
	held, ok := f.held[r.Key]
	return held, ok
}

// runCallbacks calls done for all pending starts.
func (f *fakeJournal) runCallbacks() {
	for len(f.callbacks) > 0 {
		next := f.callbacks[0]
		f.callbacks = f.callbacks[1:]
		next()
	}
}

var (
	errBroken = errors.New("broken")
	started   = node.RunRecord{Key: "k"}
	ended     = node.RunRecord{Key: "k", Ended: true}
)

// journalCase is a sequence of calls and its expected effect. The start passed to run records the start of the run
// and calls all callbacks.
type journalCase struct {
	name    string
	run     func(j *Journal, shared, log *fakeJournal, start func())
	calls   string // calls to the shared journal s and the run log r, in order
	result  string // result of the start
	backlog int
}

var journalCases = []journalCase{
	{"the log is attached first", func(j *Journal, _, r *fakeJournal, start func()) { j.AttachLog(r); start(); j.RecordEnd(ended) },
		"s start k, r start k, s end k, r end k", "<nil>", 0},
	{"the other process holds the key", func(j *Journal, s, r *fakeJournal, start func()) { j.AttachLog(r); s.result = node.ErrKeyHeld; start() },
		"s start k", node.ErrKeyHeld.Error(), 0},
	{"the log rejects the start", func(j *Journal, _, r *fakeJournal, start func()) { j.AttachLog(r); r.startErr = errBroken; start() },
		"s start k", "broken", 0},
	{"the log fails to write the start", func(j *Journal, _, r *fakeJournal, start func()) { j.AttachLog(r); r.result = errBroken; start() },
		"s start k, r start k", "broken", 0},
	{"started, then the log is attached", func(j *Journal, _, r *fakeJournal, start func()) { start(); j.AttachLog(r); r.runCallbacks() },
		"s start k, r start k", "<nil>", 0},
	{"started and ended, then the log is attached", func(j *Journal, _, r *fakeJournal, start func()) { start(); j.RecordEnd(ended); j.AttachLog(r) },
		"s start k, s end k, r end k", "<nil>", 0},
	{"started and withdrawn, then the log is attached", func(j *Journal, _, r *fakeJournal, start func()) { start(); j.Withdraw(started); j.AttachLog(r) },
		"s start k, s withdraw k", "<nil>", 0},
	{"the log is attached and rejects the backlog", func(j *Journal, _, r *fakeJournal, start func()) {
		start()
		r.startErr = errBroken
		j.AttachLog(r)
		r.startErr = nil
		j.RetryBacklog()
		r.runCallbacks()
	}, "s start k, r start k", "<nil>", 0},
	{"the log is attached and fails to write the backlog", func(j *Journal, _, r *fakeJournal, start func()) {
		start()
		r.result = errBroken
		j.AttachLog(r)
		r.runCallbacks()
	}, "s start k, r start k", "<nil>", 1},
	{"the log fails to write the backlog, and the run has ended meanwhile", func(j *Journal, _, r *fakeJournal, start func()) {
		start()
		r.result = errBroken
		j.AttachLog(r)
		j.RecordEnd(ended)
		r.runCallbacks()
		j.RetryBacklog()
	}, "s start k, r start k, s end k, r end k", "<nil>", 0},
}

// TestWritesBothJournals checks that a start succeeds once both journals have it. Records made before the run log is
// attached are written to it afterwards, except those that were withdrawn or superseded by the end of the run.
func TestWritesBothJournals(t *testing.T) {
	for _, c := range journalCases {
		var calls []string
		shared, log := &fakeJournal{name: "s", calls: &calls}, &fakeJournal{name: "r", calls: &calls}
		j := New(shared, time.Second, standin.DiscardLogger)
		result := ""
		c.run(j, shared, log, func() {
			if err := j.RecordStart(started, func(err error) { result = fmt.Sprint(err) }); err != nil {
				t.Fatal(err)
			}
			shared.runCallbacks()
			log.runCallbacks()
		})
		if got := strings.Join(calls, ", "); got != c.calls || result != c.result || j.Backlog() != c.backlog {
			t.Errorf("%s: calls %q, result %s, backlog %d; want %q, %s, %d", c.name, got, result, j.Backlog(), c.calls, c.result, c.backlog)
		}
	}
}

// TestShouldRestore checks that the Node restores a record from the run log, unless another process runs its key or
// has recorded its result.
func TestShouldRestore(t *testing.T) {
	var calls []string
	j := New(&fakeJournal{calls: &calls, held: map[string]node.RunRecord{"runs": {}, "served": {Ended: true, Succeeded: true}, "lost": {Ended: true}}}, time.Second, standin.DiscardLogger)
	for key, want := range map[string]bool{"runs": false, "served": false, "lost": true, "unknown": true} {
		if got := j.ShouldRestore(node.RunRecord{Key: key}); got != want {
			t.Errorf("key %s: ShouldRestore returned %v", key, got)
		}
	}
}
