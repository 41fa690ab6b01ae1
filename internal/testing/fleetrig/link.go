// Package fleetrig runs the store members and nodes of a fleet as real processes of the built program, injects faults into processes, disks,
// clocks and links, and checks the store's history, the clients' operations and the processes' events. Traffic stays on loopback; all
// processes that a run starts are ended by it.
//
// Draw derives a Schedule of faults from a seed; Play runs a fleet under one and returns a Report. The checks are the check_*.go files.
package fleetrig

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a TCP proxy between one process and an address of another, with faults.
type link struct {
	ln net.Listener
	to string

	mu              sync.Mutex
	cond            *sync.Cond
	cutFaults       int // active faults that cut it: connections end, and new ones are closed at once
	muteFaults      int // that hold back bytes to the server
	deafFaults      int // that hold back bytes from the server
	duplicateFaults int // that duplicate new connections
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

// track adds a connection to those that end with the link. It returns false where the link is cut or closed.
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
	twice := l.duplicateFaults > 0
	l.mu.Unlock()
	if twice {
		second, err := net.DialTimeout("tcp", l.to, time.Second)
		if err == nil {
			defer l.closeConn(second)
			if l.track(second) {
				go func() { _, _ = io.Copy(io.Discard, second) }() // until it is closed
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

// teeConn is a connection that duplicates what is written to it on a second one, whose errors are ignored.
type teeConn struct {
	net.Conn
	second net.Conn
}

// Write writes to both.
func (b teeConn) Write(p []byte) (int, error) {
	_ = b.second.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = b.second.Write(p)
	return b.Conn.Write(p)
}

// Close closes both.
func (b teeConn) Close() error {
	b.second.Close()
	return b.Conn.Close()
}

// copy forwards one direction, waiting while it is held back, until either side ends; then it closes both.
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

// change calls what, which may change the link's faults, with the link locked.
func (l *link) change(what func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	what()
	if l.cutFaults > 0 {
		l.reset()
	}
	l.cond.Broadcast()
}

// reset resets all connections; the caller holds mu.
func (l *link) reset() {
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset, not an end
		}
		c.Close()
	}
}

func (l *link) close() {
	l.ln.Close()
	l.change(func() { l.closed, l.cutFaults = true, 1 })
}
