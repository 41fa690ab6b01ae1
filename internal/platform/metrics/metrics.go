// Package metrics exposes the daemon's metrics in Prometheus' text format. Values are read from their sources at each scrape, so that
// nothing is counted twice and metrics cost nothing between scrapes; only the durations of uwsgi runs are collected here.
//
// The names and labels of metrics are a public interface and must not change when identifiers in the code do.
package metrics

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sloehitch/internal/control/fleet"
	"sloehitch/internal/frontend/uwsgi"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/ledger"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
)

// Sources are the functions that return the values of metrics; nil if a part is off. They are called from the goroutines of scrapes.
type Sources struct {
	Core    func() (c node.Counts, inFlight, keys int)
	Resp    func() int // open connections
	Uwsgi   func() (c uwsgi.Counts, open int)
	Servers func() []balancer.Server
	Ledger  func() ledger.Stats
	Classes func() map[string]node.ClassCounts // by class name
	Fleet   func() fleet.Stats
	Config  func() (applied, rejected int) // configuration files read at SIGHUP
}

// Metrics is the registry of the daemon's metrics. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	runs     *prometheus.HistogramVec
}

// buckets are the upper bounds of histograms in seconds, from a millisecond to beyond any deadline.
var buckets = prometheus.ExponentialBuckets(0.001, 2, 16)

// New returns metrics that read from the given sources.
func New(s Sources) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), runs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "sloehitch_uwsgi_run_seconds", Help: "Of runs on uwsgi servers, by the stage that was reached and how the run ended.", Buckets: buckets}, []string{"stage", "outcome"})}
	m.registry.MustRegister(m.runs, &collector{s}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// ObserveRun records the durations of a uwsgi run that has ended. Stages that were not reached are not counted.
func (m *Metrics) ObserveRun(r uwsgi.RunTimes) {
	last, _ := r.LastAttempt()
	for _, stage := range []struct {
		name string
		at   time.Time
	}{{"connected", last.ConnectedAt}, {"first_byte", last.FirstByteAt}, {"done", r.DoneAt}} {
		if !stage.at.IsZero() {
			m.runs.WithLabelValues(stage.name, r.Outcome).Observe(stage.at.Sub(r.StartedAt).Seconds())
		}
	}
}

// Serve serves /metrics on ln and blocks until ln is closed.
func (m *Metrics) Serve(ln net.Listener, l limits.Limits, log *slog.Logger) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}))
	server := &http.Server{Handler: mux, ReadTimeout: l.CommitTimeout, WriteTimeout: 2 * l.CommitTimeout, MaxHeaderBytes: l.ResponseHeadBytes}
	if err := server.Serve(ln); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// collector reads the sources at each scrape.
type collector struct{ sources Sources }

// desc returns the description of a metric of the daemon.
func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("sloehitch_"+name, help, labels, nil)
}

var (
	requests            = desc("requests_total", "Requests by what became of them.", "outcome")
	runsStarted         = desc("runs_total", "Runs that were started.")
	inFlight            = desc("requests_in_hand", "Requests that are held, run or end.")
	keys                = desc("keys", "Keys that are remembered.")
	bookingsUnrecorded  = desc("bookings_unrecorded_total", "Bookings refused because their start could not be recorded.")
	attemptsElsewhere   = desc("tries_abroad_total", "Tries of keys that another process of the node held: waited for its run, or heard what came of it.", "how")
	bookingsRestored    = desc("bookings_restored", "Bookings known from an earlier process.")
	openConnections     = desc("connections", "Open connections.", "front")
	uwsgiRequests       = desc("uwsgi_requests_total", "What came to the uwsgi front.", "what")
	serverOpen          = desc("uwsgi_server_open", "Requests on a server.", "server")
	serverCapacity      = desc("uwsgi_server_room", "Requests that a server may have at once.", "server")
	serverState         = desc("uwsgi_server_state", "1 for the state that a server is in.", "server", "state")
	ledgerKeys          = desc("ledger_keys", "Keys on the ledger.")
	ledgerIndex         = desc("ledger_index_bytes", "Memory of the ledger's keys.")
	ledgerIndexLimit    = desc("ledger_index_limit_bytes", "Memory that they may take.")
	ledgerDisk          = desc("ledger_disk_bytes", "Bytes of the ledger's files.")
	ledgerGarbage       = desc("ledger_garbage_bytes", "Bytes of records that no longer count.")
	ledgerWritten       = desc("ledger_written_bytes_total", "Bytes written to the ledger, by whom.", "by")
	ledgerFlushes       = desc("ledger_flushes_total", "Flushes of the ledger's log.")
	ledgerBroken        = desc("ledger_broken", "1 if the ledger takes no writes until a restart.")
	classResponses      = desc("class_responses_total", "Final answers by class: ok (served), shed (refused), errors (failed).", "class", "result")
	classRuns           = desc("class_tries_total", "Runs handed to the runner, by class.", "class")
	fleetOut            = desc("fleet_out", "1 while this node is out of service by a permit; overdue: for longer than it was to take.", "how")
	fleetReports        = desc("fleet_reports_total", "Reports to the fleet: made, or failed.", "result")
	fleetPermits        = desc("fleet_permits_total", "Permits: begun, late (begun too late to go out by) and replaced by this node; granted and freed by it for all.", "what")
	waitingRequests     = desc("fleet_asks_waiting", "Asks without a permit, on the node that grants them.")
	permitsByState      = desc("fleet_permits", "Permits by how far they are, on the node that grants them.", "state")
	unavailableByReason = desc("fleet_counted_out", "Nodes and servers that count as out, by why, on the node that grants permits.", "why")
	releaseNodes        = desc("release_nodes", "Nodes of a release, on the node that takes it through the fleet: all, and changed.", "release", "which")
	releaseWave         = desc("release_wave", "The wave of a release that is at work, from 1.", "release", "state")
	releaseHalted       = desc("release_halted", "1 while a release is halted.", "release")
	reloads             = desc("config_reloads_total", "Configuration files at SIGHUP, taken (applied) or turned down (rejected).", "result")
)

// Describe implements prometheus.Collector. It sends no descriptions, because servers are added and removed and so the set of
// metrics is not fixed.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. It reads all sources and sends their metrics.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	s := sender(ch)
	if c.sources.Core != nil {
		c.core(s)
	}
	if c.sources.Classes != nil {
		c.classes(s)
	}
	if c.sources.Config != nil {
		applied, rejected := c.sources.Config()
		s.counter(reloads, applied, "applied")
		s.counter(reloads, rejected, "rejected")
	}
	if c.sources.Fleet != nil {
		c.fleet(s)
	}
	if c.sources.Resp != nil {
		s.gauge(openConnections, c.sources.Resp(), "resp")
	}
	if c.sources.Uwsgi != nil {
		c.uwsgi(s)
	}
	if c.sources.Servers != nil {
		c.servers(s)
	}
	if c.sources.Ledger != nil {
		c.ledger(s)
	}
}

// sender sends metrics to the channel of one scrape.
type sender chan<- prometheus.Metric

// counter sends a counter.
func (s sender) counter(d *prometheus.Desc, value int, labels ...string) {
	s <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
}

// gauge sends a gauge.
func (s sender) gauge(d *prometheus.Desc, value int, labels ...string) {
	s <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), labels...)
}

// flag sends 1 for true and 0 for false.
func (s sender) flag(d *prometheus.Desc, is bool, labels ...string) {
	value := 0
	if is {
		value = 1
	}
	s.gauge(d, value, labels...)
}

// core sends the node's metrics.
func (c *collector) core(s sender) {
	n, inFlightCount, keyCount := c.sources.Core()
	s.counter(requests, n.Read, "read")
	s.counter(requests, n.Served, "served")
	s.counter(requests, n.Rejected, "refused")
	s.counter(requests, n.Failed, "failed")
	s.counter(requests, n.Canceled, "gone")
	s.counter(requests, n.DeadlineExpired, "late")
	s.counter(requests, n.Coalesced, "joined")
	s.counter(runsStarted, n.Started)
	s.counter(bookingsUnrecorded, n.RecordFailures)
	s.counter(attemptsElsewhere, n.WaitedElsewhere, "waited")
	s.counter(attemptsElsewhere, n.ServedFromElsewhere, "heard")
	s.gauge(bookingsRestored, n.Restored)
	s.gauge(inFlight, inFlightCount)
	s.gauge(keys, keyCount)
}

// classes sends the metrics of each class.
func (c *collector) classes(s sender) {
	for name, n := range c.sources.Classes() {
		s.counter(classResponses, n.Served, name, "ok")
		s.counter(classResponses, n.Rejected, name, "shed")
		s.counter(classResponses, n.Failed, name, "errors")
		s.counter(classRuns, n.Started, name)
	}
}

// uwsgi sends the metrics of the uwsgi front.
func (c *collector) uwsgi(s sender) {
	n, open := c.sources.Uwsgi()
	s.gauge(openConnections, open, "uwsgi")
	s.counter(uwsgiRequests, n.Read, "read")
	s.counter(uwsgiRequests, n.Malformed, "malformed")
	s.counter(uwsgiRequests, n.Oversize, "oversize")
	s.counter(uwsgiRequests, n.Slow, "slow")
	s.counter(uwsgiRequests, n.Left, "left")
	s.counter(uwsgiRequests, n.Crowded, "crowded")
	s.counter(uwsgiRequests, n.Pings, "pings")
	s.counter(uwsgiRequests, n.Streamed, "streamed")
	s.counter(uwsgiRequests, n.Broken, "broken")
}

// servers sends the metrics of each uwsgi server.
func (c *collector) servers(s sender) {
	for _, server := range c.sources.Servers() {
		s.gauge(serverOpen, server.InFlight, server.Name)
		s.gauge(serverCapacity, server.Capacity, server.Name)
		s.gauge(serverState, 1, server.Name, server.State.String())
	}
}

// ledger sends the ledger's metrics.
func (c *collector) ledger(s sender) {
	stats := c.sources.Ledger()
	s.gauge(ledgerKeys, stats.Keys)
	s.gauge(ledgerIndex, int(stats.IndexBytes))
	s.gauge(ledgerIndexLimit, int(stats.IndexLimitBytes))
	s.gauge(ledgerDisk, int(stats.DiskBytes))
	s.gauge(ledgerGarbage, int(stats.GarbageBytes))
	s.counter(ledgerWritten, int(stats.WrittenBytes), "writers")
	s.counter(ledgerWritten, int(stats.CompactedBytes), "compactions")
	s.counter(ledgerFlushes, int(stats.Flushes))
	s.flag(ledgerBroken, stats.Broken != "")
}

// fleet sends the metrics of this node's part in the fleet.
func (c *collector) fleet(s sender) {
	stats := c.sources.Fleet()
	s.flag(fleetOut, stats.OutOfService, "by permit")
	s.flag(fleetOut, stats.DrainOverdue, "overdue")
	for _, result := range []string{"made", "failed"} {
		s.counter(fleetReports, int(stats.Reports[result]), result)
	}
	for _, what := range []string{"begun", "late", "replaced", "granted", "freed"} {
		s.counter(fleetPermits, int(stats.Permits[what]), what)
	}
	if stats.Grants != nil {
		s.gauge(waitingRequests, stats.Grants.Waiting)
		for state, n := range stats.Grants.Permits {
			s.gauge(permitsByState, n, string(state))
		}
		for why, n := range stats.Grants.Unavailable {
			s.gauge(unavailableByReason, n, string(why))
		}
	}
	for _, r := range stats.Releases {
		s.gauge(releaseNodes, r.Nodes, r.Name, "all")
		s.gauge(releaseNodes, r.Updated, r.Name, "changed")
		s.gauge(releaseWave, r.Wave, r.Name, string(r.State))
		s.flag(releaseHalted, r.Halted, r.Name)
	}
}
