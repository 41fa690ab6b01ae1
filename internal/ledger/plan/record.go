package plan

// Which records a compaction keeps.
//
// A put that the index points to and that has not expired is kept. A superseded record is dropped, because the newer put or
// deletion of its key replaces it. A deletion or an expired put is dropped if no segment outside the compaction has an older
// record. Otherwise a tombstone is written, so that a recovery does not restore an older record of the key.

// RecordAction is what a compaction does with a record.
type RecordAction int

// Actions of a compaction on a record.
const (
	DropRecord     RecordAction = iota // the record is no longer needed
	KeepRecord                         // copy the record unchanged
	WriteTombstone                     // write a deletion: an older record of the key may exist in another segment
)

// Record describes a record that a compaction reads.
type Record struct {
	Put          bool // false for a deletion
	Sequence     uint64
	Indexed      bool  // the index points to this record
	Superseded   bool  // the index points to a newer record of its key
	ExpiryMillis int64 // Unix milliseconds; 0: never
}

// DecideRecord returns what a compaction does with a record. clockMark is the store's clock in Unix milliseconds.
// minSequenceOutside is the lowest sequence number in the segments outside the compaction.
func DecideRecord(r Record, clockMark int64, minSequenceOutside uint64) RecordAction {
	unexpired := r.ExpiryMillis == 0 || r.ExpiryMillis > clockMark
	switch {
	case r.Put && r.Indexed && unexpired:
		return KeepRecord
	case r.Superseded || r.Put && !r.Indexed && unexpired:
		return DropRecord
	case r.Sequence < minSequenceOutside:
		return DropRecord
	}
	return WriteTombstone
}
