// Package daemon runs one node: it starts the components, serves until shutdown, reloads the configuration and shuts down gracefully.
//
// Start opens the components in order of their dependencies: admission, the journals of keyed runs, the core (package node), the
// store, the fronts, this node's part in the fleet, and the addresses for metrics and operators. A single goroutine, the
// one that calls Run, reloads, sweeps and shuts down. All other goroutines report fatal failures to Daemon.failed.
//
// There is one file per concern: config.go (files), start.go (start order), service.go (whether the node accepts callers), upstreams.go
// (uwsgi servers), journal.go, store.go, fleet.go, drain.go, metrics.go, operators.go, snapshot.go (state for the next process),
// quota.go, listeners.go, reload.go, restartneeded.go (what a reload does not apply) and shutdown.go.
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/internal/backend/catalogue"
	"sloehitch/internal/backend/directory"
	"sloehitch/internal/backend/runtime"
	"sloehitch/internal/control/fleet"
	"sloehitch/internal/frontend/resp"
	"sloehitch/internal/frontend/uwsgi"
	"sloehitch/internal/handover"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/apispec"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/latency"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/platform/metrics"
	"sloehitch/internal/platform/tlskeys"
	"sloehitch/internal/platform/traces"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/faulthooks"
)

// Options are the parameters of Start in addition to the configuration.
type Options struct {
	Version string // the program's version, as the node reports it
	Limits  limits.Limits
	Log     *slog.Logger
	Reload  <-chan os.Signal        // triggers a reload of the configuration
	Load    func() (*Config, error) // reads the configuration for a reload
}

// Daemon is a running node. Start returns one, and Run serves until it ends.
type Daemon struct {
	name       string
	version    string
	limits     limits.Limits
	log        *slog.Logger
	faultHooks *faulthooks.Hooks // nil except in a test rig

	platform *config.Platform              // owned by the goroutine of Start, then of Run
	deploy   atomic.Pointer[config.Deploy] // as last read
	started  startConfig
	reloads  <-chan os.Signal
	load     func() (*Config, error)
	counts   reloadCounts

	service    serviceState
	admission  *admission.Controller
	node       *node.Node
	runtime    *runtime.Link     // nil without a runtime
	catalogue  *catalogue.Client // nil without a catalogue
	directory  *directory.Reporter
	resp       *resp.Front
	stamps     *clock.Timestamps   // converts time stamps for resp
	uwsgi      *uwsgi.Front        // nil if the uwsgi front is off
	operations *apispec.Operations // that it serves; owned as platform is
	upstreams  upstreams
	listeners  listeners
	tlsKeys    []*tlskeys.Keys // of the uwsgi front and servers

	journals journals
	quota    handover.Quota // this process's quota of the node's resources; owned by the goroutine of Run

	store      *store.Store
	fleet      *fleet.Participant // nil without a fleet
	leaveFleet func()             // stops fleet; nil without a fleet
	latency    *latency.Window    // latencies of served requests; nil without a fleet

	metrics atomic.Pointer[metrics.Metrics] // nil if metrics are off
	traces  *traces.Traces                  // nil if traces are off

	failed   chan error // fatal errors of components
	replaced chan int   // exit code with which the process must end because another replaces it
}

// reloadCounts counts the configuration files that were read at reloads.
type reloadCounts struct {
	applied, rejected atomic.Int64
}

// Run serves until a shutdown is complete or a component fails. shutdown receives the time at which the shutdown was requested. Run
// closes what Start opened. If its error is an ExitCode, another process replaces this one.
func (d *Daemon) Run(shutdown <-chan time.Time) error {
	sweep := time.NewTicker(d.limits.SweepInterval)
	defer sweep.Stop()
	quota := time.NewTicker(d.limits.QuotaInterval)
	defer quota.Stop()
	keys := time.NewTicker(d.limits.TLSKeyPollInterval)
	defer keys.Stop()
	totals := time.NewTicker(d.limits.TotalsInterval)
	defer totals.Stop()
	defer d.logTotals()
	for {
		select {
		case err := <-d.failed:
			return errors.Join(err, d.closeJournals(), d.closeTraces())
		case <-sweep.C:
			d.sweep()
		case <-quota.C:
			d.updateQuota()
		case s := <-d.journals.released:
			d.attachLedger(s)
		case <-keys.C:
			d.reloadChangedKeys()
		case <-totals.C:
			d.logTotals()
		case <-d.reloads:
			d.reload()
		case code := <-d.replaced:
			return errors.Join(d.stop(clock.System{}.Now()), ExitCode(code))
		case receivedAt := <-shutdown:
			return d.stop(receivedAt)
		}
	}
}

// stop carries out a shutdown that was requested at receivedAt, and closes the components.
func (d *Daemon) stop(receivedAt time.Time) error {
	if d.leaveFleet != nil {
		d.leaveFleet()
	}
	d.shutDown(receivedAt)
	return errors.Join(d.store.Close(), d.closeJournals(), d.closeTraces())
}

// sweep removes expired entries from all components and saves the snapshot.
func (d *Daemon) sweep() {
	d.node.Sweep()
	d.resp.CloseIdle()
	d.sweepJournals()
	d.saveSnapshot(false)
}

// reloadChangedKeys reloads TLS keys whose files have changed.
func (d *Daemon) reloadChangedKeys() {
	for _, k := range d.tlsKeys {
		k.Check()
	}
}

func (d *Daemon) logTotals() {
	counts, inFlight, keys := d.node.Totals()
	args := []any{"core", counts, "in_flight", inFlight, "keys", keys, "connections", d.openConnections()}
	if d.uwsgi != nil {
		args = append(args, "uwsgi", d.uwsgi.Totals())
	}
	if d.journals.keys != nil {
		args = append(args, "shared_keys", d.journals.keys.Stats())
	}
	if d.journals.ledger.Load() != nil {
		t := d.ledgerStats()
		args = append(args, "ledger_keys", t.Keys, "ledger_bytes", t.DiskBytes, "ledger_flushes", t.Flushes, "ledger_broken", t.Broken)
	}
	d.log.Info("totals", args...)
}

func (d *Daemon) openConnections() int {
	if d.uwsgi == nil {
		return d.resp.OpenConnections()
	}
	return d.resp.OpenConnections() + d.uwsgi.OpenConnections()
}

// closeTraces writes the remaining spans and closes the file.
func (d *Daemon) closeTraces() error {
	if d.traces == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.limits.WriteTimeout)
	defer cancel()
	return d.traces.Close(ctx)
}
