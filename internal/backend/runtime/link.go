// Package runtime holds the link to the process that does the work of requests.
//
// A Link is one connection at a time, made again for good (reconnect.go, keepalive.go). Commands wait in a
// queue until the runtime is ready; notices are numbered, and a new connection resumes after the last one
// that was read. What becomes of a command that was written to a connection that broke is decided by package
// redelivery. wire.go alone knows the protocol.
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

// Events gets what becomes of runs. Its methods are called from the link's goroutine and must not block.
type Events interface {
	// RunEnded gets a run's end, how long it took and its result.
	RunEnded(id string, o admission.Outcome, took time.Duration, result []byte)
	// CallRequested gets the call that a run waits for, and the number of the notice that asked for it.
	CallRequested(id string, notice uint64, body []byte)
	// DeliveryUnconfirmed gets a run whose link broke, and of which nobody can tell whether the runtime read
	// its start or, if call is not 0, the reply to the call that the notice of that number asked for. Neither
	// is sent again.
	DeliveryUnconfirmed(id string, call uint64)
}

// Options are what a link needs.
type Options struct {
	Address    string
	GaugeNames []string // in the order in which the runtime sends the gauges
	// OnGauges gets the gauges that RequestGauges asked for. It is called from the link's goroutine and must not
	// block.
	OnGauges func(admission.Gauges)
	Limits   limits.Limits
	Log      *slog.Logger
}

// Link is the link to the runtime. Its methods may be called from any goroutine and do not block, but for
// Serve.
type Link struct {
	opts   Options
	events Events
	log    *lograte.Logger

	addressChanged chan struct{}

	mu         sync.Mutex
	cond       *sync.Cond // the queue, the connection or its state has changed
	address    string
	queue      []queuedCommand
	runs       map[string]*runState // that were asked for and have not ended
	generation uint64               // connections made so far
	conn       net.Conn             // nil between two connections
	writable   bool                 // the runtime is ready, and commands may be written
	switching  bool                 // the address has changed: the connection ends once all that was written is read
	closed     bool

	lastNotice       uint64 // the number of the last notice that was read
	noticesLost      bool   // the runtime no longer had all notices that came before this connection
	unreadableNotice bool   // the last connection ended at the notice after lastNotice, which could not be read

	redeliveryDecided bool // what the last break may have lost was decided on for this connection
	cleanSwitch       bool // the last connection ended by switching: it lost nothing

	gaugesRequested uint64 // the number of the last request for gauges
	gaugesReceived  uint64 // and of the last one that was answered
}

// Errors that end a connection.
var (
	errAddressChanged = errors.New("the runtime's address has changed")
	errRuntimeSilent  = errors.New("the runtime sends nothing, though it was asked")
	errNoticeTooLong  = errors.New("a notice is longer than the limit")
)

// New returns a link that does nothing until Serve.
func New(o Options) *Link {
	l := &Link{opts: o, address: o.Address, addressChanged: make(chan struct{}, 1), log: lograte.New(o.Log, o.Limits.LogInterval),
		runs: map[string]*runState{}}
	l.cond = sync.NewCond(&l.mu)
	return l
}

// Serve keeps the link up and blocks until Close. It is to be called once.
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
		l.opts.Log.Info("no link to the runtime; connecting again", "address", address, "error", err, "retry", wait, "moved", moved,
			"link", l.currentGeneration(), "up", time.Since(startedAt).Round(time.Millisecond), "unacknowledged", l.unacknowledgedRuns())
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
	lastNotice, err := l.open(conn)
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
	// What this connection did not take must stand in the queue again before the next one writes: put back
	// later, it would follow what was asked for after it, and a reply that was sent again meanwhile would be
	// given twice.
	_ = conn.Close()
	<-written
	return err
}

// open makes a connection the current one, and returns the number of the last notice that was read.
func (l *Link) open(conn net.Conn) (lastNotice uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, net.ErrClosed
	}
	l.conn, l.writable, l.switching, l.noticesLost = conn, false, false, false
	l.generation++
	return l.lastNotice, nil
}

// SetAddress takes the link to another address. What is queued from now on goes there; the present connection
// ends once the runtime has read what was written to it, or after limits.LinkSwitchTimeout.
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
		l.enqueue(encodeGaugesRequest(echoHandover))
		time.AfterFunc(l.opts.Limits.LinkSwitchTimeout, func() { _ = conn.Close() })
	}
}

// Close ends the link, and Serve with it.
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

// endState reports whether the link was closed, and whether its address is another one than that of the
// connection that ended.
func (l *Link) endState(address string) (closed, moved bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed, address != l.address
}

// currentGeneration returns how many connections there were so far.
func (l *Link) currentGeneration() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}
