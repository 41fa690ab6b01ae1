// Package keystate keeps who holds which key, as told by the records of several processes, read in any mix of their
// orders. It decides what counts and does no I/O; the time is told to it.
package keystate

import "sloehitch/internal/idempotency/keystore/format"

// Location is where a record lies: in which segment (by the reader's number), from which byte, for how many.
type Location struct {
	Segment      int
	Offset, Size int64
}

// Claim is the newest that is known of a key.
type Claim struct {
	Kind        format.Kind
	Owner       int // the process that told it, by the reader's number
	Seq         uint64
	ExpiresAt   int64
	Fingerprint [32]byte
	Location    Location
}

// Table is what is known of all keys. Its zero value is not for use; New makes one.
type Table struct {
	claims   map[format.ID]Claim
	segments map[int][]format.ID // what was told in a segment, so that forgetting one costs what it holds
	seq      uint64
}

// New returns a table that knows of no key.
func New() *Table {
	return &Table{claims: map[format.ID]Claim{}, segments: map[int][]format.ID{}}
}

// Apply takes in a record. Of two on one key the one with the higher number counts, in whatever order they are read:
// numbers are given out one after another under the lock that all processes share. It says whether the record is now
// the one that counts.
func (t *Table) Apply(owner int, r format.Record, at Location) bool {
	t.seq = max(t.seq, r.Seq)
	if old, ok := t.claims[r.ID]; ok && old.Seq >= r.Seq {
		return false
	}
	t.claims[r.ID] = Claim{Kind: r.Kind, Owner: owner, Seq: r.Seq, ExpiresAt: r.ExpiresAt, Fingerprint: r.Fingerprint, Location: at}
	t.segments[at.Segment] = append(t.segments[at.Segment], r.ID)
	return true
}

// Lookup returns the claim that stands on a key at the given time, in Unix nanoseconds: one that was not withdrawn, and
// whose end has not come.
func (t *Table) Lookup(id format.ID, now int64) (Claim, bool) {
	c, ok := t.claims[id]
	if !ok || c.Kind == format.KindWithdrawn || c.ExpiresAt < now {
		return Claim{}, false
	}
	return c, true
}

// ForgetSegment drops what was told in a segment, but for keys of which another one told more since. Its cost is that of
// what the segment holds, however many keys there are.
func (t *Table) ForgetSegment(segment int) {
	for _, id := range t.segments[segment] {
		if t.claims[id].Location.Segment == segment {
			delete(t.claims, id)
		}
	}
	delete(t.segments, segment)
}

// ObserveSeq notes the number of a record that the reader told itself.
func (t *Table) ObserveSeq(seq uint64) { t.seq = max(t.seq, seq) }

// LastSeq is the highest number of any record taken in or told.
func (t *Table) LastSeq() uint64 { return t.seq }

// Len is how many keys are known, withdrawn ones included until they are forgotten.
func (t *Table) Len() int { return len(t.claims) }

// KeyCount is how many keys a process holds.
type KeyCount struct {
	Keys, Running int // that count; of which no end was told
}

// CountByOwner returns them by process, at the given time in Unix nanoseconds.
func (t *Table) CountByOwner(now int64) map[int]KeyCount {
	counts := map[int]KeyCount{}
	for id := range t.claims {
		if c, ok := t.Lookup(id, now); ok {
			n := counts[c.Owner]
			n.Keys++
			if c.Kind == format.KindStarted {
				n.Running++
			}
			counts[c.Owner] = n
		}
	}
	return counts
}
