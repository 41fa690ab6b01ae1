package daemon

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"sloehitch/internal/operatorapi"
)

// startOps answers the operators' calls where the configuration names an address for them.
func (d *Daemon) startOps() error {
	if d.platform.Ops == "" {
		return nil
	}
	server := operatorapi.New(operator{d}, d.limits, d.log)
	listen := func() (net.Listener, error) { return net.Listen("tcp", d.platform.Ops) }
	if err := d.serveOn("ops", listen, server.Serve); err != nil {
		return fmt.Errorf("ops: %w", err)
	}
	return nil
}

// operator is what the operators' calls do to the daemon.
type operator struct{ d *Daemon }

func (o operator) Ready() bool { return o.d.ready.Load() && !o.d.leaving.Load() }

func (o operator) Evacuate() { o.d.evacuated.Store(true) }

func (o operator) Activate() { o.d.evacuated.Store(false) }

func (o operator) Figures() operatorapi.Figures {
	f := operatorapi.Figures{Active: o.d.node.Owed(), Applied: int(o.d.applied.Load()), Rejected: int(o.d.rejected.Load())}
	for name, c := range o.d.node.Classes() {
		f.Classes = append(f.Classes, operatorapi.Class{Name: name, OK: c.Served, Shed: c.Refused, Errors: c.Failed, Tries: c.Ran})
	}
	slices.SortFunc(f.Classes, func(a, b operatorapi.Class) int { return strings.Compare(a.Name, b.Name) })
	return f
}
