// Package directory reports to the list of nodes.
package directory

import (
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"sloehitch/internal/limits"
	"sloehitch/internal/lograte"
)

// Pulse reports a node's name and state until it is stopped.
type Pulse struct {
	name   string
	period time.Duration
	log    *lograte.Logger
	now    chan struct{} // something changed: report at once

	mu      sync.Mutex
	address string
	closed  bool
}

// New returns a pulse for the node of that name, to the directory at the address; with an empty one it reports to
// nobody until it is moved.
func New(name, address string, l limits.Limits, log *slog.Logger) *Pulse {
	return &Pulse{name: name, address: address, period: l.Pulse, log: lograte.New(log, l.LogEvery), now: make(chan struct{}, 1)}
}

// Close reports the node as closed from now on, or as open again.
func (p *Pulse) Close(closed bool) { p.change(func() { p.closed = closed }) }

// Move reports to another address from now on.
func (p *Pulse) Move(address string) { p.change(func() { p.address = address }) }

func (p *Pulse) change(what func()) {
	p.mu.Lock()
	what()
	p.mu.Unlock()
	select {
	case p.now <- struct{}{}:
	default:
	}
}

func (p *Pulse) report() (address string, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "open"
	if p.closed {
		state = "closed"
	}
	return p.address, fmt.Appendf(nil, "PULSE %s %s", p.name, state)
}

// Serve sends a report at once and then one each period until stop is closed. Reports get no answer, and one
// that can't be sent is only late: the directory may be down for a while.
func (p *Pulse) Serve(stop <-chan struct{}) {
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
		if conn != nil {
			_, _ = conn.Write(text) // a refused datagram of the past shows up here; the next one is on its way
		}
		select {
		case <-ticker.C:
		case <-p.now:
		case <-stop:
			return
		}
	}
}
