// Package daemon runs one node: it opens the parts, serves until it is told to stop, reloads its configuration and shuts down.
//
// Start opens the parts in an order that lets each find what it needs: the decisions (admission), the journals of keyed runs, the core (node), the
// fronts, the replicated store with this node's part in the fleet, and the addresses for metrics and operators. Run is the one goroutine that
// reloads, sweeps and shuts down. Every other goroutine reports a failure that ends the process by Daemon.failed.
//
// A file for each concern: config.go (files), start.go (the order of the start), service.go (whether callers are taken), upstreams.go (uwsgi
// servers), journal.go, store.go, fleet.go, drain.go, metrics.go, operators.go, snapshot.go (what a process leaves for the next one),
// quota.go, listeners.go, reload.go and shutdown.go.
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

// Options are what a daemon is started with, beside its configuration.
type Options struct {
	Version string // of the program, as the node reports it
	Limits  limits.Limits
	Log     *slog.Logger
	Reload  <-chan os.Signal        // asks for the configuration to be read again
	Load    func() (*Config, error) // reads it
}

// Daemon is a running node. Start makes one, and Run serves until it ends.
type Daemon struct {
	name       string
	version    string
	limits     limits.Limits
	log        *slog.Logger
	faultHooks *faulthooks.Hooks // nil but in a test rig

	platform *config.Platform              // owned by the goroutine of Start, then of Run
	deploy   atomic.Pointer[config.Deploy] // as last read
	reloads  <-chan os.Signal
	load     func() (*Config, error)
	counts   reloadCounts

	service   serviceState
	admission *admission.Controller
	node      *node.Node
	runtime   *runtime.Link     // nil without a runtime
	catalogue *catalogue.Client // nil where the configuration names none
	directory *directory.Reporter
	resp      *resp.Front
	uwsgi     *uwsgi.Front // nil where it is off
	upstreams upstreams
	listeners listeners
	tlsKeys   []*tlskeys.Keys // of the uwsgi side

	journals journals
	quota    handover.Quota // of the node's resources; owned by the goroutine of Run

	store      *store.Store
	fleet      *fleet.Participant // nil where this node takes no part in one
	leaveFleet func()             // ends that part; nil with it
	latency    *latency.Window    // of served requests; nil without a fleet

	metrics atomic.Pointer[metrics.Metrics] // nil where they are off
	traces  *traces.Traces                  // nil where they are off

	failed   chan error // a part that cannot go on
	replaced chan int   // the process is to end with this code: another takes its place
}

// reloadCounts count the configuration files that were read while serving.
type reloadCounts struct {
	applied, rejected atomic.Int64
}

// Run serves until the shutdown that began at the time sent on shutdown has been carried out, or a part fails. It closes what Start opened. An
// ExitCode as its error means that the process is to be replaced by another.
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

// stop carries out a shutdown that was asked for at the given time, and closes the parts.
func (d *Daemon) stop(receivedAt time.Time) error {
	if d.leaveFleet != nil {
		d.leaveFleet()
	}
	d.shutDown(receivedAt)
	return errors.Join(d.store.Close(), d.closeJournals(), d.closeTraces())
}

// sweep drops what has expired in every part.
func (d *Daemon) sweep() {
	d.node.Sweep()
	d.resp.CloseIdle()
	d.sweepJournals()
	d.saveSnapshot(false)
}

// reloadChangedKeys reads TLS keys again whose files have changed.
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

// closeTraces writes the spans that are left.
func (d *Daemon) closeTraces() error {
	if d.traces == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.limits.WriteTimeout)
	defer cancel()
	return d.traces.Close(ctx)
}
