package limits

import "time"

// Ledger bounds one store on disk.
type Ledger struct {
	KeyBytes, ValueBytes int
	BatchBytes           int   // of one batch's records
	GroupBytes           int   // of the batches that share a flush
	GroupBatches         int   // number of batches that share a flush
	QueueBytes           int   // of the batches that wait for a flush
	SegmentBytes         int64 // after which a segment is sealed
	IndexBytes           int64 // memory for the keys
	BlockBytes           int   // that are compressed together
	CompactionBytes      int64 // that one compaction reads at most
	CompactionFlushBytes int   // that a compaction writes between two flushes
	MaxSmallSegments     int   // small segments that are left alone

	GarbageShare      float64       // share of obsolete bytes above which a compaction runs
	GroupDelay        time.Duration // the longest that a batch waits for others to share its flush
	ClockMarkInterval time.Duration // between marks of the clock; an expired record may stay for as long
	SweepInterval     time.Duration // between sweeps of expired records
	CompactionPause   time.Duration // between a compaction's flushes
}

// RaftLog bounds what a member of the store writes to its folder at once.
type RaftLog struct {
	BatchBytes        int // of entries that share a flush, unless one alone is larger
	DeletionsPerFlush int // entries that are deleted with one flush
	SnapshotPartBytes int // of a snapshot that are written at once
	SnapshotsKept     int // the newest
	EntryBytes        int // of one entry
}

// KeyStore bounds what the processes of one node tell each other of idempotency keys.
type KeyStore struct {
	TotalBytes    int64         // of all segments together; beyond three quarters of it results are left out
	SegmentBytes  int64         // after which a segment is followed by a new one
	MaxSegmentAge time.Duration // after which it is too, or a sixteenth of the longest window where that is longer
	ResultBytes   int           // of a result that is stored
	QueuedRecords int           // records that wait to be written
	NoteBytes     int           // of what each process says of itself
	PollInterval  time.Duration // between looks at what others wrote, while somebody waits for it
	LogInterval   time.Duration // between log lines about one kind of fault
}

// ForRaftLog are the bounds of a member's folder. A transaction of 1 MiB may take six times that on record, where every byte
// has to be escaped.
var ForRaftLog = RaftLog{BatchBytes: 1 << 20, DeletionsPerFlush: 4096, SnapshotPartBytes: 512 << 10, SnapshotsKept: 2, EntryBytes: 7 << 20}

// Ledger returns the bounds of the ledger that holds the log.
func (r RaftLog) Ledger() Ledger {
	l := ForLedger(32 << 20)
	l.ValueBytes = r.EntryBytes + 1024
	l.BatchBytes, l.GroupBytes, l.QueueBytes = 2*l.ValueBytes, 2*l.ValueBytes, 4*l.ValueBytes
	return l
}

// LostChanges is more than the changes made, and the leases granted, by members of the store that are then lost for good.
const LostChanges = 1 << 32

// ForKeyStore derives the limits from the platform's cap on memory, in MB: $TMPDIR counts as memory.
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

// ForLedger derives a ledger's limits from the memory that its keys may take, in bytes.
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
