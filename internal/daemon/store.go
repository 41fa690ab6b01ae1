package daemon

import (
	"errors"
	"net"
	"net/http"
	"slices"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/store"
)

// openStore opens this node's copy of the store. Operators' state that is on this node's disk is in force before the first request
// is accepted; the changes of other members are applied once they arrive.
func (d *Daemon) openStore(c *Config) error {
	settings := c.Deploy.Store
	duration, err := settings.Lease()
	if err != nil {
		return err
	}
	d.store, err = store.Open(store.Options{Name: d.platform.Name, Members: settings.Members, Dir: settings.Dir, CommitTimeout: d.limits.CommitTimeout,
		ElectionTimeout: d.limits.ElectionTimeout, AwaitDir: listenerInherited(), Logger: d.log, LeaseTerms: store.DefaultLeaseTerms.WithDuration(duration), Join: settings.Join,
		CheckDocument: fleetstate.CheckDocument, Clock: d.faultHooks.Clock(lease.Now), WrapFS: d.faultHooks.Disk, OnEvent: d.faultHooks.Record})
	if err != nil {
		return err
	}
	d.logStore(settings)
	if closed := d.store.Get(store.KeyClosedNodes); closed != "" {
		d.applyStoredValue(store.KeyClosedNodes, closed)
	}
	return nil
}

// startStore watches the store for changes and serves the operators' address.
func (d *Daemon) startStore(settings config.Store) error {
	d.store.Watch(d.applyStoredValue)
	if settings.Admin == "" {
		return nil
	}
	server := &http.Server{Handler: d.store.Handler(), ReadTimeout: d.limits.CommitTimeout, WriteTimeout: 2 * d.limits.CommitTimeout}
	return d.serveOn("admin", func() (net.Listener, error) { return net.Listen("tcp", settings.Admin) }, func(ln net.Listener) error {
		if err := server.Serve(ln); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
}

// logStore logs where the store keeps acknowledged changes, and what it holds after the start. Without an address for operators or
// members nothing can change the store, and nothing is logged.
func (d *Daemon) logStore(settings config.Store) {
	if settings.Admin == "" && len(settings.Members) == 0 {
		return
	}
	_, status, _ := d.store.Documents("", false) // a local read returns no error
	d.log.Info("store opened", "durable", d.store.Durable(), "folder", d.store.Dir(), "members", len(settings.Members),
		"values", len(d.store.All()), "revision", status.Revision)
}

// applyStoredValue applies a change of the operators' state to this node.
func (d *Daemon) applyStoredValue(key, value string) {
	switch key {
	case store.KeyClosedNodes:
		d.service.closed.Store(slices.Contains(store.SplitList(value), d.name))
		d.advertise()
	case store.KeyUwsgiServers:
		d.setUpstreams(value)
	}
}
