// Package limits holds every bound on sizes, counts and times in one type, filled once at start.
package limits

import "time"

// Limits bounds what the program takes, keeps and waits for.
type Limits struct {
	MemoryBytes    int64 // soft limit of the Go heap, below the platform's cap
	MinMemoryBytes int64 // and at the least, however many processes share the cap: below it collecting would be all there is

	MaxConnections           int // open in a front at once
	RequestsPerConnection    int // requests open on one connection
	CatalogueConnections     int // connections to the catalogue at once
	BadMessagesPerConnection int // messages that can't be taken on one connection before it is closed
	MaxInFlight              int // requests in hand
	MaxKeys                  int // entries of the table of keys

	BodyBytes              int // bytes of a request's body
	ResultBytes            int // bytes of a result or of a reply to a call
	FieldListBytes         int // bytes of a field list
	FrameBytes             int // bytes of one framed message
	FrameParts             int // parts of one framed message
	UnreadAnswerBytes      int // answer bytes that a peer may leave unread
	TotalUnreadAnswerBytes int // and all of them together; beyond it one that leaves over a sixteenth of its own bound is cut
	UnadmittedConnections  int // connections at once for which there is no place, that are read, refused and ended
	EvictedConnections     int // connections that made room for others and are still to end
	NoticeBytes            int // bytes of one line from the runtime

	StoredResultBytes      int // bytes of a result that is kept for repeats
	TotalStoredResultBytes int // and of all of them together

	UwsgiVarBytes         int // bytes of a uwsgi packet's variables
	UwsgiVars             int // and their number
	BufferedBodyBytes     int // bytes of a uwsgi request's body that is held whole
	BodyWindowBytes       int // bytes of a uwsgi request's body that are here while it waits or is passed on
	TotalBodyWindowBytes  int // and of all of them together
	BufferedResponseBytes int // bytes of a response from a uwsgi server that is held whole
	UwsgiConnections      int // uwsgi callers at once, on either side
	ResponseHeadBytes     int // bytes of a response's head
	QueuedSpans           int // spans that wait to be written

	CommitTimeout                 time.Duration // for a change of the store, and for an operator's request
	ElectionTimeout               time.Duration // of silence after which the store's members elect a leader
	UpstreamTimeout               time.Duration // for a uwsgi server to begin its answer, and between pieces of it
	BodyIdleTimeout               time.Duration // between pieces of a uwsgi request's body
	CloseTimeout                  time.Duration // for a peer to end a connection that has ended from this side
	TLSKeyPollInterval            time.Duration // between looks at the files of TLS keys
	PoolInterval                  time.Duration // between looks at waiting requests and sick servers
	WriteTimeout                  time.Duration // for one write to any peer
	DialTimeout                   time.Duration // for one connection attempt
	MinBackoff, MaxBackoff        time.Duration // between attempts to reach the runtime
	RuntimeSilence                time.Duration // of the runtime after which it is asked, and once more after which its link is given up
	RuntimeReadyTimeout           time.Duration // for a runtime to say that it is up before it is dialled anew
	CatalogueIdleTimeout          time.Duration // after which an unused connection to the catalogue is closed
	ReplyTimeout                  time.Duration // for the rest of a catalogue's reply once it has begun
	MessageTimeout                time.Duration // for a message to come whole, and for a connection's first one to come
	NewConnectionGrace            time.Duration // of silence that a new connection is granted when others want its place
	IdleConnectionGrace           time.Duration // of idling that any other is granted then
	MaxClockAhead, MaxClockBehind time.Duration // of the clock, within which a request's time stamp is taken
	LinkSwitchTimeout             time.Duration // for the runtime to take what was written before the link moves elsewhere
	CallTimeoutSlack              time.Duration // past a call's own time before it is given up here
	ReportInterval                time.Duration // between reports to the directory
	GaugesTimeout                 time.Duration // for the gauges before a tick goes without
	PeerCloseTimeout              time.Duration // for a peer to close a connection after it was asked to
	RecordTimeout                 time.Duration // for a booking's start to be on record before it is refused
	RecordRetryAfter              time.Duration // after which its caller is to come back then
	KeyWindowSlack                time.Duration // added to a key's window: clocks and sockets are not exact
	DeadlineGuardShare            float64       // of the grace after a due time at which the guard answers
	DrainGraceMargin              time.Duration // before the end of the drain's grace at which callers are sent elsewhere
	KillMargin                    time.Duration // before the kill at which all that is left is answered
	QuotaInterval                 time.Duration // between looks at what the other processes of this node have in hand
	MaxSnapshotAge                time.Duration // of what an earlier process learned, to begin with it
	ProcessListTimeout            time.Duration // for a look at which other processes of this node live
	SweepInterval                 time.Duration // between looks for what has expired
	OrphanTimeout                 time.Duration // after its due time when a run that never reported is written off
	TotalsInterval                time.Duration // between log lines with the counts
	LogInterval                   time.Duration // between log lines on one kind of trouble
	OperatorCallTimeout           time.Duration // for an operator's call to arrive whole on its connection
	OperatorConnections           int           // operators' connections at once; more are told NAK at once
	OperatorCallBytes             int           // bytes of an operator's call, its newline included
}

// Ledger bounds one store on disk.
type Ledger struct {
	KeyBytes, ValueBytes int   // bytes of a key and of a value
	BatchBytes           int   // bytes of one batch's records
	GroupBytes           int   // bytes of the batches that share a flush
	GroupBatches         int   // and their number
	QueueBytes           int   // bytes of the batches that wait for a flush
	SegmentBytes         int64 // bytes after which a segment is sealed
	IndexBytes           int64 // bytes of memory for the keys
	BlockBytes           int   // bytes that are compressed together
	CompactionBytes      int64 // bytes that one compaction reads at most
	CompactionFlushBytes int   // bytes that a compaction writes between two flushes
	MaxSmallSegments     int   // small segments that are left alone

	GarbageShare      float64       // share of what no longer counts, above which there is a compaction
	GroupDelay        time.Duration // the longest that a batch waits for others to share its flush
	ClockMarkInterval time.Duration // between marks of the clock; what expires may stay for as long
	SweepInterval     time.Duration // between looks for what has expired
	CompactionPause   time.Duration // between a compaction's flushes
}

// RaftLog bounds what a member of the store does to its folder at once.
type RaftLog struct {
	BatchBytes        int // bytes of entries that share a flush, as far as one is not larger by itself
	DeletionsPerFlush int // entries that go with one flush
	SnapshotPartBytes int // bytes of a snapshot that are written at once
	SnapshotsKept     int // that are kept, the newest
	EntryBytes        int // bytes of one entry
}

// ForRaftLog are the bounds of a member's folder. A transaction of 1 MiB may take six times that on record, where every byte
// has to be escaped.
var ForRaftLog = RaftLog{BatchBytes: 1 << 20, DeletionsPerFlush: 4096, SnapshotPartBytes: 512 << 10, SnapshotsKept: 2, EntryBytes: 7 << 20}

// Ledger is the bounds of the ledger that it all lies in.
func (r RaftLog) Ledger() Ledger {
	l := ForLedger(32 << 20)
	l.ValueBytes = r.EntryBytes + 1024
	l.BatchBytes, l.GroupBytes, l.QueueBytes = 2*l.ValueBytes, 2*l.ValueBytes, 4*l.ValueBytes
	return l
}

// LostChanges is more changes than can be made, and more leases than can be granted, by members of the store that are then lost for good.
const LostChanges = 1 << 32

// KeyStore bounds what the processes of one node tell each other of keys.
type KeyStore struct {
	TotalBytes    int64         // of all segments together; beyond three quarters of it results are left out
	SegmentBytes  int64         // bytes after which a segment is followed by a new one
	MaxSegmentAge time.Duration // or this long after its beginning, or a sixteenth of the widest window where that is longer
	ResultBytes   int           // bytes of a result that is told
	QueuedRecords int           // records that wait to be told
	NoteBytes     int           // bytes of what each process says of itself
	PollInterval  time.Duration // between looks at what others told, while somebody waits for it
	LogInterval   time.Duration // between log lines on one kind of trouble
}

// ForKeyStore derives the limits of claims from the platform's cap on memory: $TMPDIR counts as memory.
func ForKeyStore(memoryMB int) KeyStore {
	memory := int64(max(memoryMB, 32)) << 20
	return KeyStore{TotalBytes: memory / 12, SegmentBytes: 512 << 10, MaxSegmentAge: 5 * time.Second, ResultBytes: 16 << 10, QueuedRecords: 16384,
		NoteBytes: 64, PollInterval: 5 * time.Millisecond, LogInterval: time.Second}
}

// ForLedger derives a ledger's limits from the memory that its keys may take, in bytes.
func ForLedger(index int64) Ledger {
	return Ledger{
		KeyBytes: 4 << 10, ValueBytes: 1 << 20, BatchBytes: 4 << 20, GroupBytes: 4 << 20, GroupBatches: 16384, QueueBytes: 32 << 20,
		SegmentBytes: 16 << 20, IndexBytes: index, BlockBytes: 32 << 10, CompactionBytes: 64 << 20, CompactionFlushBytes: 256 << 10, MaxSmallSegments: 8,
		GarbageShare: 0.3, GroupDelay: 2 * time.Millisecond, ClockMarkInterval: time.Second, SweepInterval: 10 * time.Second, CompactionPause: 4 * time.Millisecond,
	}
}

// For derives the limits from the platform's caps on memory and on descriptors.
func For(memoryMB, sockets int) Limits {
	memory := int64(max(memoryMB, 32)) << 20
	return Limits{
		MemoryBytes: memory * 6 / 10, MinMemoryBytes: 12 << 20,
		// Balancers use half of the descriptors. With all parts in use some 7 in 100 are left for links and files.
		MaxConnections:        max(16, sockets*9/16),
		RequestsPerConnection: 32, BadMessagesPerConnection: 4,
		CatalogueConnections: max(4, sockets/6),
		MaxInFlight:          int(memory / 4 / (8 << 10)),
		MaxKeys:              int(memory / 4 / (8 << 10)),
		BodyBytes:            2 << 10, ResultBytes: 4 << 10, FieldListBytes: 1 << 10, FrameBytes: 8 << 10, FrameParts: 8,
		UnreadAnswerBytes: 512 << 10, TotalUnreadAnswerBytes: int(memory / 16), EvictedConnections: max(1, sockets/48), UnadmittedConnections: max(2, sockets/24), NoticeBytes: 64 << 10,
		StoredResultBytes: 16 << 10, TotalStoredResultBytes: int(memory / 8),
		UwsgiVarBytes: 32 << 10, UwsgiVars: 256, BufferedBodyBytes: 64 << 10, BodyWindowBytes: 32 << 10, TotalBodyWindowBytes: int(memory / 8), BufferedResponseBytes: 256 << 10, ResponseHeadBytes: 16 << 10, QueuedSpans: 2048,
		UwsgiConnections: max(8, min(sockets/10, int(memory/(2<<20)))),
		UpstreamTimeout:  time.Minute, BodyIdleTimeout: 10 * time.Second, CloseTimeout: time.Second, PoolInterval: 50 * time.Millisecond, TLSKeyPollInterval: 2 * time.Second,
		NewConnectionGrace: 10 * time.Millisecond, IdleConnectionGrace: 200 * time.Millisecond, MaxClockAhead: 5 * time.Second, MaxClockBehind: 10 * time.Minute,
		CommitTimeout: 5 * time.Second, ElectionTimeout: time.Second,
		WriteTimeout: 3 * time.Second, DialTimeout: time.Second,
		MinBackoff: 20 * time.Millisecond, MaxBackoff: time.Second, RuntimeSilence: 1500 * time.Millisecond, RuntimeReadyTimeout: 5 * time.Second,
		CatalogueIdleTimeout: time.Second, ReplyTimeout: time.Second, MessageTimeout: 2 * time.Second, LinkSwitchTimeout: 300 * time.Millisecond, CallTimeoutSlack: 100 * time.Millisecond,
		ReportInterval: 250 * time.Millisecond, GaugesTimeout: 700 * time.Millisecond, PeerCloseTimeout: 2 * time.Second,
		RecordTimeout: time.Second, RecordRetryAfter: time.Second,
		KeyWindowSlack: 200 * time.Millisecond, DeadlineGuardShare: 0.5, DrainGraceMargin: 50 * time.Millisecond, KillMargin: 150 * time.Millisecond,
		OperatorCallTimeout: 5 * time.Second, OperatorConnections: min(32, max(4, sockets/12)), OperatorCallBytes: 256,
		QuotaInterval: 50 * time.Millisecond, MaxSnapshotAge: 10 * time.Second, ProcessListTimeout: 200 * time.Millisecond, SweepInterval: time.Second, OrphanTimeout: 30 * time.Second, LogInterval: time.Second, TotalsInterval: time.Minute,
	}
}

// RejectedOperatorConnections is how many operators' connections without a seat are told so at once with time to read it.
func (l Limits) RejectedOperatorConnections() int { return max(1, l.OperatorConnections/4) }

// ReplaceTimeout bounds the command that puts another release in place.
const ReplaceTimeout = 2 * time.Minute
