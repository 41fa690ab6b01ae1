// Package runtime maintains the link to the runtime, the process that executes requests.
//
// A Link has one connection at a time and reconnects until it is closed (reconnect.go, keepalive.go). Commands
// are queued until the runtime is ready. Notices are numbered, and a new connection resumes after the last one
// that was read. Package redelivery decides whether a command that was written to a broken connection is sent
// again. The protocol is implemented in wire.go.
package runtime

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Events receives the events of runs. Its methods are called from the link's goroutines and must not block. They are
// called without the link's lock, so they may lock what is locked while methods of the link are called.
type Events interface {
	// RunEnded reports that a run has ended, with its outcome, duration and result.
	RunEnded(id string, o admission.Outcome, took time.Duration, result []byte)
	// CallRequested reports that a run waits for a call, and the number of the notice that requested it.
	CallRequested(id string, notice uint64, body []byte)
	// DeliveryUnconfirmed reports that the link broke and it is unknown whether the runtime has read the start of
	// the run or, if call is not 0, the reply to the call that the notice of that number requested. The command is
	// not sent again.
	DeliveryUnconfirmed(id string, call uint64)
	// MayRunAgain reports whether a run may be started a second time, by the semantics in force now.
	MayRunAgain(id string) bool
}

// Options configure a link.
type Options struct {
	Address    string
	GaugeNames []string // in the order in which the runtime sends the gauges
	// OnGauges receives the gauges that RequestGauges requested. It is called from the link's goroutine and must
	// not block.
	OnGauges func(admission.Gauges)
	Limits   limits.Limits
	Log      *slog.Logger
}

// Link is the link to the runtime. It is safe for concurrent use, and no method but Serve blocks.
type Link struct {
	opts   Options
	events Events
	log    *lograte.Logger

	addressChanged chan struct{}

	mu         sync.Mutex
	cond       *sync.Cond // signaled when the queue, the connection or its state has changed
	address    string
	queue      []queuedCommand
	runs       map[string]*runState // that were started by Start and have not ended
	generation uint64               // number of connections made so far
	conn       net.Conn             // nil while not connected
	writable   bool                 // the runtime is ready, and commands may be written
	switching  bool                 // the address has changed: the connection ends once the runtime has read all commands
	closed     bool

	lastNotice       uint64 // the number of the last notice that was read
	noticesLost      bool   // the runtime no longer had all notices from before this connection
	unreadableNotice bool   // the last connection ended at the notice after lastNotice, which could not be decoded

	redeliveryDecided bool // commands that the last connection may have lost were handled on this connection
	cleanSwitch       bool // the last connection ended by a change of address: no command was lost

	gaugesRequested uint64 // the number of the last RequestGauges request
	gaugesReceived  uint64 // the number of the last RequestGauges request that was answered
}

// Errors that end a connection.
var (
	errAddressChanged = errors.New("the runtime's address was changed")
	errRuntimeSilent  = errors.New("the runtime sent no data within the timeout")
	errNoticeTooLong  = errors.New("notice exceeds the size limit")
)

// New returns a link that does not connect until Serve is called.
func New(o Options) *Link {
	l := &Link{opts: o, address: o.Address, addressChanged: make(chan struct{}, 1), log: lograte.New(o.Log, o.Limits.LogInterval),
		runs: map[string]*runState{}}
	l.cond = sync.NewCond(&l.mu)
	return l
}

// Serve maintains the connection and blocks until Close is called. It must be called once.
func (l *Link) Serve(events Events) {
	l.events = events
	retry := backoff{initial: l.opts.Limits.MinBackoff, max: l.opts.Limits.MaxBackoff, next: l.opts.Limits.MinBackoff}
	for {
		startedAt := time.Now()
		address := l.currentAddress()
		conn, err := net.DialTimeout("tcp", address, l.opts.Limits.DialTimeout)
		if err == nil {
			err = l.serveConnection(conn)
		}
		closed, moved := l.endState(address)
		if closed {
			return
		}
		wait := retry.delay(time.Since(startedAt), moved)
		l.opts.Log.Info("connection to the runtime ended or failed; reconnecting", "address", address, "error", err, "retry", wait,
			"moved", moved, "link", l.currentGeneration(), "up", time.Since(startedAt).Round(time.Millisecond),
			"unacknowledged", l.unacknowledgedRuns())
		if moved {
			continue
		}
		select {
		case <-time.After(wait):
		case <-l.addressChanged:
		}
	}
}

// serveConnection resumes the link on a connection and serves it until it ends.
func (l *Link) serveConnection(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	lastNotice, err := l.setCurrentConn(conn)
	if err != nil {
		return err
	}
	if _, err := l.writeWithDeadline(conn, encodeSync(lastNotice)); err != nil {
		return err
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.writeCommands(conn)
	}()
	err = l.readNotices(conn)
	l.mu.Lock()
	l.conn, l.writable = nil, false
	l.cleanSwitch = errors.Is(err, errAddressChanged)
	l.cond.Broadcast()
	l.mu.Unlock()
	// Commands that were not written must be back in the queue before the next connection writes. Otherwise they
	// would follow commands that were queued after them, and a reply that was redelivered meanwhile would be sent
	// twice.
	_ = conn.Close()
	<-written
	return err
}

// setCurrentConn makes conn the current connection and returns the number of the last notice that was read.
func (l *Link) setCurrentConn(conn net.Conn) (lastNotice uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, net.ErrClosed
	}
	l.conn, l.writable, l.switching, l.noticesLost = conn, false, false, false
	l.generation++
	return l.lastNotice, nil
}

// SetAddress moves the link to another address. Commands that are queued from now on are sent there; the current
// connection ends once the runtime has read all that was written to it, or after limits.LinkSwitchTimeout.
func (l *Link) SetAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == l.address {
		return
	}
	l.address = address
	select {
	case l.addressChanged <- struct{}{}:
	default:
	}
	conn := l.conn
	switch {
	case conn == nil: // Serve is about to connect
	case !l.writable:
		_ = conn.Close()
	default:
		l.switching = true
		l.enqueue(encodeGaugesRequest(echoAddressChanged))
		time.AfterFunc(l.opts.Limits.LinkSwitchTimeout, func() { _ = conn.Close() })
	}
}

// Close closes the link and makes Serve return.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.Close()
	}
	l.cond.Broadcast()
}

func (l *Link) currentAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// endState reports whether the link was closed, and whether its address differs from that of the connection that
// ended.
func (l *Link) endState(address string) (closed, moved bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed, address != l.address
}

// currentGeneration returns the number of connections made so far.
func (l *Link) currentGeneration() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}
