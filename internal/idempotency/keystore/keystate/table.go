// Package keystate tracks which process holds which key, from the records of several processes, whose records may be
// read interleaved in any way. It does no I/O and reads no clock.
package keystate

import "sloehitch/internal/idempotency/keystore/format"

// Location is the position of a record: its segment (by the reader's number), and the offset and size of its frame
// in bytes.
type Location struct {
	Segment      int
	Offset, Size int64
}

// Claim is the newest record of a key.
type Claim struct {
	Kind        format.Kind
	Owner       int // the writing process, by the reader's number
	Seq         uint64
	ExpiresAt   int64 // Unix nanoseconds
	Fingerprint [32]byte
	Location    Location
}

// Table holds the newest record of each key. Use New to create one. It is not safe for concurrent use.
type Table struct {
	claims   map[format.ID]Claim
	segments map[int][]format.ID // keys of the records in each segment, so that forgetting a segment costs only as much as it contains
	seq      uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{claims: map[format.ID]Claim{}, segments: map[int][]format.ID{}}
}

// Apply adds a record written by owner, and reports whether it is now the newest of its key. Of two records of a
// key, the one with the higher sequence number is newer, in whatever order they are read: sequence numbers are
// assigned under the lock that all processes share.
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

// Lookup returns the claim on a key at the given time, in Unix nanoseconds, unless it was withdrawn or has expired.
func (t *Table) Lookup(id format.ID, now int64) (Claim, bool) {
	c, ok := t.claims[id]
	if !ok || c.Kind == format.KindWithdrawn || c.ExpiresAt < now {
		return Claim{}, false
	}
	return c, true
}

// ForgetSegment drops the records of a segment. A key with a newer record in another segment keeps that record. The
// cost depends on the number of records in the segment, not on the number of keys.
func (t *Table) ForgetSegment(segment int) {
	for _, id := range t.segments[segment] {
		if t.claims[id].Location.Segment == segment {
			delete(t.claims, id)
		}
	}
	delete(t.segments, segment)
}

// ObserveSeq records the sequence number of a record that the reader has written itself.
func (t *Table) ObserveSeq(seq uint64) { t.seq = max(t.seq, seq) }

// LastSeq returns the highest sequence number of any record applied or observed.
func (t *Table) LastSeq() uint64 { return t.seq }

// Len returns the number of known keys, including withdrawn and expired ones whose segments are not yet forgotten.
func (t *Table) Len() int { return len(t.claims) }

// KeyCount is the number of keys that a process holds.
type KeyCount struct {
	Keys    int
	Running int // keys whose runs have no known end
}

// CountByOwner returns the number of keys that each process holds at the given time, in Unix nanoseconds.
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
