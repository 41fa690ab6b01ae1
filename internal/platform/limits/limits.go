// Package limits holds every bound on sizes, counts and times in one type, filled once at start.
package limits

import "time"

// Limits bounds what the program takes, keeps and waits for.
type Limits struct {
	MemoryBytes int64 // soft limit of the Go heap, below the platform's cap
	MemoryLeast int64 // and at the least, however many processes share the cap: below it collecting would be all there is

	Connections int // open in a front at once
	OpenPerConn int // requests open on one connection
	CallConns   int // connections to the catalogue at once
	BadPerConn  int // messages that can't be taken on one connection before it is closed
	Requests    int // requests in hand
	Keys        int // entries of the table of keys

	Body       int // bytes of a request's body
	Result     int // bytes of a result or of a reply to a call
	Fields     int // bytes of a field list
	Frame      int // bytes of one framed message
	FrameParts int // parts of one framed message
	Backlog    int // answer bytes that a peer may leave unread
	Backlogs   int // and all of them together; beyond it one that leaves over a sixteenth of its own bound is cut
	Unseated   int // connections at once for which there is no place, that are read, refused and ended
	Evicted    int // connections that made room for others and are still to end
	NoticeLine int // bytes of one line from the runtime

	KeptResult  int // bytes of a result that is kept for repeats
	KeptResults int // and of all of them together

	Vars       int // bytes of a uwsgi packet's variables
	VarCount   int // and their number
	Content    int // bytes of a uwsgi request's body that is held whole
	Window     int // bytes of a uwsgi request's body that are here while it waits or is passed on
	Windows    int // and of all of them together
	Response   int // bytes of a response from a uwsgi server that is held whole
	UwsgiConns int // uwsgi callers at once, on either side
	HTTPHead   int // bytes of a response's head
	TraceQueue int // spans that wait to be written

	Agree                 time.Duration // for a change of the store, and for an operator's request
	Beat                  time.Duration // of silence after which the store's members elect a leader
	Exchange              time.Duration // for a uwsgi server to begin its answer, and between pieces of it
	BodyIdle              time.Duration // between pieces of a uwsgi request's body
	Linger                time.Duration // for a peer to end a connection that has ended from this side
	KeyWatch              time.Duration // between looks at the files of TLS keys
	PoolTick              time.Duration // between looks at waiting requests and sick servers
	Write                 time.Duration // for one write to any peer
	Dial                  time.Duration // for one connection attempt
	RetryLeast, RetryMost time.Duration // between attempts to reach the runtime
	LinkSilence           time.Duration // of the runtime after which it is asked, and once more after which its link is given up
	LinkReady             time.Duration // for a runtime to say that it is up before it is dialled anew
	CallIdle              time.Duration // after which an unused connection to the catalogue is closed
	ReplyRest             time.Duration // for the rest of a catalogue's reply once it has begun
	Message               time.Duration // for a message to come whole, and for a connection's first one to come
	Newcomer              time.Duration // of silence that a new connection is granted when others want its place
	Quiet                 time.Duration // of idling that any other is granted then
	Ahead, Behind         time.Duration // of the clock, within which a request's time stamp is taken
	HandOver              time.Duration // for the runtime to take what was written before the link moves elsewhere
	CallSlack             time.Duration // past a call's own time before it is given up here
	Pulse                 time.Duration // between reports to the directory
	Gauges                time.Duration // for the gauges before a tick goes without
	Closing               time.Duration // for a peer to close a connection after it was asked to
	RecordWait            time.Duration // for a booking's start to be on record before it is refused
	RecordBack            time.Duration // after which its caller is to come back then
	KeySlack              time.Duration // added to a key's window: clocks and sockets are not exact
	DueShare              float64       // of the grace after a due time at which the guard answers
	GraceSpare            time.Duration // before the end of the drain's grace at which callers are sent elsewhere
	KillSpare             time.Duration // before the kill at which all that is left is answered
	Share                 time.Duration // between looks at what the other processes of this node have in hand
	LearnedOldest         time.Duration // of what an earlier process learned, to begin with it
	Others                time.Duration // for a look at which other processes of this node live
	Sweep                 time.Duration // between looks for what has expired
	Orphan                time.Duration // after its due time when a run that never reported is written off
	Totals                time.Duration // between log lines with the counts
	LogEvery              time.Duration // between log lines on one kind of trouble
	OpsCall               time.Duration // for an operator's call to arrive whole on its connection
	OpsSeats              int           // operators' connections at once; more are told NAK at once
	OpsLine               int           // bytes of an operator's call, its newline included
}

// Ledger bounds one store on disk.
type Ledger struct {
	Key, Value int   // bytes of a key and of a value
	Batch      int   // bytes of one batch's records
	Group      int   // bytes of the batches that share a flush
	Writers    int   // and their number
	Queue      int   // bytes of the batches that wait for a flush
	Segment    int64 // bytes after which a segment is sealed
	Index      int64 // bytes of memory for the keys
	Block      int   // bytes that are compressed together
	Compaction int64 // bytes that one compaction reads at most
	Paced      int   // bytes that a compaction writes between two flushes
	Small      int   // small segments that are left alone

	Garbage   float64       // share of what no longer counts, above which there is a compaction
	GroupWait time.Duration // the longest that a batch waits for others to share its flush
	Mark      time.Duration // between marks of the clock; what expires may stay for as long
	Sweep     time.Duration // between looks for what has expired
	Rest      time.Duration // between a compaction's flushes
}

// RaftLog bounds what a member of the store does to its folder at once.
type RaftLog struct {
	Batch     int // bytes of entries that share a flush, as far as one is not larger by itself
	Deletions int // entries that go with one flush
	Part      int // bytes of a snapshot that are written at once
	Snapshots int // that are kept, the newest
	Entry     int // bytes of one entry
}

// ForRaftLog are the bounds of a member's folder. A transaction of 1 MiB may take six times that on record, where every byte
// has to be escaped.
var ForRaftLog = RaftLog{Batch: 1 << 20, Deletions: 4096, Part: 512 << 10, Snapshots: 2, Entry: 7 << 20}

// Ledger is the bounds of the ledger that it all lies in.
func (r RaftLog) Ledger() Ledger {
	l := ForLedger(32 << 20)
	l.Value = r.Entry + 1024
	l.Batch, l.Group, l.Queue = 2*l.Value, 2*l.Value, 4*l.Value
	return l
}

// Lost is more changes than can be made, and more leases than can be granted, by members of the store that are then lost for good.
const Lost = 1 << 32

// Claims bounds what the processes of one node tell each other of keys.
type Claims struct {
	Bytes      int64         // of all segments together; beyond three quarters of it results are left out
	Segment    int64         // bytes after which a segment is followed by a new one
	SegmentAge time.Duration // or this long after its beginning, or a sixteenth of the widest window where that is longer
	Result     int           // bytes of a result that is told
	Queue      int           // records that wait to be told
	Note       int           // bytes of what each process says of itself
	Look       time.Duration // between looks at what others told, while somebody waits for it
	LogEvery   time.Duration // between log lines on one kind of trouble
}

// ForClaims derives the limits of claims from the platform's cap on memory: $TMPDIR counts as memory.
func ForClaims(memoryMB int) Claims {
	memory := int64(max(memoryMB, 32)) << 20
	return Claims{Bytes: memory / 12, Segment: 512 << 10, SegmentAge: 5 * time.Second, Result: 16 << 10, Queue: 16384,
		Note: 64, Look: 5 * time.Millisecond, LogEvery: time.Second}
}

// ForLedger derives a ledger's limits from the memory that its keys may take, in bytes.
func ForLedger(index int64) Ledger {
	return Ledger{
		Key: 4 << 10, Value: 1 << 20, Batch: 4 << 20, Group: 4 << 20, Writers: 16384, Queue: 32 << 20,
		Segment: 16 << 20, Index: index, Block: 32 << 10, Compaction: 64 << 20, Paced: 256 << 10, Small: 8,
		Garbage: 0.3, GroupWait: 2 * time.Millisecond, Mark: time.Second, Sweep: 10 * time.Second, Rest: 4 * time.Millisecond,
	}
}

// For derives the limits from the platform's caps on memory and on descriptors.
func For(memoryMB, sockets int) Limits {
	memory := int64(max(memoryMB, 32)) << 20
	return Limits{
		MemoryBytes: memory * 6 / 10, MemoryLeast: 12 << 20,
		// Balancers use half of the descriptors. With all parts in use some 7 in 100 are left for links and files.
		Connections: max(16, sockets*9/16),
		OpenPerConn: 32, BadPerConn: 4,
		CallConns: max(4, sockets/6),
		Requests:  int(memory / 4 / (8 << 10)),
		Keys:      int(memory / 4 / (8 << 10)),
		Body:      2 << 10, Result: 4 << 10, Fields: 1 << 10, Frame: 8 << 10, FrameParts: 8,
		Backlog: 512 << 10, Backlogs: int(memory / 16), Evicted: max(1, sockets/48), Unseated: max(2, sockets/24), NoticeLine: 64 << 10,
		KeptResult: 16 << 10, KeptResults: int(memory / 8),
		Vars: 32 << 10, VarCount: 256, Content: 64 << 10, Window: 32 << 10, Windows: int(memory / 8), Response: 256 << 10, HTTPHead: 16 << 10, TraceQueue: 2048,
		UwsgiConns: max(8, min(sockets/10, int(memory/(2<<20)))),
		Exchange:   time.Minute, BodyIdle: 10 * time.Second, Linger: time.Second, PoolTick: 50 * time.Millisecond, KeyWatch: 2 * time.Second,
		Newcomer: 10 * time.Millisecond, Quiet: 200 * time.Millisecond, Ahead: 5 * time.Second, Behind: 10 * time.Minute,
		Agree: 5 * time.Second, Beat: time.Second,
		Write: 3 * time.Second, Dial: time.Second,
		RetryLeast: 20 * time.Millisecond, RetryMost: time.Second, LinkSilence: 1500 * time.Millisecond, LinkReady: 5 * time.Second,
		CallIdle: time.Second, ReplyRest: time.Second, Message: 2 * time.Second, HandOver: 300 * time.Millisecond, CallSlack: 100 * time.Millisecond,
		Pulse: 250 * time.Millisecond, Gauges: 700 * time.Millisecond, Closing: 2 * time.Second,
		RecordWait: time.Second, RecordBack: time.Second,
		KeySlack: 200 * time.Millisecond, DueShare: 0.5, GraceSpare: 50 * time.Millisecond, KillSpare: 150 * time.Millisecond,
		OpsCall: 5 * time.Second, OpsSeats: min(32, max(4, sockets/12)), OpsLine: 256,
		Share: 50 * time.Millisecond, LearnedOldest: 10 * time.Second, Others: 200 * time.Millisecond, Sweep: time.Second, Orphan: 30 * time.Second, LogEvery: time.Second, Totals: time.Minute,
	}
}

// OpsTold is how many operators' connections without a seat are told so at once with time to read it.
func (l Limits) OpsTold() int { return max(1, l.OpsSeats/4) }

// Replace bounds the command that puts another release in place.
const Replace = 2 * time.Minute
