package daemon

import (
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
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store"
)

// startFleet has this node take part in the fleet where the deployment file says so. It never delays the node: its end is asked for at shutdown, and
// nothing waits for it.
func (d *Daemon) startFleet(l *Config) error {
	c := l.Deploy.Fleet
	if len(c.Members) == 0 {
		return nil
	}
	spans, err := c.Durations()
	if err != nil {
		return err
	}
	o := fleet.Options{Name: d.name, Version: d.version, StoreMembers: c.Members, ReportInterval: spans.ReportInterval, SilentAfter: spans.SilentAfter, RequestTimeout: min(d.limits.CommitTimeout, spans.Lease/4),
		RetryDelay: spans.Lease / 10, LeaseTerms: store.DefaultLeaseTerms.WithDuration(spans.Lease), NodeState: d.fleetReport,
		Clock: d.faultHooks.Clock(lease.Now), Now: d.faultHooks.Now, OnEvent: d.faultHooks.Record, BackupDir: c.Backups, BackupsKept: c.BackupsKept, Log: d.log}
	if o.BackupDir != "" {
		o.BackupInterval = spans.BackupInterval
	}
	if o.BackupsKept == 0 {
		o.BackupsKept = 24
	}
	if c.Dir != "" {
		dir, err := disk.MakeDir(c.Dir)
		if err != nil {
			return fmt.Errorf("fleet: dir: %w", err)
		}
		if o.Ledger, err = ledger.Open(d.faultHooks.Disk(dir), ledger.Options{Limits: limits.ForLedger(1 << 20), Log: d.log}); err != nil {
			return fmt.Errorf("fleet: dir: %w", err)
		}
	}
	o.ApplyDesiredState = func(s desiredstate.State) {
		d.service.outByDesired.Store(s.OutOfService)
		d.advertise()
	}
	o.Drain, err = d.drainOptions(c, spans)
	if err != nil {
		if o.Ledger != nil {
			err = errors.Join(err, o.Ledger.Close())
		}
		return err
	}
	f, err := fleet.New(o)
	if err != nil {
		if o.Ledger != nil {
			err = errors.Join(err, o.Ledger.Close())
		}
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.leaveFleet, d.fleet = cancel, f
	go func() {
		f.Serve(ctx)
		if o.Ledger != nil {
			_ = o.Ledger.Close() // each write was flushed before it was acknowledged
		}
	}()
	return nil
}

// fleetReport is what the node reports of itself. Its keys are part of the stored document.
func (d *Daemon) fleetReport() map[string]any {
	running, held := d.node.InFlight()
	told := map[string]any{"state": d.service.reported(), "well": d.admission.Healthy(), "running": running, "held": held}
	var served, refused, failed int
	for _, c := range d.node.CountsByClass() {
		served, refused, failed = served+c.Served, refused+c.Rejected, failed+c.Failed
	}
	if p99 := d.latency.Quantile(0.99, clock.System{}.Now()); p99 > 0 {
		told["p99_ms"] = float64(p99) / float64(time.Millisecond)
	}
	told["served"], told["refused"], told["errors"] = served, refused, failed
	return told
}
