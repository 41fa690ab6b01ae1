package daemon

import (
	"errors"
	"fmt"
	"os"
	"time"

	"sloehitch/internal/idempotency/compositejournal"
	"sloehitch/internal/idempotency/keystore"
	"sloehitch/internal/idempotency/runlog"
	"sloehitch/internal/ledger"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/node"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/limits"
)

// openRecords opens what the configuration names to keep keyed requests in, and returns it as the core's journal: the
// ledger, claims shared with the process that comes next (where the platform holds the clients' listener), both, or nil.
func (d *Daemon) openRecords(system clock.System) (node.Journal, error) {
	if inherited() {
		if err := d.openClaims(system); err != nil {
			return nil, err
		}
	}
	if d.deploy.Load().Ledger.Dir == "" {
		if d.claims == nil {
			return nil, nil
		}
		return d.claims, nil
	}
	if d.claims != nil {
		d.tandem = compositejournal.New(d.claims, d.limits.LogEvery, d.log)
	}
	if err := d.openLedger(); err != nil {
		return nil, errors.Join(err, d.closeRecords())
	}
	if d.tandem != nil {
		return d.tandem, nil
	}
	return d.bookings, nil
}

// openClaims joins the processes that share keys.
func (d *Daemon) openClaims(system clock.System) (err error) {
	dir := KeystoreDir(os.TempDir(), d.name)
	d.claims, err = keystore.Open(keystore.Options{Dir: dir, Spare: node.Spare(d.limits), Now: system.Now,
		Limits: limits.ForClaims(d.platform.Caps.MemoryMB), Log: d.log})
	if err != nil {
		return err
	}
	d.log.Info("keys claimed in a folder shared with the process that comes next", "folder", dir)
	return nil
}

// openLedger opens the record of bookings, for restore to read. While the process that this one replaces still has it,
// it is only read, and taken over as soon as that process lets go.
func (d *Daemon) openLedger() error {
	c := d.deploy.Load().Ledger
	every, err := c.Interval()
	if err != nil {
		return err
	}
	dir, err := disk.MakeDir(c.Dir)
	if err != nil {
		return err
	}
	o := ledger.Options{Limits: limits.ForLedger(c.IndexBytes()), Flush: every, Log: d.log}
	d.earlier, err = ledger.Open(dir, o)
	switch {
	case err == nil:
		d.attach(d.earlier)
		return nil
	case d.tandem == nil || !errors.Is(err, disk.ErrLocked):
		return fmt.Errorf("ledger: %w", err)
	}
	d.log.Info("the process before still writes the ledger: starts are made durable when it lets go", "folder", c.Dir)
	read := o
	read.ReadOnly = true
	if d.earlier, err = ledger.Open(dir, read); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	go d.awaitLedger(dir, o)
	return nil
}

// awaitLedger opens the ledger once the process that has it lets go.
func (d *Daemon) awaitLedger(dir disk.FS, o ledger.Options) {
	for ; ; time.Sleep(d.limits.RetryLeast) {
		s, err := ledger.Open(dir, o)
		if errors.Is(err, disk.ErrLocked) {
			continue
		}
		if err != nil {
			d.failed <- fmt.Errorf("ledger: %w", err)
			return
		}
		d.freed <- s
		return
	}
}

// attach has bookings written to the ledger as of now.
func (d *Daemon) attach(s *ledger.Store) {
	d.bookings = runlog.New(s, node.Spare(d.limits), d.limits.LogEvery, d.log)
	d.ledger.Store(s)
	late := 0
	if d.tandem != nil {
		late = d.tandem.Late()
		d.tandem.Attach(d.bookings)
	}
	r := s.Recovery()
	d.log.Info("ledger opened", "folder", d.deploy.Load().Ledger.Dir, "keys", r.Keys, "records", r.Records, "segments", r.Segments,
		"torn_bytes", r.Torn, "took", r.Took, "missed", late)
}

// restore tells the core what ran before a restart, one booking after another: their results together may be more than
// there is memory for.
func (d *Daemon) restore() error {
	if d.earlier == nil {
		return nil
	}
	err := runlog.New(d.earlier, node.Spare(d.limits), d.limits.LogEvery, d.log).All(func(b node.Booking) {
		if d.tandem == nil || d.tandem.Restore(b) {
			d.node.Restore(b)
		}
	})
	if err != nil {
		err = fmt.Errorf("ledger: %w", errors.Join(err, d.closeRecords()))
	}
	if d.earlier != d.ledger.Load() {
		err = errors.Join(err, d.earlier.Close()) // it was only to be read
	}
	d.earlier = nil
	return err
}

// sweepRecords writes once more what could not be written, and drops what has expired.
func (d *Daemon) sweepRecords() {
	if d.bookings != nil {
		d.bookings.Retry()
	}
	if d.tandem != nil {
		d.tandem.Retry()
	}
	if d.claims != nil {
		d.claims.Sweep()
	}
}

// ledgerStats are the ledger's figures: none while another process has it.
func (d *Daemon) ledgerStats() ledger.Stats {
	if s := d.ledger.Load(); s != nil {
		return s.Stats()
	}
	return ledger.Stats{}
}

// closeRecords writes what is still on its way to the ledger, and tells other processes what is still to be told.
func (d *Daemon) closeRecords() (err error) {
	if d.claims != nil {
		err = d.claims.Close()
	}
	if s := d.ledger.Load(); s != nil {
		err = errors.Join(err, s.Close())
	}
	return err
}
