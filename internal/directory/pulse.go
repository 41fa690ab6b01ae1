// Package directory reports to the list of nodes.
package directory

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Pulse reports a node's name and state until it is stopped.
type Pulse struct {
	name   string
	closed atomic.Bool
	now    chan struct{}
}

// New returns a pulse for the node of that name.
func New(name string) *Pulse { return &Pulse{name: name, now: make(chan struct{}, 1)} }

// Close reports the node as closed from now on, or as open again.
func (p *Pulse) Close(closed bool) {
	p.closed.Store(closed)
	select {
	case p.now <- struct{}{}:
	default:
	}
}

func (p *Pulse) text() []byte {
	state := "open"
	if p.closed.Load() {
		state = "closed"
	}
	return fmt.Appendf(nil, "PULSE %s %s", p.name, state)
}

// Serve sends a report at once and then one each period until stop is closed. Reports get no answer, and one
// that can't be sent is only late: the directory may be down for a while.
func (p *Pulse) Serve(address string, period time.Duration, stop <-chan struct{}) error {
	conn, err := net.Dial("udp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		_, _ = conn.Write(p.text()) // a refused datagram of the past shows up here; the next one is on its way
		select {
		case <-ticker.C:
		case <-p.now:
		case <-stop:
			return nil
		}
	}
}
