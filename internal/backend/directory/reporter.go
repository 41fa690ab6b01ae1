// Package directory reports this node's state to the directory, the list of endpoints from which balancers learn of
// nodes.
package directory

import (
	"log/slog"
	"sync"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/lograte"
)

// Reporter periodically sends a node's name and state. It is safe for concurrent use; Run must be called once.
type Reporter struct {
	name    string
	period  time.Duration
	log     *lograte.Logger
	changed chan struct{} // signals that the state or the address has changed, to report at once

	mu      sync.Mutex
	address string
	closed  bool
}

// New returns a reporter for the node of the given name to the directory at address. With an empty address it sends
// nothing until SetAddress is called.
func New(name, address string, l limits.Limits, log *slog.Logger) *Reporter {
	return &Reporter{name: name, address: address, period: l.ReportInterval, log: lograte.New(log, l.LogInterval),
		changed: make(chan struct{}, 1)}
}

// SetClosed sets whether the node is reported as closed or as open. It does not block.
func (r *Reporter) SetClosed(closed bool) { r.update(func() { r.closed = closed }) }

// SetAddress sets the address to which reports are sent. It does not block.
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

// report returns the next report and the address to send it to.
func (r *Reporter) report() (address string, datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address, encodeReport(r.name, r.closed)
}

// Run sends a report at once, every period and at each change, until stop is closed. Reports are not acknowledged,
// and a report that can't be sent is not repeated: the directory may be down, and the next report follows within a
// period.
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
