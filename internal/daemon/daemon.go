package daemon

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/backend/catalogue"
	"sloehitch/internal/backend/directory"
	"sloehitch/internal/backend/runtime"
	"sloehitch/internal/control/fleet"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/frontend/resp"
	"sloehitch/internal/frontend/uwsgi"
	"sloehitch/internal/frontend/uwsgi/balancer"
	"sloehitch/internal/handover"
	"sloehitch/internal/idempotency/compositejournal"
	"sloehitch/internal/idempotency/keystore"
	"sloehitch/internal/idempotency/runlog"
	"sloehitch/internal/ledger"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/platform/latency"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/metrics"
	"sloehitch/internal/platform/tlskeys"
	"sloehitch/internal/platform/traces"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/faulthooks"
	"sloehitch/logic"
)

// Daemon is the running parts.
type Daemon struct {
	platform *config.Platform              // of the goroutine that runs or reloads
	deploy   atomic.Pointer[config.Deploy] // our own settings, as last read
	name     string
	version  string
	limits   limits.Limits
	means    handover.Means // what this process takes of the node's; of the goroutine that runs
	log      *slog.Logger
	trial    *faulthooks.Trial // nil but in a rig

	gate      *admission.Gate
	node      *node.Node
	front     *resp.Front
	uwsgi     *uwsgi.Front // nil where it is off
	listeners listeners
	pulse     *directory.Pulse
	store     *store.Store
	fleet     *fleet.Fleet                    // nil where this node has no part in one
	drained   atomic.Bool                     // out of service by the fleet's permission
	took      *latency.Window                 // of served requests; nil without a fleet
	serving   sync.Mutex                      // guards listed and alone
	listed    []string                        // servers below that this node may have work for
	alone     []string                        // of them those that are permitted to be out
	replaced  chan int                        // the process is to end with this code: another takes its place
	apart     func()                          // ends this node's part in the fleet; nil where it has none
	metrics   atomic.Pointer[metrics.Metrics] // nil where they are off
	traces    *traces.Traces                  // nil where they are off
	ledger    atomic.Pointer[ledger.Store]    // nil where it is off, or the process that leaves still has it
	freed     chan *ledger.Store              // it, once that process has let go
	bookings  *runlog.Record                  // nil with it; of the goroutine that runs, once that does
	claims    *keystore.Claims                // nil but where clients come from an inherited listener
	tandem    *compositejournal.Journal       // nil but where there are both
	earlier   *ledger.Store                   // what is on record as this process starts, until restore has read it
	servers   *uwsgi.Pool                     // nil where uwsgi is off
	keys      []*tlskeys.Keys                 // of the uwsgi side
	closed    atomic.Bool                     // out of service by the operators' word
	unwanted  atomic.Bool                     // out of service by what the fleet wants of this node
	evacuated atomic.Bool                     // emptied by the operators' call evacuate, until activate
	ready     atomic.Bool                     // clients are taken
	applied   atomic.Int64                    // configuration files taken over at SIGHUP
	rejected  atomic.Int64                    // and turned down
	leaving   atomic.Bool                     // the notice to leave has come
	quiet     atomic.Bool                     // and another process of this node goes on
	failed    chan error

	link  *runtime.Link     // nil without a runtime
	below *catalogue.Client // nil in the last tier
	hup   <-chan os.Signal  // asks for the configuration to be read again, by load
	load  func() (*Config, error)
}

// standing is what callers are told of the node: the module's word, and the operators'.
type standing struct {
	*admission.Gate
	closed, evacuated, unwanted, drained *atomic.Bool
}

// Well is what health checks are to hear.
func (s standing) Well() bool {
	return !s.closed.Load() && !s.evacuated.Load() && !s.unwanted.Load() && !s.drained.Load() && s.Gate.Well()
}

// Options are what a daemon is started with.
type Options struct {
	Version string // of the program, as it reports itself
	Limits  limits.Limits
	Log     *slog.Logger
	Reload  <-chan os.Signal        // asks for the files to be read again
	Load    func() (*Config, error) // reads them
}

// Start wires the parts and sets them going.
func Start(l *Config, o Options) (*Daemon, error) {
	lim, log := o.Limits, o.Log
	p := l.Platform
	part, err := faulthooks.FromEnv()
	if err != nil {
		return nil, err
	}
	d := &Daemon{version: o.Version, hup: o.Reload, load: o.Load, platform: p, name: p.Name, limits: lim, trial: part, means: handover.Share(handover.Load{}, nil, lim.Connections), log: log, failed: make(chan error, 4), replaced: make(chan int, 1), freed: make(chan *ledger.Store),
		pulse: directory.New(p.Name, p.Lookup, lim, log)}
	d.deploy.Store(l.Deploy)
	if inherited() {
		if err := clock.Share(clockFile(os.TempDir(), p.Name)); err != nil {
			log.Warn("windows of keys are counted by this process's own clock", "error", err)
		}
	}
	system := clock.System{}
	gateOptions := admission.Options{Seed: seed(p.Seed), Clock: system, Patience: lim.Gauges, Learned: d.learned(system.Now())}
	var g *admission.Gate
	if p.Runtime != "" {
		d.link = runtime.New(runtime.Options{Address: p.Runtime, Meters: p.Names.Meters, Limits: lim, Log: log,
			Gauges: func(m admission.Gauges) { g.Tick(m) }})
		gateOptions.Ask = d.link.Ask
	}
	g, err = admission.New(p.Logic, gateOptions)
	if err != nil {
		return nil, err
	}
	d.gate = g
	options := node.Options{Settings: p.Logic, Gate: g, Clock: system, Limits: lim, Log: log}
	if p.Catalog != "" {
		d.below = catalogue.New(p.Catalog, lim, log)
		options.Caller = d.below
	}
	if options.Journal, err = d.openRecords(system); err != nil {
		return nil, err
	}
	if len(l.Deploy.Fleet.Members) > 0 {
		d.took = latency.New(clock.System{}.Now())
		options.Took = d.took.Add
	}
	d.node = node.New(options)
	if err := d.restore(); err != nil { // before the first request is taken
		return nil, err
	}
	d.front = resp.New(resp.Options{Core: d.node, Standing: standing{g, &d.closed, &d.evacuated, &d.unwanted, &d.drained}, Runner: d.link, Classes: p.Names.Classes,
		Tenants: p.Names.Tenants, Unknown: d.node.Unknown, Limits: lim, Log: log, Stamps: clock.NewStamps(lim.Ahead, oldestStamp(p.Logic, lim), part.Offset)})
	if d.link != nil { // without a runtime nothing could run what balancers send
		ln, err := d.clients(p.Listen)
		if err != nil {
			return nil, err
		}
		go d.link.Serve(d.node)
		clients := d.front.Listen(ln, inherited())
		d.listeners.add(clients)
		go func() { d.failed <- d.front.Serve(clients) }()
	}
	if err := d.startUwsgi(l); err != nil {
		return nil, err
	}
	if err := errors.Join(d.startStore(l), d.startFleet(l)); err != nil {
		return nil, err
	}
	if err := d.startMetrics(); err != nil {
		return nil, err
	}
	if err := d.startOps(); err != nil {
		return nil, err
	}
	go d.node.Serve()
	go d.pulse.Serve(nil)
	d.ready.Store(true)
	log.Info("serving", "listen", p.Listen, "uwsgi", l.Deploy.Uwsgi.Listen, "runtime", p.Runtime,
		"catalogue", p.Catalog, "version", d.version)
	return d, nil
}

// oldestStamp is how long past a request's time stamp may lie: one that is older than its deadline has been given up, so that its clock
// rather is another.
func oldestStamp(s logic.Settings, lim limits.Limits) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, time.Duration(c.Deadline)*time.Microsecond)
	}
	return min(lim.Behind, longest+lim.Ahead)
}

// startUwsgi starts the second front where the deployment file says so.
func (d *Daemon) startUwsgi(l *Config) error {
	u := l.Deploy.Uwsgi
	if u.Listen == "" {
		return nil
	}
	mode, err := u.FileMode()
	if err != nil {
		return err
	}
	at, err := endpoint.Parse(u.Listen)
	if err != nil {
		return err
	}
	front, err := d.loadKeys(u.TLS)
	if err != nil {
		return err
	}
	below, err := d.loadKeys(u.ServersTLS)
	if err != nil {
		return err
	}
	rules := balancer.Default()
	rules.Most = u.ServerMost
	d.servers = uwsgi.NewPool(uwsgi.PoolOptions{Rules: rules, Seed: seed(l.Platform.Seed), Keys: below, Name: u.ServersTLS.Name, Over: d.runOver, Limits: d.limits, Log: d.log})
	d.listed = slices.Clone(u.Servers)
	if err := d.servers.Use(u.Servers); err != nil {
		return err
	}
	d.servers.Serve(d.node)
	over, err := d.openTraces()
	if err != nil {
		return err
	}
	classes := l.Platform.Logic.Classes
	d.uwsgi = uwsgi.New(uwsgi.Options{Over: over, Core: d.node, Mapper: l.Operations, Pool: d.servers, Limits: d.limits, Log: d.log,
		Safe: func(class int) bool { return classes[class].Effect == logic.Safe }, Well: func() bool { return !d.away() },
		Modifiers: u.ModifierBytes(), Deadline: u.Deadline, HalfClose: u.HalfClose == "leaves", PerSource: u.PerSource, BodyMost: u.BodyMost()})
	return d.serveOn("uwsgi", func() (net.Listener, error) { return at.Listen(mode, front) }, d.uwsgi.Serve)
}

// openTraces opens the file for spans where the deployment file names one, and returns who takes requests that are over.
func (d *Daemon) openTraces() (func(uwsgi.RequestTimes), error) {
	c := d.deploy.Load().Traces
	if c.File == "" {
		return nil, nil
	}
	t, err := traces.Open(c.File, d.name, c.Part(), d.limits, d.log)
	if err != nil {
		return nil, err
	}
	d.traces = t
	return t.Request, nil
}

// closeTraces writes the spans that are left.
func (d *Daemon) closeTraces() error {
	if d.traces == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.limits.Write)
	defer cancel()
	return d.traces.Close(ctx)
}

// loadKeys reads one end's keys; nil where none are named.
func (d *Daemon) loadKeys(t config.TLS) (*tlskeys.Keys, error) {
	if t.Files() == (tlskeys.Files{}) {
		return nil, nil
	}
	k, err := tlskeys.Load(t.Files(), d.log)
	if err == nil {
		d.keys = append(d.keys, k)
	}
	return k, err
}

// startMetrics shows the figures where the deployment file says so.
func (d *Daemon) startMetrics() error {
	address := d.deploy.Load().Metrics.Listen
	if address == "" {
		return nil
	}
	from := metrics.Sources{Core: d.node.Totals, Resp: d.front.Open, Classes: d.node.Classes,
		Config: func() (int, int) { return int(d.applied.Load()), int(d.rejected.Load()) }}
	if d.uwsgi != nil {
		from.Uwsgi = func() (uwsgi.Counts, int) { return d.uwsgi.Totals(), d.uwsgi.Open() }
		from.Servers = d.servers.Servers
	}
	if d.deploy.Load().Ledger.Dir != "" {
		from.Ledger = d.ledgerStats
	}
	if d.fleet != nil {
		from.Fleet = d.fleet.Figures
	}
	m := metrics.New(from)
	d.metrics.Store(m)
	return d.serveOn("metrics", func() (net.Listener, error) { return net.Listen("tcp", address) },
		func(ln net.Listener) error { return m.Serve(ln, d.limits, d.log) })
}

// runOver hands a uwsgi run's times to the metrics, where they are on.
func (d *Daemon) runOver(r uwsgi.RunTimes) {
	if m := d.metrics.Load(); m != nil {
		m.Run(r)
	}
}

// startStore opens this daemon's copy of the store, follows it and lets operators at it.
func (d *Daemon) startStore(l *Config) (err error) {
	c := l.Deploy.Store
	length, err := c.Lease()
	if err != nil {
		return err
	}
	d.store, err = store.Open(store.Options{Name: d.platform.Name, Members: c.Members, Dir: c.Dir, Timeout: d.limits.Agree,
		Beat: d.limits.Beat, Log: d.log, Terms: store.Terms.Of(length), Join: c.Join,
		Clock: d.trial.Clock(lease.Now), Disk: d.trial.Disk, Tell: d.trial.Tell})
	if err != nil {
		return err
	}
	d.store.Watch(d.follow)
	if c.Admin == "" {
		return nil
	}
	server := &http.Server{Handler: d.store.Handler(), ReadTimeout: d.limits.Agree, WriteTimeout: 2 * d.limits.Agree}
	return d.serveOn("admin", func() (net.Listener, error) { return net.Listen("tcp", c.Admin) }, func(ln net.Listener) error {
		if err := server.Serve(ln); !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
}

// away says whether this node is out of service: by the operators' state, by what the fleet wants of it, or by a permit.
func (d *Daemon) away() bool { return d.closed.Load() || d.unwanted.Load() || d.drained.Load() }

// outOfService has the directory told whether this node takes callers.
func (d *Daemon) outOfService() {
	d.pulse.Close(d.away() || d.leaving.Load() && !d.quiet.Load())
}

// follow does what a change of the store means here.
func (d *Daemon) follow(key, value string) {
	switch key {
	case store.Closed:
		closed := slices.Contains(store.Items(value), d.name)
		d.closed.Store(closed)
		d.outOfService()
	case store.UwsgiServers:
		d.useServers(value)
	}
}

// useServers has the pool send to the servers that the operators' state names, else to those of the settings, but for those that the fleet
// permits to be out.
func (d *Daemon) useServers(named string) {
	if d.servers == nil {
		return
	}
	d.serving.Lock()
	defer d.serving.Unlock()
	addresses := store.Items(named)
	if len(addresses) == 0 {
		addresses = d.deploy.Load().Uwsgi.Servers
	}
	d.listed = slices.Clone(addresses)
	addresses = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(d.alone, a) })
	if err := d.servers.Use(addresses); err != nil {
		d.log.Error("the uwsgi servers stay as they were", "error", err)
	}
}

// Run serves until the notice to leave has been carried out.
func (d *Daemon) Run(notice <-chan time.Time) error {
	sweep := time.NewTicker(d.limits.Sweep)
	defer sweep.Stop()
	share := time.NewTicker(d.limits.Share)
	defer share.Stop()
	keys := time.NewTicker(d.limits.KeyWatch)
	defer keys.Stop()
	totals := time.NewTicker(d.limits.Totals)
	defer totals.Stop()
	defer d.logTotals()
	for {
		select {
		case err := <-d.failed:
			return errors.Join(err, d.closeRecords(), d.closeTraces())
		case <-sweep.C:
			d.node.Sweep()
			d.front.Sweep()
			d.sweepRecords()
			d.leaveLearned(false)
		case <-share.C:
			d.share()
		case s := <-d.freed:
			d.attach(s)
		case <-keys.C:
			for _, k := range d.keys {
				k.Check()
			}
		case <-totals.C:
			d.logTotals()
		case <-d.hup:
			d.reload()
		case code := <-d.replaced:
			d.apart()
			d.leave(clock.System{}.Now())
			return errors.Join(d.store.Close(), d.closeRecords(), d.closeTraces(), ExitCode(code))
		case at := <-notice:
			if d.apart != nil {
				d.apart()
			}
			d.leave(at)
			return errors.Join(d.store.Close(), d.closeRecords(), d.closeTraces())
		}
	}
}

func (d *Daemon) logTotals() {
	counts, hand, keys := d.node.Totals()
	args := []any{"core", counts, "in_hand", hand, "keys", keys, "connections", d.open()}
	if d.uwsgi != nil {
		args = append(args, "uwsgi", d.uwsgi.Totals())
	}
	if d.claims != nil {
		args = append(args, "claims", d.claims.Stats())
	}
	if d.ledger.Load() != nil {
		t := d.ledgerStats()
		args = append(args, "ledger_keys", t.Keys, "ledger_bytes", t.Disk, "ledger_flushes", t.Flushes, "ledger_broken", t.Broken)
	}
	d.log.Info("totals", args...)
}

func (d *Daemon) open() int {
	if d.uwsgi == nil {
		return d.front.Open()
	}
	return d.front.Open() + d.uwsgi.Open()
}

// seed turns the platform's seed into a number.
func seed(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
