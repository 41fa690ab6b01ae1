package node

import (
	"crypto/sha256"
	"time"

	"sloehitch/internal/platform/limits"
)

// keyEntry is the state of one key in this process: the attempt that owns it and, once that was started, its run.
type keyEntry struct {
	owner       *request
	fingerprint [sha256.Size]byte
	started     bool
	arrivedAt   time.Time     // of the attempt that was started, by its caller's time stamp
	window      time.Duration // idempotency window of its class, from arrivedAt
	finished    bool          // the run has ended
	succeeded   bool          // the run has succeeded and its result may be returned to retries
	restored    bool          // the key ran in an earlier process
	result      []byte
	coalesced   []*request // attempts that wait for the end of the run
}

// retentionSlackFactor is the retention of an entry after its window, in units of limits.KeyWindowSlack. Attempts are
// assigned to windows by their arrival at the machine and may be read seconds later.
const retentionSlackFactor = 20

// KeyRetentionMargin returns how long a key is retained after its window, in the key table and in the journals.
func KeyRetentionMargin(l limits.Limits) time.Duration {
	return retentionSlackFactor * l.KeyWindowSlack
}

// keyTable maps idempotency keys to their runs. The number of entries and the bytes of stored results are bounded. It
// is guarded by the Node's lock.
type keyTable struct {
	entries         map[string]*keyEntry
	maxEntries      int
	freeResultBytes int
	slack           time.Duration // added to each window
}

func newKeyTable(maxEntries, maxResultBytes int, slack time.Duration) *keyTable {
	return &keyTable{
		entries:         map[string]*keyEntry{},
		maxEntries:      maxEntries,
		freeResultBytes: maxResultBytes,
		slack:           slack,
	}
}

// inWindow reports whether an attempt that arrived at the given time belongs to the entry. Any attempt does until one
// is started.
func (e *keyEntry) inWindow(arrivedAt time.Time, slack time.Duration) bool {
	return !e.started || arrivedAt.Before(e.arrivedAt.Add(e.window+slack))
}

// lookup returns the entry that an attempt belongs to, or nil.
func (t *keyTable) lookup(r *request) *keyEntry {
	e := t.entries[r.IdempotencyKey]
	if e == nil || !e.inWindow(r.ArrivedAt, t.slack) {
		return nil
	}
	return e
}

// original returns the attempt that the given one repeats. If there is none, it claims the key and returns nil.
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

// claim makes an attempt the owner of its key unless an attempt with that key was started. It returns the key's entry,
// or nil if the table is full.
func (t *keyTable) claim(r *request) *keyEntry {
	e := t.lookup(r)
	switch {
	case e == nil && t.entries[r.IdempotencyKey] == nil && len(t.entries) >= t.maxEntries:
		return nil
	case e == nil:
		e = &keyEntry{owner: r, fingerprint: r.fingerprint}
		t.remove(r.IdempotencyKey) // an entry whose window has passed
		t.entries[r.IdempotencyKey] = e
	case !e.started:
		e.owner = r
	}
	return e
}

// started reports whether an attempt with r's key was started within the window.
func (t *keyTable) started(r *request) bool {
	e := t.lookup(r)
	return e != nil && e.started
}

// release removes an attempt that has not run from the table. If the attempt owned its key, the key is released and
// release returns the attempts that waited for it.
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

// expire removes finished entries that no attempt read from now on can belong to.
func (t *keyTable) expire(now time.Time) {
	for key, e := range t.entries {
		if e.started && e.finished && now.After(e.arrivedAt.Add(e.window+retentionSlackFactor*t.slack)) {
			t.remove(key)
		}
	}
}

// storeResult stores a result for retries. It returns false if the result is longer than maxBytes or the table has no
// space for it.
func (t *keyTable) storeResult(e *keyEntry, result []byte, maxBytes int) bool {
	if len(result) > min(maxBytes, t.freeResultBytes) {
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
