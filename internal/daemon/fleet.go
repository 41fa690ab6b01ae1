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

// startFleet has this node take part in the fleet, where our settings say so. It never holds up the node: its end is asked
// for at the notice to leave, and waited for by nobody.
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
		Pause: spans.Lease / 10, Terms: store.Terms.Of(spans.Lease), State: d.ofFleet,
		Clock: d.trial.Clock(lease.Now), Now: d.trial.Now, Tell: d.trial.Tell, Dir: c.Backups, Keep: c.Keep, Log: d.log}
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
		if o.Memory, err = ledger.Open(d.trial.Disk(dir), ledger.Options{Limits: limits.ForLedger(1 << 20), Log: d.log}); err != nil {
			return fmt.Errorf("fleet: dir: %w", err)
		}
	}
	o.Apply = func(s desiredstate.State) {
		d.unwanted.Store(s.Out)
		d.outOfService()
	}
	o.Outs, err = d.outs(c, spans)
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
	d.apart, d.fleet = cancel, f
	go func() {
		f.Serve(ctx)
		if o.Memory != nil {
			_ = o.Memory.Close() // each write was flushed before it was acknowledged
		}
	}()
	return nil
}

// ofFleet is what the node tells of itself.
func (d *Daemon) ofFleet() map[string]any {
	state := "ready"
	switch {
	case d.leaving.Load():
		state = "leaving"
	case d.evacuated.Load() || d.away():
		state = "out of service"
	case !d.ready.Load():
		state = "starting"
	}
	running, held := d.node.Hand()
	told := map[string]any{"state": state, "well": d.gate.Well(), "running": running, "held": held}
	var served, refused, failed int
	for _, c := range d.node.Classes() {
		served, refused, failed = served+c.Served, refused+c.Refused, failed+c.Failed
	}
	if p99 := d.took.Quantile(0.99, clock.System{}.Now()); p99 > 0 {
		told["p99_ms"] = float64(p99) / float64(time.Millisecond)
	}
	told["served"], told["refused"], told["errors"] = served, refused, failed
	return told
}
