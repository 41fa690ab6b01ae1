package limits

import "time"

// Ledger holds the limits of one ledger.
type Ledger struct {
	KeyBytes, ValueBytes int
	BatchBytes           int   // records of one batch
	GroupBytes           int   // batches that share a flush
	GroupBatches         int   // number of batches that share a flush
	QueueBytes           int   // batches that wait for a flush
	SegmentBytes         int64 // size at which a segment is sealed
	IndexBytes           int64 // memory for the keys
	BlockBytes           int   // data that is compressed together
	CompactionBytes      int64 // maximum that one compaction reads
	CompactionFlushBytes int   // what a compaction writes between two flushes
	MaxSmallSegments     int   // number of small segments that are not compacted

	GarbageShare      float64       // share of obsolete bytes above which a compaction runs
	GroupDelay        time.Duration // maximum time that a batch waits for others to share its flush
	ClockMarkInterval time.Duration // between marks of the clock; an expired record may stay this long
	SweepInterval     time.Duration // between removals of expired records
	CompactionPause   time.Duration // between the flushes of a compaction
}

// RaftLog holds the limits of what a member of the store writes to its folder at once.
type RaftLog struct {
	BatchBytes        int // entries that share a flush, unless a single one is larger
	DeletionsPerFlush int // number of entries that are deleted with one flush
	SnapshotPartBytes int // part of a snapshot that is written at once
	SnapshotsKept     int // number of newest snapshots that are kept
	EntryBytes        int // one entry
}

// KeyStore holds the limits of the idempotency keys that the processes of one node share.
type KeyStore struct {
	TotalBytes    int64         // all segments together; above three quarters of it results are not stored
	SegmentBytes  int64         // size at which a new segment is started
	MaxSegmentAge time.Duration // age at which a new segment is started, or a sixteenth of the longest idempotency window if that is longer
	ResultBytes   int           // size of a stored result
	QueuedRecords int           // number of records queued for writing
	NoteBytes     int           // size of the note in which each process publishes its load
	PollInterval  time.Duration // between reads of the records of other processes while a request waits for one
	LogInterval   time.Duration // between log lines about the same kind of error
}

// ForRaftLog are the limits of a member's folder. A transaction of 1 MiB may take six times as much in the log, if every byte has to
// be escaped.
var ForRaftLog = RaftLog{BatchBytes: 1 << 20, DeletionsPerFlush: 4096, SnapshotPartBytes: 512 << 10, SnapshotsKept: 2, EntryBytes: 7 << 20}

// Ledger returns the limits of the ledger that stores the log.
func (r RaftLog) Ledger() Ledger {
	l := ForLedger(32 << 20)
	l.ValueBytes = r.EntryBytes + 1024
	l.BatchBytes, l.GroupBytes, l.QueueBytes = 2*l.ValueBytes, 2*l.ValueBytes, 4*l.ValueBytes
	return l
}

// LostChanges exceeds the number of changes and of granted leases that permanently lost members of the store can have made. A
// recovered store skips as many revisions and fencing tokens, so that none is used twice.
const LostChanges = 1 << 32

// ForKeyStore derives the limits from the platform's cap on memory, in MB, since files in $TMPDIR count as memory.
func ForKeyStore(memoryMB int) KeyStore {
	memory := int64(max(memoryMB, 32)) << 20
	return KeyStore{
		TotalBytes:    memory / 12,
		SegmentBytes:  512 << 10,
		MaxSegmentAge: 5 * time.Second,
		ResultBytes:   16 << 10,
		QueuedRecords: 16384,
		NoteBytes:     64,
		PollInterval:  5 * time.Millisecond,
		LogInterval:   time.Second,
	}
}

// ForLedger returns the limits of a ledger whose keys may use index bytes of memory.
func ForLedger(index int64) Ledger {
	return Ledger{
		KeyBytes:             4 << 10,
		ValueBytes:           1 << 20,
		BatchBytes:           4 << 20,
		GroupBytes:           4 << 20,
		GroupBatches:         16384,
		QueueBytes:           32 << 20,
		SegmentBytes:         16 << 20,
		IndexBytes:           index,
		BlockBytes:           32 << 10,
		CompactionBytes:      64 << 20,
		CompactionFlushBytes: 256 << 10,
		MaxSmallSegments:     8,
		GarbageShare:         0.3,
		GroupDelay:           2 * time.Millisecond,
		ClockMarkInterval:    time.Second,
		SweepInterval:        10 * time.Second,
		CompactionPause:      4 * time.Millisecond,
	}
}
