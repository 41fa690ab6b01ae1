package plan

// Which records a compaction keeps.
//
// A put that the index points to and that has not expired is kept. A record that is superseded is dropped: the newer record
// of its key, a put or a deletion, stands for the key. A deletion or an expired put is dropped where no segment outside
// the compaction has an older record; otherwise a tombstone stays, so that a recovery does not bring that record back.

// RecordAction says what becomes of a record in a compaction.
type RecordAction int

// The actions.
const (
	DropRecord     RecordAction = iota // nothing needs it
	KeepRecord                         // as it is
	WriteTombstone                     // as a deletion: what it replaced may still stand elsewhere
)

// Record is what is known of a record that a compaction reads.
type Record struct {
	Put          bool // else a deletion
	Sequence     uint64
	Indexed      bool  // the index points to this very record
	Superseded   bool  // the index points to a newer record of its key
	ExpiryMillis int64 // Unix milliseconds; 0: never
}

// DecideRecord decides about a record. clockMark is the store's clock in Unix milliseconds, minSequenceOutside the lowest
// sequence number outside the compaction.
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
