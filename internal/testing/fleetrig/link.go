// Package fleetrig runs the store members and nodes of a fleet as real processes of the built program, injects faults into processes,
// disks, clocks and links, and checks the store's history, the clients' operations and the processes' events. Traffic stays on loopback; a
// run ends all processes that it starts.
//
// Draw derives a Schedule of faults from a seed; Play runs a fleet under a schedule and returns a Report. The checks are in the check_*.go
// files.
package fleetrig

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a TCP proxy between a process and an address of another one, with injected faults.
type link struct {
	ln net.Listener
	to string

	mu              sync.Mutex
	cond            *sync.Cond
	cutFaults       int // number of active faults that cut it: connections are reset, and new ones are closed at once
	muteFaults      int // number that hold back bytes to the server
	deafFaults      int // number that hold back bytes from the server
	duplicateFaults int // number that duplicate new connections
	delay           time.Duration
	conns           map[net.Conn]bool
	closed          bool
}

// newLink listens on a free port and forwards connections to the address.
func newLink(to string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, to: to, conns: map[net.Conn]bool{}}
	l.cond = sync.NewCond(&l.mu)
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) serve() {
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.forward(in)
	}
}

// track adds a connection to those that are closed with the link. It returns false if the link is cut or closed.
func (l *link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.cutFaults > 0 {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *link) closeConn(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

func (l *link) forward(in net.Conn) {
	defer l.closeConn(in)
	if !l.track(in) {
		return
	}
	out, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		return
	}
	defer l.closeConn(out)
	if !l.track(out) {
		return
	}
	to := net.Conn(out)
	l.mu.Lock()
	duplicate := l.duplicateFaults > 0
	l.mu.Unlock()
	if duplicate {
		second, err := net.DialTimeout("tcp", l.to, time.Second)
		if err == nil {
			defer l.closeConn(second)
			if l.track(second) {
				go func() { _, _ = io.Copy(io.Discard, second) }() // until the connection is closed
				to = teeConn{out, second}
			}
		}
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		l.copy(to, in, &l.muteFaults)
	}()
	go func() {
		defer wg.Done()
		l.copy(in, out, &l.deafFaults)
	}()
	wg.Wait()
}

// teeConn is a connection that also writes all data to a second one, whose errors are ignored.
type teeConn struct {
	net.Conn
	second net.Conn
}

// Write writes to both connections and returns the result of the first.
func (b teeConn) Write(p []byte) (int, error) {
	_ = b.second.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = b.second.Write(p)
	return b.Conn.Write(p)
}

// Close closes both connections.
func (b teeConn) Close() error {
	b.second.Close()
	return b.Conn.Close()
}

// copy forwards one direction until either side ends, and then closes both. It waits while the direction is held back.
func (l *link) copy(to, from net.Conn, held *int) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		for *held > 0 && !l.closed {
			l.cond.Wait()
		}
		delay := l.delay
		l.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

// change calls a function that may change the link's faults, with the link locked, and applies the change.
func (l *link) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	if l.cutFaults > 0 {
		l.reset()
	}
	l.cond.Broadcast()
}

// reset resets all connections; the caller holds mu.
func (l *link) reset() {
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // Close sends a reset instead of a FIN
		}
		c.Close()
	}
}

func (l *link) close() {
	l.ln.Close()
	l.change(func() { l.closed, l.cutFaults = true, 1 })
}
