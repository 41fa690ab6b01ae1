// Package keystate keeps who holds which key, from the records of several processes, which may be read in any mix of
// their orders. It does no I/O and reads no clock.
package keystate

import "sloehitch/internal/idempotency/keystore/format"

// Location is where a record stands: the segment (by the reader's number), and the offset and size of its frame in
// bytes.
type Location struct {
	Segment      int
	Offset, Size int64
}

// Claim is the newest record of a key.
type Claim struct {
	Kind        format.Kind
	Owner       int // the process that wrote it, by the reader's number
	Seq         uint64
	ExpiresAt   int64 // Unix nanoseconds
	Fingerprint [32]byte
	Location    Location
}

// Table holds the newest record of each key. New makes one. It is not safe for concurrent use.
type Table struct {
	claims   map[format.ID]Claim
	segments map[int][]format.ID // the keys of a segment's records, so that forgetting it costs what it holds
	seq      uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{claims: map[format.ID]Claim{}, segments: map[int][]format.ID{}}
}

// Apply takes in a record that owner wrote, and reports whether it is now the newest of its key. Of two records of
// one key the one with the higher number counts, in whatever order they are read: numbers are given out in sequence
// under the lock that all processes share.
func (t *Table) Apply(owner int, r format.Record, at Location) bool {
	t.seq = max(t.seq, r.Seq)
	if old, ok := t.claims[r.ID]; ok && old.Seq >= r.Seq {
		return false
	}
	t.claims[r.ID] = Claim{
		Kind:        r.Kind,
		Owner:       owner,
		Seq:         r.Seq,
		ExpiresAt:   r.ExpiresAt,
		Fingerprint: r.Fingerprint,
		Location:    at,
	}
	t.segments[at.Segment] = append(t.segments[at.Segment], r.ID)
	return true
}

// Lookup returns the claim on a key at the given time, in Unix nanoseconds: one that was not withdrawn and has not
// expired.
func (t *Table) Lookup(id format.ID, now int64) (Claim, bool) {
	c, ok := t.claims[id]
	if !ok || c.Kind == format.KindWithdrawn || c.ExpiresAt < now {
		return Claim{}, false
	}
	return c, true
}

// ForgetSegment drops the records of a segment. Keys of which another segment has a newer record keep that. It costs
// by the records of the segment, however many keys there are.
func (t *Table) ForgetSegment(segment int) {
	for _, id := range t.segments[segment] {
		if t.claims[id].Location.Segment == segment {
			delete(t.claims, id)
		}
	}
	delete(t.segments, segment)
}

// ObserveSeq notes the number of a record that the reader has written itself.
func (t *Table) ObserveSeq(seq uint64) { t.seq = max(t.seq, seq) }

// LastSeq is the highest number of any record taken in or observed.
func (t *Table) LastSeq() uint64 { return t.seq }

// Len is the number of known keys, withdrawn and expired ones included until their segments are forgotten.
func (t *Table) Len() int { return len(t.claims) }

// KeyCount is how many keys a process holds.
type KeyCount struct {
	Keys    int
	Running int // of Keys, those without a known end of their run
}

// CountByOwner returns the keys that each process holds at the given time, in Unix nanoseconds.
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
