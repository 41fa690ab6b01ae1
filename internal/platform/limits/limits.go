// Package limits defines all bounds on sizes, counts and times.
package limits

import "time"

// Limits bounds the resources that the program uses and the times that it waits. For sets it once at start.
type Limits struct {
	// Memory of the process, in bytes.
	MemoryBytes    int64 // soft limit of the Go heap, below the platform's cap
	MinMemoryBytes int64 // lower bound of that limit, however many processes share the cap: below it garbage collection would use the core

	// Requests and keys.
	MaxInFlight            int // queued and running requests
	MaxKeys                int // entries in the table of idempotency keys
	StoredResultBytes      int // size of a result that is kept for repeated requests
	TotalStoredResultBytes int // size of all kept results

	// Connections of the platform's front.
	MaxConnections           int           // open at once
	RequestsPerConnection    int           // in flight on one connection
	BadMessagesPerConnection int           // invalid messages before the connection is closed
	UnadmittedConnections    int           // concurrent connections without a slot, which are read, rejected and closed
	EvictedConnections       int           // concurrent connections that lost their slots and are not closed yet
	NewConnectionGrace       time.Duration // silence before a new connection may be evicted
	IdleConnectionGrace      time.Duration // idle time before any other connection may be evicted
	PeerCloseTimeout         time.Duration // for a peer to close a connection when asked to
	CloseTimeout             time.Duration // for a peer to close its side of a connection after this side was closed

	// Messages of the platform's front, in bytes unless said otherwise.
	BodyBytes                     int           // body of a request
	ResultBytes                   int           // a result, or a reply to a call
	FieldListBytes                int           // a field list
	FrameBytes                    int           // one framed message
	FrameParts                    int           // number of parts of one framed message
	UnreadAnswerBytes             int           // answers that one peer may leave unread
	TotalUnreadAnswerBytes        int           // unread answers of all peers; above it, peers with more than a sixteenth of UnreadAnswerBytes unread are aborted
	MessageTimeout                time.Duration // for a message to arrive completely, and for the first message of a connection
	MaxClockAhead, MaxClockBehind time.Duration // maximum difference between a request's time stamp and this node's clock

	// Deadlines and drain.
	DeadlineGuardShare float64       // share of the response grace after which the core answers a request past its deadline itself
	KeyWindowSlack     time.Duration // added to a key's idempotency window to allow for inexact clocks and delays of sockets
	DrainGraceMargin   time.Duration // how long before the end of the drain grace callers are sent to other nodes
	KillMargin         time.Duration // how long before the kill all remaining requests are answered
	OrphanTimeout      time.Duration // how long after its deadline a run that never reported is abandoned

	// The link to the runtime.
	NoticeBytes            int           // size of one line from the runtime
	MinBackoff, MaxBackoff time.Duration // between attempts to connect
	RuntimeSilence         time.Duration // silence after which the runtime is asked for an echo; after as long again the link is closed
	RuntimeReadyTimeout    time.Duration // for a runtime to report that it is up before it is dialed again
	LinkSwitchTimeout      time.Duration // for the runtime to read what was written before the link moves to another address
	GaugesTimeout          time.Duration // for the gauges before a step proceeds without them
	ReportInterval         time.Duration // between load reports to the directory

	// Calls through the catalogue.
	CatalogueConnections int           // open at once
	CatalogueIdleTimeout time.Duration // after which an unused connection is closed
	ReplyTimeout         time.Duration // for the rest of a reply after its first byte
	CallTimeoutSlack     time.Duration // added to a call's own timeout before this node abandons the call

	// The uwsgi front and its pool, in bytes unless said otherwise.
	UwsgiConnections      int           // number of open connections on either side
	UwsgiVarBytes         int           // variables of a packet
	UwsgiVars             int           // number of variables
	BufferedBodyBytes     int           // a request body that is buffered completely
	BodyWindowBytes       int           // buffer of a streamed request body while it is queued or forwarded
	TotalBodyWindowBytes  int           // all those buffers together
	BufferedResponseBytes int           // a response that is buffered completely
	ResponseHeadBytes     int           // the head of a response
	UpstreamTimeout       time.Duration // for the start of a server's response, and between parts of it
	BodyIdleTimeout       time.Duration // between parts of a request body
	PoolInterval          time.Duration // between checks of waiting requests and ejected servers
	TLSKeyPollInterval    time.Duration // between checks of the TLS key files
	QueuedSpans           int           // number of spans queued for writing

	// Any peer.
	WriteTimeout time.Duration // for one write
	DialTimeout  time.Duration // for one connection attempt

	// The replicated store.
	CommitTimeout   time.Duration // for a write to the store, and for an operator's request
	ElectionTimeout time.Duration // silence of the leader after which the members elect another

	// Journals of keyed runs, and the other processes of this node.
	RecordTimeout      time.Duration // for a start to be recorded before its request is rejected
	RejectedRetryAfter time.Duration // Retry-After of rejections outside package logic: the start was not recorded, or there was no slot or body memory
	QuotaInterval      time.Duration // between reads of the load of the node's other processes
	MaxSnapshotAge     time.Duration // maximum age of an earlier process's learned state that this one may start from
	ProcessListTimeout time.Duration // for listing the other live processes of this node

	// Housekeeping.
	SweepInterval  time.Duration // between removals of expired entries
	TotalsInterval time.Duration // between log lines with the totals
	LogInterval    time.Duration // between log lines about the same kind of error

	// The operators' address.
	OperatorCallTimeout time.Duration // for a call to arrive completely on its connection
	OperatorConnections int           // concurrent connections; those above it are answered NAK
	OperatorCallBytes   int           // size of a call, including its newline
}

// RejectedOperatorConnections returns how many connections above OperatorConnections may be rejected at once, each with time to read the answer.
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

		// Balancers may use half of the descriptors. When all parts are at their limits, about 7 in 100 remain for links and files.
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

// setLinkLimits sets the limits of the links to the runtime, the directory and the catalogue.
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

// ReplaceTimeout is the timeout of the command that installs another release.
const ReplaceTimeout = 2 * time.Minute
