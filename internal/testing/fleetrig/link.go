// Package fleetrig starts store members and nodes of a fleet as real processes of the built program, puts faults between
// them, and checks by the store's own word that what was agreed on held. Traffic stays on loopback, and everything that it
// starts it ends.
package fleetrig

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is what stands between one process and an address of another: connections made to it go on there, as long as and
// as fast as it lets them.
type link struct {
	ln net.Listener
	to string

	mu    sync.Mutex
	cond  *sync.Cond
	cut   int // faults that cut it now: connections end, and new ones are closed at once
	there int // that hold back what goes there
	back  int // and what comes back
	twice int // that have connections made twice
	delay time.Duration
	conns map[net.Conn]bool
	over  bool
}

// newLink listens for the one side. It errs where there is no port.
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
		go l.pass(in)
	}
}

// keep has a connection end with the link; false: it is cut.
func (l *link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over || l.cut > 0 {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *link) drop(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

func (l *link) pass(in net.Conn) {
	defer l.drop(in)
	if !l.keep(in) {
		return
	}
	out, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		return
	}
	defer l.drop(out)
	if !l.keep(out) {
		return
	}
	to := net.Conn(out)
	l.mu.Lock()
	twice := l.twice > 0
	l.mu.Unlock()
	if twice {
		second, err := net.DialTimeout("tcp", l.to, time.Second)
		if err == nil {
			defer l.drop(second)
			if l.keep(second) {
				go func() { _, _ = io.Copy(io.Discard, second) }() // until it is closed
				to = both{out, second}
			}
		}
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		l.copy(to, in, &l.there)
	}()
	go func() {
		defer wg.Done()
		l.copy(in, out, &l.back)
	}()
	wg.Wait()
}

// both is a connection whose bytes arrive at the other side by another one too. That the second fails is no matter.
type both struct {
	net.Conn
	second net.Conn
}

// Write writes to both.
func (b both) Write(p []byte) (int, error) {
	_ = b.second.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = b.second.Write(p)
	return b.Conn.Write(p)
}

// Close closes both.
func (b both) Close() error {
	b.second.Close()
	return b.Conn.Close()
}

// copy passes bytes on, waiting while they are held back; then the other way ends too.
func (l *link) copy(to, from net.Conn, held *int) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		for *held > 0 && !l.over {
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

// change changes what the link lets through.
func (l *link) change(what func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	what()
	if l.cut > 0 {
		l.reset()
	}
	l.cond.Broadcast()
}

// reset ends all connections, midway in whatever they carry; the caller holds mu.
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
	l.change(func() { l.over, l.cut = true, 1 })
}
