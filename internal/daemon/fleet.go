package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/control/fleet"
	"sloehitch/internal/control/lease"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store"
)

// defaultBackupsKept is how many backups of the store are kept by default.
const defaultBackupsKept = 24

// fleetLedgerBytes is the memory for the keys of the ledger that stores fencing tokens and the applied state.
const fleetLedgerBytes = 1 << 20

// startFleet starts this node's part in the fleet if the deployment file configures one. It never delays the node: it runs in the
// background, and a shutdown tells it to stop without waiting for it.
func (d *Daemon) startFleet(c *Config) error {
	settings := c.Deploy.Fleet
	if len(settings.Members) == 0 {
		return nil
	}
	options, err := d.fleetOptions(settings)
	if err != nil {
		return err
	}
	if options.Ledger, err = d.openFleetLedger(settings.Dir); err != nil {
		return err
	}
	participant, err := fleet.New(options)
	if err != nil {
		return errors.Join(err, closeLedger(options.Ledger))
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.leaveFleet, d.fleet = cancel, participant
	go func() {
		participant.Serve(ctx)
		_ = closeLedger(options.Ledger) // no write is lost: each was flushed before it was acknowledged
	}()
	return nil
}

// fleetOptions returns the options of this node's part in the fleet, except its ledger.
func (d *Daemon) fleetOptions(settings config.Fleet) (fleet.Options, error) {
	durations, err := settings.Durations()
	if err != nil {
		return fleet.Options{}, err
	}
	o := fleet.Options{
		Name:           d.name,
		Version:        d.version,
		StoreMembers:   settings.Members,
		ReportInterval: durations.ReportInterval,
		SilentAfter:    durations.SilentAfter,
		RequestTimeout: min(d.limits.CommitTimeout, durations.Lease/4),
		RetryDelay:     durations.Lease / 10,
		LeaseTerms:     store.DefaultLeaseTerms.WithDuration(durations.Lease),
		NodeState:      d.fleetReport,
		Clock:          d.faultHooks.Clock(lease.Now),
		Now:            d.faultHooks.Now,
		OnEvent:        d.faultHooks.Record,
		BackupDir:      settings.Backups,
		BackupsKept:    cmp.Or(settings.BackupsKept, defaultBackupsKept),
		Log:            d.log,
	}
	if o.BackupDir != "" {
		o.BackupInterval = durations.BackupInterval
	}
	o.ApplyDesiredState = func(s desiredstate.State) {
		d.service.outByDesired.Store(s.OutOfService)
		d.advertise()
	}
	o.Drain, err = d.drainOptions(settings, durations)
	return o, err
}

// openFleetLedger opens the ledger in dir. It returns nil if dir is empty.
func (d *Daemon) openFleetLedger(dir string) (*ledger.Store, error) {
	if dir == "" {
		return nil, nil
	}
	folder, err := disk.MakeDir(dir)
	if err != nil {
		return nil, fmt.Errorf("fleet: dir: %w", err)
	}
	opened, err := ledger.Open(d.faultHooks.Disk(folder), ledger.Options{Limits: limits.ForLedger(fleetLedgerBytes), Log: d.log})
	if err != nil {
		return nil, fmt.Errorf("fleet: dir: %w", err)
	}
	return opened, nil
}

// closeLedger closes a ledger that may be nil.
func closeLedger(l *ledger.Store) error {
	if l == nil {
		return nil
	}
	return l.Close()
}

// fleetReport returns this node's report to the fleet. Its keys are part of the stored document.
func (d *Daemon) fleetReport() map[string]any {
	running, queued := d.node.InFlight()
	report := map[string]any{"state": d.service.reported(), "well": d.admission.Healthy(), "running": running, "held": queued}
	var served, rejected, failed int
	for _, c := range d.node.CountsByClass() {
		served, rejected, failed = served+c.Served, rejected+c.Rejected, failed+c.Failed
	}
	if p99 := d.latency.Quantile(0.99, clock.System{}.Now()); p99 > 0 {
		report["p99_ms"] = float64(p99) / float64(time.Millisecond)
	}
	report["served"], report["refused"], report["errors"] = served, rejected, failed
	return report
}
