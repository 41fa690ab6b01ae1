package daemon

import (
	"net"

	"sloehitch/internal/frontend/uwsgi"
	"sloehitch/internal/platform/metrics"
)

// startMetrics serves the metrics if the deployment file configures an address for them.
func (d *Daemon) startMetrics() error {
	address := d.deploy.Load().Metrics.Listen
	if address == "" {
		return nil
	}
	m := metrics.New(d.metricSources())
	d.metrics.Store(m)
	return d.serveOn("metrics", func() (net.Listener, error) { return net.Listen("tcp", address) },
		func(ln net.Listener) error { return m.Serve(ln, d.limits, d.log) })
}

// metricSources returns the sources whose values are read at each scrape.
func (d *Daemon) metricSources() metrics.Sources {
	sources := metrics.Sources{Core: d.node.Totals, Resp: d.resp.OpenConnections, Classes: d.node.CountsByClass,
		Config: func() (int, int) { return int(d.counts.applied.Load()), int(d.counts.rejected.Load()) }}
	if d.uwsgi != nil {
		sources.Uwsgi = func() (uwsgi.Counts, int) { return d.uwsgi.Totals(), d.uwsgi.OpenConnections() }
		sources.Servers = d.upstreams.pool.Servers
	}
	if d.deploy.Load().Ledger.Dir != "" {
		sources.Ledger = d.ledgerStats
	}
	if d.fleet != nil {
		sources.Fleet = d.fleet.Stats
	}
	return sources
}

// observeRun records the times of a uwsgi run in the metrics, if they are on.
func (d *Daemon) observeRun(r uwsgi.RunTimes) {
	if m := d.metrics.Load(); m != nil {
		m.ObserveRun(r)
	}
}
