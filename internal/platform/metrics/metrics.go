// Package metrics shows the daemon's figures in Prometheus' text form. They are read where they are kept when they are asked for, so
// that nothing is counted twice and nothing costs anything while nobody asks; only the times of uwsgi runs are gathered here.
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

// Sources are what the figures are read from; nil where a part is off. They are called from the goroutines of those who ask.
type Sources struct {
	Core    func() (c node.Counts, hand, keys int)
	Resp    func() int // open connections
	Uwsgi   func() (c uwsgi.Counts, open int)
	Servers func() []balancer.Server
	Ledger  func() ledger.Stats
	Classes func() map[string]node.ClassCounts // the counts that the operators' telemetry shows too
	Fleet   func() fleet.Figures
	Config  func() (applied, rejected int) // configuration files taken and turned down at SIGHUP
}

// Metrics is the daemon's figures.
type Metrics struct {
	registry *prometheus.Registry
	runs     *prometheus.HistogramVec
}

// buckets are for times in seconds: from a millisecond to beyond any due time.
var buckets = prometheus.ExponentialBuckets(0.001, 2, 16)

// New returns the figures of these sources.
func New(s Sources) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), runs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "sloehitch_uwsgi_run_seconds", Help: "Of runs on uwsgi servers, by the stage that was reached and how the run ended.", Buckets: buckets}, []string{"stage", "outcome"})}
	m.registry.MustRegister(m.runs, &collector{s}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Run takes in a uwsgi run that is over. A stage that was not reached is not counted.
func (m *Metrics) Run(r uwsgi.RunTimes) {
	last, _ := r.Last()
	for _, stage := range []struct {
		name string
		at   time.Time
	}{{"connected", last.Connected}, {"first_byte", last.FirstByte}, {"done", r.Done}} {
		if !stage.at.IsZero() {
			m.runs.WithLabelValues(stage.name, r.Outcome).Observe(stage.at.Sub(r.Started).Seconds())
		}
	}
}

// Serve answers on ln until it is closed.
func (m *Metrics) Serve(ln net.Listener, l limits.Limits, log *slog.Logger) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}))
	server := &http.Server{Handler: mux, ReadTimeout: l.Agree, WriteTimeout: 2 * l.Agree, MaxHeaderBytes: l.HTTPHead}
	if err := server.Serve(ln); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// collector reads the sources.
type collector struct{ from Sources }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("sloehitch_"+name, help, labels, nil)
}

var (
	requests   = desc("requests_total", "Requests by what became of them.", "outcome")
	started    = desc("runs_total", "Runs that were started.")
	handled    = desc("requests_in_hand", "Requests that are held, run or end.")
	keys       = desc("keys", "Keys that are remembered.")
	unrecorded = desc("bookings_unrecorded_total", "Bookings refused because their start could not be recorded.")
	abroad     = desc("tries_abroad_total", "Tries of keys that another process of the node held: waited for its run, or heard what came of it.", "how")
	restored   = desc("bookings_restored", "Bookings known from an earlier process.")
	conns      = desc("connections", "Open connections.", "front")
	clients    = desc("uwsgi_requests_total", "What came to the uwsgi front.", "what")
	serverOpen = desc("uwsgi_server_open", "Requests on a server.", "server")
	serverRoom = desc("uwsgi_server_room", "Requests that a server may have at once.", "server")
	serverIs   = desc("uwsgi_server_state", "1 for the state that a server is in.", "server", "state")
	ledgerKeys = desc("ledger_keys", "Keys on the ledger.")
	ledgerMem  = desc("ledger_index_bytes", "Memory of the ledger's keys.")
	ledgerMost = desc("ledger_index_limit_bytes", "Memory that they may take.")
	ledgerDisk = desc("ledger_disk_bytes", "Bytes of the ledger's files.")
	ledgerDead = desc("ledger_garbage_bytes", "Bytes of records that no longer count.")
	ledgerOut  = desc("ledger_written_bytes_total", "Bytes written to the ledger, by whom.", "by")
	ledgerSync = desc("ledger_flushes_total", "Flushes of the ledger's log.")
	ledgerSick = desc("ledger_broken", "1 if the ledger takes no writes until a restart.")
	byClass    = desc("class_responses_total", "Final answers by class: ok (served), shed (refused), errors (failed).", "class", "result")
	classRuns  = desc("class_tries_total", "Runs handed to the runner, by class.", "class")
	fleetOut   = desc("fleet_out", "1 while this node is out of service by a permit; overdue: for longer than it was to take.", "how")
	fleetTold  = desc("fleet_reports_total", "Reports to the fleet: made, or failed.", "result")
	permitted  = desc("fleet_permits_total", "Permits: begun, late (begun too late to go out by) and replaced by this node; granted and freed by it for all.", "what")
	keptAsks   = desc("fleet_asks_waiting", "Asks without a permit, on the node that grants them.")
	keptState  = desc("fleet_permits", "Permits by how far they are, on the node that grants them.", "state")
	keptOut    = desc("fleet_counted_out", "Nodes and servers that count as out, by why, on the node that grants permits.", "why")
	rollNodes  = desc("release_nodes", "Nodes of a release, on the node that takes it through the fleet: all, and changed.", "release", "which")
	rollWave   = desc("release_wave", "The wave of a release that is at work, from 1.", "release", "state")
	rollHalted = desc("release_halted", "1 while a release is halted.", "release")
	reloads    = desc("config_reloads_total", "Configuration files at SIGHUP, taken (applied) or turned down (rejected).", "result")
)

// Describe names nothing: the servers come and go.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect reads all figures.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	const total, now = prometheus.CounterValue, prometheus.GaugeValue
	if c.from.Core != nil {
		n, hand, known := c.from.Core()
		for what, v := range map[string]int{"read": n.Read, "served": n.Served, "refused": n.Refused, "failed": n.Failed, "gone": n.Gone, "late": n.Late, "joined": n.Joined} {
			send(requests, total, float64(v), what)
		}
		send(started, total, float64(n.Ran))
		send(unrecorded, total, float64(n.Unrecorded))
		send(abroad, total, float64(n.Abroad), "waited")
		send(abroad, total, float64(n.Shared), "heard")
		send(restored, now, float64(n.Restored))
		send(handled, now, float64(hand))
		send(keys, now, float64(known))
	}
	if c.from.Classes != nil {
		for name, n := range c.from.Classes() {
			send(byClass, total, float64(n.Served), name, "ok")
			send(byClass, total, float64(n.Refused), name, "shed")
			send(byClass, total, float64(n.Failed), name, "errors")
			send(classRuns, total, float64(n.Ran), name)
		}
	}
	if c.from.Config != nil {
		applied, rejected := c.from.Config()
		send(reloads, total, float64(applied), "applied")
		send(reloads, total, float64(rejected), "rejected")
	}
	if c.from.Fleet != nil {
		c.fleet(send)
	}
	if c.from.Resp != nil {
		send(conns, now, float64(c.from.Resp()), "resp")
	}
	if c.from.Uwsgi != nil {
		n, open := c.from.Uwsgi()
		send(conns, now, float64(open), "uwsgi")
		for what, v := range map[string]int{"read": n.Read, "malformed": n.Malformed, "oversize": n.Oversize, "slow": n.Slow, "left": n.Left, "crowded": n.Crowded,
			"pings": n.Pings, "streamed": n.Streamed, "broken": n.Broken} {
			send(clients, total, float64(v), what)
		}
	}
	if c.from.Servers != nil {
		for _, s := range c.from.Servers() {
			send(serverOpen, now, float64(s.Open), s.Name)
			send(serverRoom, now, float64(s.Room), s.Name)
			send(serverIs, now, 1, s.Name, s.State.String())
		}
	}
	if c.from.Ledger != nil {
		t := c.from.Ledger()
		broken := 0.0
		if t.Broken != "" {
			broken = 1
		}
		send(ledgerKeys, now, float64(t.Keys))
		send(ledgerMem, now, float64(t.Index))
		send(ledgerMost, now, float64(t.IndexLimit))
		send(ledgerDisk, now, float64(t.Disk))
		send(ledgerDead, now, float64(t.Garbage))
		send(ledgerOut, total, float64(t.Written), "writers")
		send(ledgerOut, total, float64(t.Packed), "compactions")
		send(ledgerSync, total, float64(t.Flushes))
		send(ledgerSick, now, broken)
	}
}

// fleet sends the figures of this node's part in the fleet.
func (c *collector) fleet(send func(d *prometheus.Desc, kind prometheus.ValueType, v float64, labels ...string)) {
	const total, now = prometheus.CounterValue, prometheus.GaugeValue
	x := c.from.Fleet()
	flag := func(is bool) float64 {
		if is {
			return 1
		}
		return 0
	}
	send(fleetOut, now, flag(x.Out), "by permit")
	send(fleetOut, now, flag(x.Overdue), "overdue")
	for _, result := range []string{"made", "failed"} {
		send(fleetTold, total, float64(x.Reports[result]), result)
	}
	for _, what := range []string{"begun", "late", "replaced", "granted", "freed"} {
		send(permitted, total, float64(x.Permits[what]), what)
	}
	if x.Kept != nil {
		send(keptAsks, now, float64(x.Kept.Waiting))
		for state, n := range x.Kept.Permits {
			send(keptState, now, float64(n), string(state))
		}
		for why, n := range x.Kept.Out {
			send(keptOut, now, float64(n), string(why))
		}
	}
	for _, r := range x.Releases {
		send(rollNodes, now, float64(r.Nodes), r.Name, "all")
		send(rollNodes, now, float64(r.Changed), r.Name, "changed")
		send(rollWave, now, float64(r.Wave), r.Name, string(r.State))
		send(rollHalted, now, flag(r.Halted), r.Name)
	}
}
