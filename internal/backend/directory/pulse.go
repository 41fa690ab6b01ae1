// Package directory reports to the list of nodes.
package directory

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Reporter reports a node's name and state until it is stopped.
type Reporter struct {
	name    string
	period  time.Duration
	log     *lograte.Logger
	changed chan struct{} // something changed: report at once

	mu      sync.Mutex
	address string
	closed  bool
}

// New returns a pulse for the node of that name, to the directory at the address; with an empty one it reports to
// nobody until it is moved.
func New(name, address string, l limits.Limits, log *slog.Logger) *Reporter {
	return &Reporter{name: name, address: address, period: l.ReportInterval, log: lograte.New(log, l.LogInterval), changed: make(chan struct{}, 1)}
}

// SetClosed reports the node as closed from now on, or as open again.
func (p *Reporter) SetClosed(closed bool) { p.update(func() { p.closed = closed }) }

// SetAddress reports to another address from now on.
func (p *Reporter) SetAddress(address string) { p.update(func() { p.address = address }) }

func (p *Reporter) update(what func()) {
	p.mu.Lock()
	what()
	p.mu.Unlock()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *Reporter) report() (address string, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "open"
	if p.closed {
		state = "closed"
	}
	return p.address, fmt.Appendf(nil, "PULSE %s %s", p.name, state)
}

// send sends a report. The first error may be that of an earlier datagram, which was refused: the second try is this one's own.
func send(conn net.Conn, text []byte) bool {
	if _, err := conn.Write(text); err == nil {
		return true
	}
	_, err := conn.Write(text)
	return err == nil || errors.Is(err, syscall.ECONNREFUSED) // the directory is down; the way there is fine
}

// Run sends a report at once and then one each period until stop is closed. Reports get no answer, and one
// that can't be sent is only late: the directory may be down for a while.
func (p *Reporter) Run(stop <-chan struct{}) {
	var conn net.Conn
	var to string
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	ticker := time.NewTicker(p.period)
	defer ticker.Stop()
	for {
		address, text := p.report()
		if address != to && conn != nil {
			conn.Close()
			conn = nil
		}
		if to = address; conn == nil && to != "" {
			var err error
			if conn, err = net.Dial("udp", to); err != nil {
				p.log.Warn("no way to the directory", err)
			}
		}
		if conn != nil && !send(conn, text) {
			// A socket that has lost its way to the directory never finds one again. It is kept while there is no other: under a lack of
			// descriptors it is the only one.
			if other, err := net.Dial("udp", to); err == nil {
				conn.Close()
				conn = other
			} else {
				p.log.Warn("no way to the directory", err)
			}
		}
		select {
		case <-ticker.C:
		case <-p.changed:
		case <-stop:
			return
		}
	}
}
