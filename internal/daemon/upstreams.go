package daemon

import (
	"cmp"
	"net"
	"slices"
	"sync"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/frontend/uwsgi"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/platform/tlskeys"
	"sloehitch/internal/platform/traces"
	"sloehitch/internal/store"
)

// upstreams are the uwsgi servers that this node sends requests to.
type upstreams struct {
	pool *uwsgi.Pool // nil if uwsgi is off

	mu       sync.Mutex
	listed   []string // addresses from the operators' state or the configuration
	excluded []string // addresses of servers that hold a drain permit
}

// startUwsgi starts the uwsgi front and its pool if the deployment file configures them.
func (d *Daemon) startUwsgi(c *Config) error {
	u := c.Deploy.Uwsgi
	if u.Listen == "" {
		return nil
	}
	mode, err := u.FileMode()
	if err != nil {
		return err
	}
	address, err := endpoint.Parse(u.Listen)
	if err != nil {
		return err
	}
	frontKeys, err := d.loadKeys(u.TLS)
	if err != nil {
		return err
	}
	if err := d.startPool(c); err != nil {
		return err
	}
	observe, err := d.openTraces()
	if err != nil {
		return err
	}
	d.operations = c.Operations
	d.uwsgi = uwsgi.New(uwsgi.Options{OnRequestDone: observe, Core: d.node, Mapper: d.operations, Pool: d.upstreams.pool, Limits: d.limits, Log: d.log,
		Healthy:   func() bool { return !d.service.outOfService() },
		Modifiers: u.ModifierBytes(), DeadlineVariable: u.Deadline, HalfCloseCancels: u.HalfCloseCancels(), MaxConnectionsPerHost: u.ConnectionsPerSource, MaxBodyBytes: u.MaxBodyBytes()})
	return d.serveOn("uwsgi", func() (net.Listener, error) { return address.Listen(mode, frontKeys) }, d.uwsgi.Serve)
}

// startPool opens the pool of uwsgi servers.
func (d *Daemon) startPool(c *Config) error {
	u := c.Deploy.Uwsgi
	keys, err := d.loadKeys(u.ServersTLS)
	if err != nil {
		return err
	}
	rules := balancer.DefaultConfig()
	rules.MaxConcurrency = u.MaxPerServer
	d.upstreams.pool = uwsgi.NewPool(uwsgi.PoolOptions{Balancer: rules, Seed: seedNumber(c.Platform.Seed), Keys: keys, ServerName: u.ServersTLS.Name,
		OnRunDone: d.observeRun, Limits: d.limits, Log: d.log})
	if err := d.setFirstUpstreams(u.Servers); err != nil {
		return err
	}
	d.upstreams.pool.Serve(d.node)
	return nil
}

// setFirstUpstreams sets the pool's servers to those in the operators' state or, if there are none or they are invalid, to the
// configured ones.
func (d *Daemon) setFirstUpstreams(configured []string) error {
	if named := d.store.Get(store.KeyUwsgiServers); named != "" {
		d.setUpstreams(named)
	}
	if len(d.upstreams.pool.Servers()) > 0 {
		return nil
	}
	d.upstreams.listed = slices.Clone(configured)
	return d.upstreams.pool.SetServers(configured)
}

// loadKeys loads the TLS keys of one end; nil if no files are configured.
func (d *Daemon) loadKeys(t config.TLS) (*tlskeys.Keys, error) {
	if t.Files() == (tlskeys.Files{}) {
		return nil, nil
	}
	k, err := tlskeys.Load(t.Files(), d.log)
	if err == nil {
		d.tlsKeys = append(d.tlsKeys, k)
	}
	return k, err
}

// openTraces opens the file for spans if the deployment file configures one, and returns the function that records the times of completed requests.
func (d *Daemon) openTraces() (func(uwsgi.RequestTimes), error) {
	c := d.deploy.Load().Traces
	if c.File == "" {
		return nil, nil
	}
	t, err := traces.Open(c.File, d.name, c.SampleRate(), d.limits, d.log)
	if err != nil {
		return nil, err
	}
	d.traces = t
	return t.RecordRequest, nil
}

// setUpstreams sets the pool's servers to those in named (from the operators' state) or, if it is empty, to the configured ones. Servers
// that hold a drain permit are left out.
func (d *Daemon) setUpstreams(named string) {
	u := &d.upstreams
	if u.pool == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	addresses := store.SplitList(named)
	if len(addresses) == 0 {
		addresses = d.deploy.Load().Uwsgi.Servers
	}
	u.listed = slices.Clone(addresses)
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(u.excluded, a) })
	if err := u.pool.SetServers(addresses); err != nil {
		d.log.Error("uwsgi servers unchanged: the new list is invalid", "error", err)
	}
}

// excludeUpstreams stops sending requests to servers that hold a drain permit. Servers that no longer hold one restart in slow start.
func (d *Daemon) excludeUpstreams(addresses []string) {
	u := &d.upstreams
	u.mu.Lock()
	unchanged := slices.Equal(u.excluded, addresses)
	u.excluded = addresses
	u.mu.Unlock()
	if unchanged {
		return
	}
	d.log.Info("uwsgi servers excluded while they hold drain permits", "servers", addresses)
	d.setUpstreams(d.store.Get(store.KeyUwsgiServers))
}

// upstreamStatus returns the state of each listed server as this node sees it, by address.
func (d *Daemon) upstreamStatus() map[string]fleetstate.UpstreamStatus {
	status := map[string]fleetstate.UpstreamStatus{}
	listed := map[string]string{} // listed address by its canonical form, which the pool uses
	d.upstreams.mu.Lock()
	for _, address := range d.upstreams.listed {
		status[address] = fleetstate.UpstreamStatus{}
		if e, err := endpoint.Parse(address); err == nil {
			listed[e.String()] = address
		}
	}
	d.upstreams.mu.Unlock()
	for _, s := range d.upstreams.pool.Servers() {
		status[cmp.Or(listed[s.Name], s.Name)] = fleetstate.UpstreamStatus{Routable: s.State != balancer.StateDraining, InFlight: s.InFlight,
			Healthy: s.State == balancer.StateHealthy || s.State == balancer.StateWarmingUp}
	}
	return status
}
