package node

import (
	"crypto/sha256"
	"time"
)

// entry is what is known of one key: the try that has it, and once that ran, its result.
type entry struct {
	owner    *request
	digest   [sha256.Size]byte
	ran      bool
	from     time.Time     // when the try that ran reached the machine
	window   time.Duration // once it ran: for how long it must not run again
	over     bool          // its run has ended
	restored bool          // it ran in an earlier process, which did not leave its result
	served   bool          // and went well
	result   []byte
	waiting  []*request
}

// spare is for how many times the slack an entry is kept beyond its window.
const spare = 20

// keyTable connects the tries of keyed requests. It is bounded; a try that finds no room never runs, as a repeat
// of it could not be told.
type keyTable struct {
	entries map[string]*entry
	most    int
	room    int // bytes left for results
	slack   time.Duration
	window  func(class int) time.Duration
}

func newKeyTable(most, room int, slack time.Duration, window func(class int) time.Duration) *keyTable {
	return &keyTable{entries: map[string]*entry{}, most: most, room: room, slack: slack, window: window}
}

// live says whether a try that arrived at the given time falls into the window of the one that ran.
func (e *entry) live(at time.Time, slack time.Duration) bool {
	return !e.ran || at.Before(e.from.Add(e.window+slack))
}

// key finds the entry that a try repeats or owns.
func (t *keyTable) key(r *request) *entry {
	e := t.entries[r.Key]
	if e == nil || !e.live(r.Arrived, t.slack) {
		return nil
	}
	return e
}

// arrive returns the try that the given one repeats, or makes it the owner of its key.
func (t *keyTable) arrive(r *request) *request {
	if e := t.key(r); e != nil {
		if e.owner == r {
			return nil
		}
		return e.owner
	}
	t.own(r)
	return nil
}

// own makes a try the owner of its key, unless there is no room or another try of it ran.
func (t *keyTable) own(r *request) *entry {
	e := t.key(r)
	switch {
	case e == nil && t.entries[r.Key] == nil && len(t.entries) >= t.most:
		return nil
	case e == nil:
		e = &entry{owner: r, digest: r.digest}
		t.remove(r.Key) // one whose window is over
		t.entries[r.Key] = e
	case !e.ran:
		e.owner = r
	}
	return e
}

// ran says whether some try of the same request was run here in its window.
func (t *keyTable) ran(r *request) bool {
	e := t.key(r)
	return e != nil && e.ran
}

// abandon takes a try off the table that is over without a run, and returns the tries that waited for it.
func (t *keyTable) abandon(r *request) []*request {
	e := t.entries[r.Key]
	if r.Key == "" || e == nil {
		return nil
	}
	for i, w := range e.waiting {
		if w == r {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	if e.owner != r || e.ran {
		return nil
	}
	t.remove(r.Key)
	return e.waiting
}

// expire drops entries whose window is over for anything that can still be read.
func (t *keyTable) expire(now time.Time) {
	for key, e := range t.entries {
		// Tries are told apart by when they reached the machine, and may be read seconds after that.
		if e.ran && e.over && now.After(e.from.Add(e.window+spare*t.slack)) {
			t.remove(key)
		}
	}
}

// keep holds a result for repeats if there is room for it.
func (t *keyTable) keep(e *entry, result []byte, most int) bool {
	if len(result) > min(most, t.room) {
		return false
	}
	t.room -= len(result)
	e.result = result
	return true
}

func (t *keyTable) remove(key string) {
	if e := t.entries[key]; e != nil {
		t.room += len(e.result)
		delete(t.entries, key)
	}
}
