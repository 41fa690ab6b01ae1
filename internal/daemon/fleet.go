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
	spans, err := c.Spans()
	if err != nil {
		return err
	}
	o := fleet.Options{Name: d.name, Version: d.version, Members: c.Members, Every: spans.Report, Silent: spans.Silent, Timeout: min(d.limits.Agree, spans.Lease/4),
		Pause: spans.Lease / 10, Terms: store.Terms.Of(spans.Lease), State: d.fleetReport,
		Clock: d.faultHooks.Clock(lease.Now), Now: d.faultHooks.Now, Tell: d.faultHooks.Tell, Dir: c.Backups, Keep: c.Keep, Log: d.log}
	if o.Dir != "" {
		o.Each = spans.Each
	}
	if o.Keep == 0 {
		o.Keep = 24
	}
	if c.Dir != "" {
		dir, err := disk.MakeDir(c.Dir)
		if err != nil {
			return fmt.Errorf("fleet: dir: %w", err)
		}
		if o.Memory, err = ledger.Open(d.faultHooks.Disk(dir), ledger.Options{Limits: limits.ForLedger(1 << 20), Log: d.log}); err != nil {
			return fmt.Errorf("fleet: dir: %w", err)
		}
	}
	o.Apply = func(s desiredstate.State) {
		d.service.outByDesired.Store(s.Out)
		d.advertise()
	}
	o.Outs, err = d.drainOptions(c, spans)
	if err != nil {
		if o.Memory != nil {
			err = errors.Join(err, o.Memory.Close())
		}
		return err
	}
	f, err := fleet.New(o)
	if err != nil {
		if o.Memory != nil {
			err = errors.Join(err, o.Memory.Close())
		}
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.leaveFleet, d.fleet = cancel, f
	go func() {
		f.Serve(ctx)
		if o.Memory != nil {
			_ = o.Memory.Close() // each write was flushed before it was acknowledged
		}
	}()
	return nil
}

// fleetReport is what the node reports of itself. Its keys are part of the stored document.
func (d *Daemon) fleetReport() map[string]any {
	running, held := d.node.Hand()
	told := map[string]any{"state": d.service.reported(), "well": d.admission.Well(), "running": running, "held": held}
	var served, refused, failed int
	for _, c := range d.node.Classes() {
		served, refused, failed = served+c.Served, refused+c.Refused, failed+c.Failed
	}
	if p99 := d.latency.Quantile(0.99, clock.System{}.Now()); p99 > 0 {
		told["p99_ms"] = float64(p99) / float64(time.Millisecond)
	}
	told["served"], told["refused"], told["errors"] = served, refused, failed
	return told
}
