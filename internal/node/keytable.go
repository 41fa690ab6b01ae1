package node

import (
	"crypto/sha256"
	"time"
)

// keyEntry is what is known of one key: the try that has it, and once that ran, its result.
type keyEntry struct {
	owner       *request
	fingerprint [sha256.Size]byte
	started     bool
	arrivedAt   time.Time     // when the try that ran reached the machine
	window      time.Duration // once it ran: for how long it must not run again
	finished    bool          // its run has ended
	restored    bool          // it ran in an earlier process, which did not leave its result
	succeeded   bool          // and went well
	result      []byte
	coalesced   []*request
}

// retentionSlacks is for how many times the slack an entry is kept beyond its window.
const retentionSlacks = 20

// keyTable connects the tries of keyed requests. It is bounded; a try that finds no room never runs, as a repeat
// of it could not be told.
type keyTable struct {
	entries         map[string]*keyEntry
	maxEntries      int
	freeResultBytes int // bytes left for results
	slack           time.Duration
	window          func(class int) time.Duration
}

func newKeyTable(most, room int, slack time.Duration, window func(class int) time.Duration) *keyTable {
	return &keyTable{entries: map[string]*keyEntry{}, maxEntries: most, freeResultBytes: room, slack: slack, window: window}
}

// inWindow says whether a try that arrived at the given time falls into the window of the one that ran.
func (e *keyEntry) inWindow(at time.Time, slack time.Duration) bool {
	return !e.started || at.Before(e.arrivedAt.Add(e.window+slack))
}

// lookup finds the entry that a try repeats or owns.
func (t *keyTable) lookup(r *request) *keyEntry {
	e := t.entries[r.IdempotencyKey]
	if e == nil || !e.inWindow(r.ArrivedAt, t.slack) {
		return nil
	}
	return e
}

// original returns the try that the given one repeats, or makes it the owner of its key.
func (t *keyTable) original(r *request) *request {
	if e := t.lookup(r); e != nil {
		if e.owner == r {
			return nil
		}
		return e.owner
	}
	t.claim(r)
	return nil
}

// claim makes a try the owner of its key, unless there is no room or another try of it ran.
func (t *keyTable) claim(r *request) *keyEntry {
	e := t.lookup(r)
	switch {
	case e == nil && t.entries[r.IdempotencyKey] == nil && len(t.entries) >= t.maxEntries:
		return nil
	case e == nil:
		e = &keyEntry{owner: r, fingerprint: r.fingerprint}
		t.remove(r.IdempotencyKey) // one whose window is over
		t.entries[r.IdempotencyKey] = e
	case !e.started:
		e.owner = r
	}
	return e
}

// started says whether some try of the same request was run here in its window.
func (t *keyTable) started(r *request) bool {
	e := t.lookup(r)
	return e != nil && e.started
}

// release takes a try off the table that is over without a run, and returns the tries that waited for it.
func (t *keyTable) release(r *request) []*request {
	e := t.entries[r.IdempotencyKey]
	if r.IdempotencyKey == "" || e == nil {
		return nil
	}
	for i, w := range e.coalesced {
		if w == r {
			e.coalesced = append(e.coalesced[:i], e.coalesced[i+1:]...)
			break
		}
	}
	if e.owner != r || e.started {
		return nil
	}
	t.remove(r.IdempotencyKey)
	return e.coalesced
}

// expire drops entries whose window is over for anything that can still be read.
func (t *keyTable) expire(now time.Time) {
	for key, e := range t.entries {
		// Tries are told apart by when they reached the machine, and may be read seconds after that.
		if e.started && e.finished && now.After(e.arrivedAt.Add(e.window+retentionSlacks*t.slack)) {
			t.remove(key)
		}
	}
}

// storeResult holds a result for repeats if there is room for it.
func (t *keyTable) storeResult(e *keyEntry, result []byte, most int) bool {
	if len(result) > min(most, t.freeResultBytes) {
		return false
	}
	t.freeResultBytes -= len(result)
	e.result = result
	return true
}

func (t *keyTable) remove(key string) {
	if e := t.entries[key]; e != nil {
		t.freeResultBytes += len(e.result)
		delete(t.entries, key)
	}
}
