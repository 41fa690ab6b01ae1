package daemon

import (
	"errors"
	"hash/fnv"
	"os"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/backend/catalogue"
	"sloehitch/internal/backend/directory"
	"sloehitch/internal/backend/runtime"
	"sloehitch/internal/frontend/resp"
	"sloehitch/internal/handover"
	"sloehitch/internal/ledger"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/latency"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/faulthooks"
	"sloehitch/logic"
)

// maxQueuedFailures is the capacity of Daemon.failed: how many components may report a failure without blocking until Run receives it.
const maxQueuedFailures = 4

// Start opens and starts the components that the configuration requires. The returned daemon already serves; the caller must call Run on it.
func Start(c *Config, o Options) (*Daemon, error) {
	faultHooks, err := faulthooks.FromEnv()
	if err != nil {
		return nil, err
	}
	d := newDaemon(c, o, faultHooks)
	if err := d.startCore(); err != nil {
		return nil, err
	}
	if err := d.openStore(c); err != nil {
		return nil, err
	}
	if err := d.startResp(); err != nil {
		return nil, err
	}
	if err := d.startUwsgi(c); err != nil {
		return nil, err
	}
	if err := errors.Join(d.startStore(c.Deploy.Store), d.startFleet(c)); err != nil {
		return nil, err
	}
	if err := d.startMetrics(); err != nil {
		return nil, err
	}
	if err := d.startOperatorCalls(); err != nil {
		return nil, err
	}
	go d.node.Run()
	go d.directory.Run(nil)
	d.service.ready.Store(true)
	d.log.Info("serving", "listen", c.Platform.Listen, "uwsgi", c.Deploy.Uwsgi.Listen, "runtime", c.Platform.Runtime,
		"catalogue", c.Platform.Catalogue, "version", d.version)
	return d, nil
}

func newDaemon(c *Config, o Options, faultHooks *faulthooks.Hooks) *Daemon {
	d := &Daemon{
		name:       c.Platform.Name,
		version:    o.Version,
		limits:     o.Limits,
		log:        o.Log,
		faultHooks: faultHooks,
		platform:   c.Platform,
		started:    startConfig{*c.Platform, c.Deploy},
		reloads:    o.Reload,
		load:       o.Load,
		directory:  directory.New(c.Platform.Name, c.Platform.Directory, o.Limits, o.Log),
		quota:      handover.ComputeQuota(handover.Load{}, nil, o.Limits.MaxConnections),
		failed:     make(chan error, maxQueuedFailures),
		replaced:   make(chan int, 1),
	}
	d.journals.released = make(chan *ledger.Store, 1)
	d.deploy.Store(c.Deploy)
	return d
}

// startCore opens admission, the links that it needs, the journals and the core, and restores the runs from before a restart.
func (d *Daemon) startCore() error {
	if listenerInherited() {
		if err := clock.ShareReference(clockFile(os.TempDir(), d.name)); err != nil {
			d.log.Warn("could not share a clock with the node's other processes; idempotency windows use this process's own clock", "error", err)
		}
	}
	system := clock.System{}
	if err := d.openAdmission(system); err != nil {
		return err
	}
	options := node.Options{Settings: d.platform.Logic, Admission: d.admission, Clock: system, Limits: d.limits, Log: d.log}
	if d.platform.Catalogue != "" {
		d.catalogue = catalogue.New(d.platform.Catalogue, d.limits, d.log)
		options.Dependency = d.catalogue
	}
	var err error
	if options.Journal, err = d.openJournals(system); err != nil {
		return err
	}
	if len(d.deploy.Load().Fleet.Members) > 0 {
		d.latency = latency.New(system.Now())
		options.ObserveLatency = d.latency.Add
	}
	d.node = node.New(options)
	return d.restoreRuns() // before the first request is accepted
}

// openAdmission creates the admission controller, with the learned state of an earlier process and the link to the runtime as its
// source of gauges.
func (d *Daemon) openAdmission(system clock.System) error {
	options := admission.Options{Seed: seedNumber(d.platform.Seed), Clock: system, GaugesTimeout: d.limits.GaugesTimeout, LearnedState: d.loadSnapshot(system.Now())}
	if d.platform.Runtime != "" {
		d.runtime = runtime.New(runtime.Options{Address: d.platform.Runtime, GaugeNames: d.platform.Names.GaugeNames, Limits: d.limits, Log: d.log,
			OnGauges: func(g admission.Gauges) { d.admission.ReportGauges(g) }})
		options.RequestGauges = d.runtime.RequestGauges
	}
	var err error
	d.admission, err = admission.New(d.platform.Logic, options)
	return err
}

// startResp starts the platform's front. Without a runtime nothing could run the balancers' requests, so the front accepts no clients.
func (d *Daemon) startResp() error {
	d.stamps = clock.NewTimestamps(d.limits.MaxClockAhead, maxStampAge(d.platform.Logic, d.limits), d.faultHooks.Offset)
	d.resp = resp.New(resp.Options{Core: d.node, Status: nodeStatus{d.admission, &d.service}, Runner: d.runtime, Classes: d.platform.Names.Classes,
		Tenants: d.platform.Names.Tenants, OnUnknownClass: d.node.CountUnknownClass, Limits: d.limits, Log: d.log,
		Timestamps: d.stamps})
	if d.runtime == nil {
		return nil
	}
	ln, err := d.clientListener(d.platform.Listen)
	if err != nil {
		return err
	}
	go d.runtime.Serve(d.node)
	clients := d.resp.Listen(ln, listenerInherited())
	d.listeners.add(clients)
	go func() { d.failed <- d.resp.Serve(clients) }()
	return nil
}

// maxStampAge returns how far in the past a request's time stamp may lie. Callers give up requests at their deadline, so an older
// stamp comes from a clock that is wrong.
func maxStampAge(s logic.Settings, l limits.Limits) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, time.Duration(c.ClientTimeout)*time.Microsecond)
	}
	return min(l.MaxClockBehind, longest+l.MaxClockAhead)
}

// seedNumber hashes the platform's seed, a text, to a number.
func seedNumber(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash never returns an error
	return h.Sum64()
}
