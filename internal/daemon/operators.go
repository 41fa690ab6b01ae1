package daemon

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"sloehitch/internal/operatorapi"
)

// startOperatorCalls serves operators' calls if the configuration has an address for them.
func (d *Daemon) startOperatorCalls() error {
	if d.platform.OperatorAddress == "" {
		return nil
	}
	server := operatorapi.New(operatorCalls{d}, d.limits, d.log)
	listen := func() (net.Listener, error) { return net.Listen("tcp", d.platform.OperatorAddress) }
	if err := d.serveOn("ops", listen, server.Serve); err != nil {
		return fmt.Errorf("ops: %w", err)
	}
	return nil
}

// operatorCalls implements the operators' calls.
type operatorCalls struct{ d *Daemon }

func (o operatorCalls) Ready() bool { return o.d.service.ready.Load() && !o.d.service.draining.Load() }

func (o operatorCalls) Evacuate() { o.d.service.evacuated.Store(true) }

func (o operatorCalls) Activate() { o.d.service.evacuated.Store(false) }

func (o operatorCalls) Report() operatorapi.Report {
	report := operatorapi.Report{InFlight: o.d.node.Unanswered(), ConfigApplied: int(o.d.counts.applied.Load()), ConfigRejected: int(o.d.counts.rejected.Load())}
	for name, c := range o.d.node.CountsByClass() {
		report.Classes = append(report.Classes, operatorapi.Class{Name: name, OK: c.Served, Shed: c.Rejected, Errors: c.Failed, Attempts: c.Started})
	}
	slices.SortFunc(report.Classes, func(a, b operatorapi.Class) int { return strings.Compare(a.Name, b.Name) })
	return report
}
