// Package directory sends this node's load reports to the directory, the endpoint list from which balancers
// learn of nodes.
package directory

import (
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Reporter sends a node's name and state each period. Its methods may be called from any goroutine; Run is to
// be called once.
type Reporter struct {
	name    string
	period  time.Duration
	log     *lograte.Logger
	changed chan struct{} // the state or the address has changed: report at once

	mu      sync.Mutex
	address string
	closed  bool
}

// New returns a reporter for the node of that name to the directory at the address. With an empty address it
// sends nothing until SetAddress.
func New(name, address string, l limits.Limits, log *slog.Logger) *Reporter {
	return &Reporter{name: name, address: address, period: l.ReportInterval, log: lograte.New(log, l.LogInterval),
		changed: make(chan struct{}, 1)}
}

// SetClosed reports the node as closed from now on, or as open again. It does not block.
func (r *Reporter) SetClosed(closed bool) { r.update(func() { r.closed = closed }) }

// SetAddress sends reports to another address from now on. It does not block.
func (r *Reporter) SetAddress(address string) { r.update(func() { r.address = address }) }

func (r *Reporter) update(change func()) {
	r.mu.Lock()
	change()
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// report returns the next report and where it goes.
func (r *Reporter) report() (address string, datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address, encodeReport(r.name, r.closed)
}

// Run sends a report at once, one each period and one at each change until stop is closed. Reports are not
// acknowledged, and one that can't be sent is not repeated: the directory may be down, and the next report
// follows within a period.
func (r *Reporter) Run(stop <-chan struct{}) {
	s := sender{log: r.log}
	defer s.close()
	ticker := time.NewTicker(r.period)
	defer ticker.Stop()
	for {
		s.send(r.report())
		select {
		case <-ticker.C:
		case <-r.changed:
		case <-stop:
			return
		}
	}
}
