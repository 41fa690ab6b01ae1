// Package limits holds every bound on sizes, counts and times in one type, filled once at start.
package limits

import "time"

// Limits bounds what the program takes, keeps and waits for. For fills it once at start.
type Limits struct {
	// Memory of the process, in bytes.
	MemoryBytes    int64 // soft limit of the Go heap, below the platform's cap
	MinMemoryBytes int64 // the limit's lower bound, however many processes share the cap: below it the collector would use the core

	// Requests and keys.
	MaxInFlight            int // requests that are queued or run
	MaxKeys                int // entries of the table of idempotency keys
	StoredResultBytes      int // a result that is kept for repeats
	TotalStoredResultBytes int // all of them together

	// Connections of the platform's front.
	MaxConnections           int           // open at once
	RequestsPerConnection    int           // in flight on one connection
	BadMessagesPerConnection int           // messages that are not valid before the connection is closed
	UnadmittedConnections    int           // connections without a slot that are read, rejected and closed, at once
	EvictedConnections       int           // connections that gave up their slots and are still to end, at once
	NewConnectionGrace       time.Duration // silence before a new connection may be evicted
	IdleConnectionGrace      time.Duration // idle time before any other connection may be evicted
	PeerCloseTimeout         time.Duration // for a peer to close a connection after it was asked to
	CloseTimeout             time.Duration // for a peer to end a connection that this side has ended

	// Messages of the platform's front, in bytes unless said otherwise.
	BodyBytes                     int           // of a request
	ResultBytes                   int           // of a result, or of a reply to a call
	FieldListBytes                int           // of a field list
	FrameBytes                    int           // of one framed message
	FrameParts                    int           // parts of one framed message
	UnreadAnswerBytes             int           // that a peer may leave unread
	TotalUnreadAnswerBytes        int           // of all peers together; beyond it a peer that leaves over a sixteenth of its own bound is aborted
	MessageTimeout                time.Duration // for a message to arrive whole, and for the first one of a connection
	MaxClockAhead, MaxClockBehind time.Duration // how far a request's time stamp may be from this node's clock

	// Deadlines and drain.
	DeadlineGuardShare float64       // share of the grace after a deadline at which the core answers by itself
	KeyWindowSlack     time.Duration // added to a key's window, since clocks and sockets are not exact
	DrainGraceMargin   time.Duration // before the end of the drain grace, when callers are sent to other nodes
	KillMargin         time.Duration // before the kill, when all that is left is answered
	OrphanTimeout      time.Duration // after its deadline, when a run that never reported is abandoned

	// The link to the runtime.
	NoticeBytes            int           // one line from the runtime
	MinBackoff, MaxBackoff time.Duration // between attempts to connect
	RuntimeSilence         time.Duration // after which the runtime is asked for an echo, and once more after which the link is given up
	RuntimeReadyTimeout    time.Duration // for a runtime to say that it is up before it is dialed anew
	LinkSwitchTimeout      time.Duration // for the runtime to take what was written before the link moves to another address
	GaugesTimeout          time.Duration // for the gauges before a step goes without
	ReportInterval         time.Duration // between load reports to the directory

	// Calls through the catalogue.
	CatalogueConnections int           // open at once
	CatalogueIdleTimeout time.Duration // after which an unused connection is closed
	ReplyTimeout         time.Duration // for the rest of a reply once it has begun
	CallTimeoutSlack     time.Duration // past a call's own time before it is given up here

	// The uwsgi front and its pool, in bytes unless said otherwise.
	UwsgiConnections      int           // open at once, on either side
	UwsgiVarBytes         int           // of a packet's variables
	UwsgiVars             int           // number of variables
	BufferedBodyBytes     int           // of a request body that is held whole
	BodyWindowBytes       int           // of a streamed request body that is held while it waits or is passed on
	TotalBodyWindowBytes  int           // of all of them together
	BufferedResponseBytes int           // of a response that is held whole
	ResponseHeadBytes     int           // of a response's head
	UpstreamTimeout       time.Duration // for a server to begin its answer, and between pieces of it
	BodyIdleTimeout       time.Duration // between pieces of a request body
	PoolInterval          time.Duration // between checks of waiting requests and ejected servers
	TLSKeyPollInterval    time.Duration // between checks of the files of TLS keys
	QueuedSpans           int           // spans that wait to be written

	// Any peer.
	WriteTimeout time.Duration // of one write
	DialTimeout  time.Duration // of one connection attempt

	// The replicated store.
	CommitTimeout   time.Duration // for a change of the store, and for an operator's request
	ElectionTimeout time.Duration // silence after which the members elect a leader

	// Journals of keyed runs, and the other processes of this node.
	RecordTimeout      time.Duration // for a start to be recorded before its request is rejected
	RejectedRetryAfter time.Duration // Retry-After of rejections that logic did not decide: for want of a recorded start, a slot or body memory
	QuotaInterval      time.Duration // between looks at what the node's other processes have in flight
	MaxSnapshotAge     time.Duration // of an earlier process's learned state, to start from it
	ProcessListTimeout time.Duration // for a look at which other processes of this node live

	// Housekeeping.
	SweepInterval  time.Duration // between sweeps of what has expired
	TotalsInterval time.Duration // between log lines with the counts
	LogInterval    time.Duration // between log lines about one kind of fault

	// The operators' address.
	OperatorCallTimeout time.Duration // for a call to arrive whole on its connection
	OperatorConnections int           // at once; a connection beyond them is answered NAK
	OperatorCallBytes   int           // of a call, its newline included
}

// RejectedOperatorConnections is how many connections beyond OperatorConnections are answered at once, with time to read the answer.
func (l Limits) RejectedOperatorConnections() int { return max(1, l.OperatorConnections/4) }

// For derives the limits from the platform's caps on memory, in MB, and on descriptors.
func For(memoryMB, sockets int) Limits {
	memory := int64(max(memoryMB, 32)) << 20
	l := Limits{
		MemoryBytes:    memory * 6 / 10,
		MinMemoryBytes: 12 << 20,

		MaxInFlight:            int(memory / 4 / (8 << 10)),
		MaxKeys:                int(memory / 4 / (8 << 10)),
		StoredResultBytes:      16 << 10,
		TotalStoredResultBytes: int(memory / 8),

		// Balancers use half of the descriptors. With all parts in use some 7 in 100 are left for links and files.
		MaxConnections:           max(16, sockets*9/16),
		RequestsPerConnection:    32,
		BadMessagesPerConnection: 4,
		UnadmittedConnections:    max(2, sockets/24),
		EvictedConnections:       max(1, sockets/48),
		NewConnectionGrace:       10 * time.Millisecond,
		IdleConnectionGrace:      200 * time.Millisecond,
		PeerCloseTimeout:         2 * time.Second,
		CloseTimeout:             time.Second,

		BodyBytes:              2 << 10,
		ResultBytes:            4 << 10,
		FieldListBytes:         1 << 10,
		FrameBytes:             8 << 10,
		FrameParts:             8,
		UnreadAnswerBytes:      512 << 10,
		TotalUnreadAnswerBytes: int(memory / 16),
		MessageTimeout:         2 * time.Second,
		MaxClockAhead:          5 * time.Second,
		MaxClockBehind:         10 * time.Minute,

		DeadlineGuardShare: 0.5,
		KeyWindowSlack:     200 * time.Millisecond,
		DrainGraceMargin:   50 * time.Millisecond,
		KillMargin:         150 * time.Millisecond,
		OrphanTimeout:      30 * time.Second,

		WriteTimeout: 3 * time.Second,
		DialTimeout:  time.Second,

		CommitTimeout:   5 * time.Second,
		ElectionTimeout: time.Second,

		RecordTimeout:      time.Second,
		RejectedRetryAfter: time.Second,
		QuotaInterval:      50 * time.Millisecond,
		MaxSnapshotAge:     10 * time.Second,
		ProcessListTimeout: 200 * time.Millisecond,

		SweepInterval:  time.Second,
		TotalsInterval: time.Minute,
		LogInterval:    time.Second,

		OperatorCallTimeout: 5 * time.Second,
		OperatorConnections: min(32, max(4, sockets/12)),
		OperatorCallBytes:   256,
	}
	l.setLinkLimits(sockets)
	l.setUwsgiLimits(memory, sockets)
	return l
}

// setLinkLimits sets the limits of the links to runtime, directory and catalogue.
func (l *Limits) setLinkLimits(sockets int) {
	l.NoticeBytes = 64 << 10
	l.MinBackoff = 20 * time.Millisecond
	l.MaxBackoff = time.Second
	l.RuntimeSilence = 1500 * time.Millisecond
	l.RuntimeReadyTimeout = 5 * time.Second
	l.LinkSwitchTimeout = 300 * time.Millisecond
	l.GaugesTimeout = 700 * time.Millisecond
	l.ReportInterval = 250 * time.Millisecond

	l.CatalogueConnections = max(4, sockets/6)
	l.CatalogueIdleTimeout = time.Second
	l.ReplyTimeout = time.Second
	l.CallTimeoutSlack = 100 * time.Millisecond
}

// setUwsgiLimits sets the limits of the uwsgi front and its pool. memory is in bytes.
func (l *Limits) setUwsgiLimits(memory int64, sockets int) {
	l.UwsgiConnections = max(8, min(sockets/10, int(memory/(2<<20))))
	l.UwsgiVarBytes = 32 << 10
	l.UwsgiVars = 256
	l.BufferedBodyBytes = 64 << 10
	l.BodyWindowBytes = 32 << 10
	l.TotalBodyWindowBytes = int(memory / 8)
	l.BufferedResponseBytes = 256 << 10
	l.ResponseHeadBytes = 16 << 10
	l.UpstreamTimeout = time.Minute
	l.BodyIdleTimeout = 10 * time.Second
	l.PoolInterval = 50 * time.Millisecond
	l.TLSKeyPollInterval = 2 * time.Second
	l.QueuedSpans = 2048
}

// ReplaceTimeout bounds the command that installs another release.
const ReplaceTimeout = 2 * time.Minute
