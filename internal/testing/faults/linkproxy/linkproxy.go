// Package linkproxy is a TCP proxy that injects network faults between two processes: delay and jitter in each direction, fragmented
// writes, stalls of one direction, resets that lose the bytes in flight, and bytes dropped on an open connection. Tests and soak runs use
// it; the daemon does not import it.
package linkproxy

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Direction is a direction of a connection through the proxy.
type Direction int

// The two directions.
const (
	ToServer Direction = iota // from the client of the proxy to the server
	ToClient                  // from the server to the client of the proxy
	directions
)

// Conditions are the network conditions of one direction. The zero value forwards everything immediately.
type Conditions struct {
	Delay   time.Duration // from the arrival of a byte to its delivery; the order of bytes is kept
	Jitter  time.Duration // upper bound of a random extra delay, drawn for each chunk that arrives
	Piece   int           // largest write in bytes; 0: chunks are written as they arrived
	Stalled bool          // nothing is delivered; what arrives is queued until the stall or the connection ends
	Lost    bool          // what arrives is read and discarded; the connection stays open
}

const (
	dialTimeout       = time.Second
	chunkSize         = 16 << 10
	queueLength       = 1024 // chunks in flight in one direction; once it is full, the proxy stops reading from the sender
	stallPollInterval = 2 * time.Millisecond
)

// Proxy listens on a loopback address and forwards each connection to a server. Its methods may be called from any
// goroutine.
type Proxy struct {
	listener net.Listener

	mu         sync.Mutex
	server     string
	random     *rand.Rand
	conditions [directions]Conditions
	refusing   bool
	closed     bool
	pairs      map[*pair]struct{}
	opened     int
	forwarded  map[string]*Forwarded // the newest connection of each client, by the client's address
}

// Forwarded tells how the proxy forwarded a client's connection.
type Forwarded struct {
	From       string    // the address from which the server sees the connection
	Ended      time.Time // when the server's end of stream or reset arrived; zero: it has not
	Deliveries []Delivery
}

// Delivery is a write to the server, or an attempt on a connection that the server had closed.
type Delivery struct {
	Total int       // bytes delivered so far, with this write
	At    time.Time // when the write began
}

// Delivered returns when the last of the given number of bytes from the client was written to the server, or false if it was not
// written before the connection ended.
func (f Forwarded) Delivered(bytes int) (time.Time, bool) {
	for _, d := range f.Deliveries {
		if d.Total >= bytes {
			return d.At, true
		}
	}
	return time.Time{}, false
}

// New listens on a free address and forwards connections to the server.
func New(server string, seed uint64) (*Proxy, error) { return Listen("127.0.0.1:0", server, seed) }

// Listen listens on the given address and forwards connections to the server. The seed determines all jitter.
func Listen(address, server string, seed uint64) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, server: server, random: rand.New(rand.NewPCG(seed, seed)), pairs: map[*pair]struct{}{}, forwarded: map[string]*Forwarded{}}
	go p.serve()
	return p, nil
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the conditions of one direction, including those of open connections.
func (p *Proxy) Set(d Direction, c Conditions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conditions[d] = c
}

// Refuse sets whether new connections are reset immediately.
func (p *Proxy) Refuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = refuse
}

// Redirect forwards new connections to another server; open ones keep theirs.
func (p *Proxy) Redirect(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
}

// Forwarded returns how the newest connection of the client with the given address was forwarded.
func (p *Proxy) Forwarded(client net.Addr) Forwarded {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.forwarded[client.String()]
	if found == nil {
		return Forwarded{}
	}
	result := *found
	result.Deliveries = slices.Clone(found.Deliveries)
	return result
}

// Opened returns how many connections clients have opened so far.
func (p *Proxy) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Reset resets all connections on both sides and returns their number. Bytes in flight are lost.
func (p *Proxy) Reset() int {
	return p.each(func(pr *pair) { pr.end(true) })
}

// HalfClose closes the given direction of all connections once the bytes in flight have been delivered.
func (p *Proxy) HalfClose(d Direction) {
	p.each(func(pr *pair) { pr.flows[d].finish() })
}

// Close stops the proxy and resets all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Reset()
}

func (p *Proxy) each(f func(*pair)) int {
	p.mu.Lock()
	all := make([]*pair, 0, len(p.pairs))
	for pr := range p.pairs {
		all = append(all, pr)
	}
	p.mu.Unlock()
	for _, pr := range all {
		f(pr)
	}
	return len(all)
}

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(stallPollInterval)
			continue
		}
		go p.connect(client)
	}
}

// connect opens a connection to the server for a client's connection and forwards between the two.
func (p *Proxy) connect(client net.Conn) {
	p.mu.Lock()
	refusing, target := p.refusing || p.closed, p.server
	p.opened++
	delete(p.forwarded, client.RemoteAddr().String()) // of an earlier connection from the same port
	p.mu.Unlock()
	if refusing {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	pr := &pair{proxy: p, client: client, server: server, done: make(chan struct{}), forwarded: &Forwarded{From: server.LocalAddr().String()}}
	pr.flows[ToServer] = newFlow(pr, ToServer, client, server)
	pr.flows[ToClient] = newFlow(pr, ToClient, server, client)
	p.mu.Lock()
	p.pairs[pr] = struct{}{}
	p.forwarded[client.RemoteAddr().String()] = pr.forwarded
	closed := p.closed
	p.mu.Unlock()
	if closed {
		pr.end(true)
		return
	}
	for _, f := range pr.flows {
		go f.receive()
		go f.deliver()
	}
}

// current returns the present conditions of a direction, and the jitter drawn for one chunk.
func (p *Proxy) current(d Direction) (c Conditions, jitter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c = p.conditions[d]
	if c.Jitter > 0 {
		jitter = time.Duration(p.random.Int64N(int64(c.Jitter)))
	}
	return c, jitter
}

// pair is a client's connection and the connection to the server that it is forwarded to.
type pair struct {
	proxy          *Proxy
	client, server net.Conn
	flows          [directions]*flow
	once           sync.Once
	done           chan struct{}
	ended          [directions]bool // guarded by proxy.mu: the end of this direction has been delivered
	forwarded      *Forwarded       // guarded by proxy.mu
}

// end closes both connections, with a TCP reset if abort is set.
func (pr *pair) end(abort bool) {
	pr.once.Do(func() {
		close(pr.done)
		pr.proxy.mu.Lock()
		delete(pr.proxy.pairs, pr)
		pr.proxy.mu.Unlock()
		if abort {
			reset(pr.client)
			reset(pr.server)
			return
		}
		pr.client.Close()
		pr.server.Close()
	})
}

// recordDelivery records that bytes are about to be written to the server.
func (pr *pair) recordDelivery(bytes int) {
	pr.proxy.mu.Lock()
	defer pr.proxy.mu.Unlock()
	total := bytes
	if n := len(pr.forwarded.Deliveries); n > 0 {
		total += pr.forwarded.Deliveries[n-1].Total
	}
	pr.forwarded.Deliveries = append(pr.forwarded.Deliveries, Delivery{total, time.Now()})
}

// recordServerEnd records that the server's end of stream or reset has arrived.
func (pr *pair) recordServerEnd() {
	pr.proxy.mu.Lock()
	defer pr.proxy.mu.Unlock()
	pr.forwarded.Ended = time.Now()
}

// delivered records that the end of a direction has been delivered, and closes the pair once this holds for both directions.
func (pr *pair) delivered(d Direction) {
	pr.proxy.mu.Lock()
	pr.ended[d] = true
	both := pr.ended[ToServer] && pr.ended[ToClient]
	pr.proxy.mu.Unlock()
	if both {
		pr.end(false)
	}
}

// chunk holds the bytes of one read. A chunk without bytes marks the end of its direction or, if reset is set, a reset of the connection.
type chunk struct {
	bytes []byte
	reset bool
	due   time.Time
}

// flow is one direction of a pair.
type flow struct {
	pair      *pair
	direction Direction
	from, to  net.Conn
	queue     chan chunk

	mu   sync.Mutex
	last time.Time // when the newest chunk is due; later chunks are not delivered before it
}

func newFlow(pr *pair, d Direction, from, to net.Conn) *flow {
	return &flow{pair: pr, direction: d, from: from, to: to, queue: make(chan chunk, queueLength)}
}

// finish ends the direction once the bytes that have arrived so far are delivered.
func (f *flow) finish() { go f.enqueue(nil) }

// receive queues what arrives, each chunk with its delivery time.
func (f *flow) receive() {
	for {
		bytes := make([]byte, chunkSize)
		n, err := f.from.Read(bytes)
		if n > 0 && !f.enqueue(bytes[:n]) {
			return
		}
		if err != nil {
			f.receivedEnd(err)
			return
		}
	}
}

// receivedEnd queues the sender's end of stream or reset behind the bytes in flight, because a network keeps the order of what one side
// sends.
func (f *flow) receivedEnd(err error) {
	if f.direction == ToClient {
		f.pair.recordServerEnd()
	}
	if isEOF(err) {
		f.enqueue(nil)
		return
	}
	f.schedule(chunk{reset: true})
}

func (f *flow) enqueue(bytes []byte) bool { return f.schedule(chunk{bytes: bytes}) }

// schedule queues a chunk for delivery after the direction's delay.
func (f *flow) schedule(next chunk) bool {
	c, jitter := f.pair.proxy.current(f.direction)
	if c.Lost && len(next.bytes) > 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	due := time.Now().Add(c.Delay + jitter)
	if due.Before(f.last) {
		due = f.last
	}
	f.last, next.due = due, due
	select {
	case f.queue <- next:
		return true
	case <-f.pair.done:
		return false
	}
}

// deliver writes chunks at their delivery time.
func (f *flow) deliver() {
	for {
		select {
		case <-f.pair.done:
			return
		case c := <-f.queue:
			if !f.waitUntil(c.due) {
				return
			}
			if c.reset {
				f.pair.end(true)
				return
			}
			if len(c.bytes) == 0 {
				closeWrite(f.to)
				f.pair.delivered(f.direction)
				return
			}
			if !f.write(c.bytes) {
				return
			}
		}
	}
}

// waitUntil blocks until the due time and for as long as the direction is stalled. It returns false if the connection has ended.
func (f *flow) waitUntil(due time.Time) bool {
	for {
		wait := time.Until(due)
		if c, _ := f.pair.proxy.current(f.direction); c.Stalled {
			wait = max(wait, stallPollInterval)
		}
		if wait <= 0 {
			return true
		}
		select {
		case <-f.pair.done:
			return false
		case <-time.After(wait):
		}
	}
}

func (f *flow) write(bytes []byte) bool {
	for len(bytes) > 0 {
		size := len(bytes)
		if c, _ := f.pair.proxy.current(f.direction); c.Piece > 0 {
			size = min(size, c.Piece)
		}
		if f.direction == ToServer {
			f.pair.recordDelivery(size)
		}
		if _, err := f.to.Write(bytes[:size]); err != nil {
			// The receiver has reset the connection. The opposite direction delivers that reset in order, after the bytes sent before it.
			return false
		}
		bytes = bytes[size:]
	}
	return true
}
