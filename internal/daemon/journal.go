package daemon

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
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

// journals record keyed runs, so that neither another process of this node nor this node after a restart runs them again.
type journals struct {
	keys      *keystore.Store              // shared with the node's other processes; nil unless the clients' listener is inherited
	ledger    atomic.Pointer[ledger.Store] // nil if it is off, or while the replaced process holds it
	released  chan *ledger.Store           // receives the ledger once the replaced process has released it
	runs      *runlog.Log                  // on the ledger; nil with it. Owned by the goroutine of Run once that runs
	composite *compositejournal.Journal    // nil unless both keys and a ledger are configured
	earlier   *ledger.Store                // the ledger as found at start, until restoreRuns has read it
}

// openJournals opens the configured journals and returns them as the core's journal: the ledger, the keys shared with the next process (if
// the platform holds the clients' listener), both, or nil.
func (d *Daemon) openJournals(system clock.System) (node.Journal, error) {
	if listenerInherited() {
		if err := d.openKeystore(system); err != nil {
			return nil, err
		}
	}
	if d.deploy.Load().Ledger.Dir == "" {
		if d.journals.keys == nil {
			return nil, nil
		}
		return d.journals.keys, nil
	}
	if d.journals.keys != nil {
		d.journals.composite = compositejournal.New(d.journals.keys, d.limits.LogInterval, d.log)
	}
	if err := d.openLedger(); err != nil {
		return nil, errors.Join(err, d.closeJournals())
	}
	if d.journals.composite != nil {
		return d.journals.composite, nil
	}
	return d.journals.runs, nil
}

// openKeystore opens the idempotency keys that the processes of this node share.
func (d *Daemon) openKeystore(system clock.System) (err error) {
	dir := KeystoreDir(os.TempDir(), d.name)
	d.journals.keys, err = keystore.Open(keystore.Options{Dir: dir, RetentionMargin: node.KeyRetentionMargin(d.limits), Now: system.Now,
		Limits: limits.ForKeyStore(d.platform.Limits.MemoryMB), Log: d.log})
	if err != nil {
		return err
	}
	d.log.Info("idempotency keys are shared with the next process", "folder", dir)
	return nil
}

// openLedger opens the ledger for restoreRuns to read. While the replaced process still holds it, it is opened read-only, and for
// writing as soon as that process has released it.
func (d *Daemon) openLedger() error {
	c := d.deploy.Load().Ledger
	interval, err := c.FlushInterval()
	if err != nil {
		return err
	}
	dir, err := disk.MakeDir(c.Dir)
	if err != nil {
		return err
	}
	o := ledger.Options{Limits: limits.ForLedger(c.IndexBytes()), FlushInterval: interval, Log: d.log}
	d.journals.earlier, err = ledger.Open(dir, o)
	switch {
	case err == nil:
		d.attachLedger(d.journals.earlier)
		return nil
	case d.journals.composite == nil || !errors.Is(err, disk.ErrLocked):
		return fmt.Errorf("ledger: %w", err)
	}
	d.log.Info("the replaced process still holds the ledger; starts of runs become durable once it is released", "folder", c.Dir)
	read := o
	read.ReadOnly = true
	if d.journals.earlier, err = ledger.Open(dir, read); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	go d.awaitLedger(dir, o)
	return nil
}

// awaitLedger blocks until the process that holds the ledger has released it, then opens it and sends it to released.
func (d *Daemon) awaitLedger(dir disk.FS, o ledger.Options) {
	for ; ; time.Sleep(d.limits.MinBackoff) {
		s, err := ledger.Open(dir, o)
		if errors.Is(err, disk.ErrLocked) {
			continue
		}
		if err != nil {
			d.failed <- fmt.Errorf("ledger: %w", err)
			return
		}
		d.journals.released <- s
		return
	}
}

// attachLedger starts recording keyed runs on the ledger.
func (d *Daemon) attachLedger(s *ledger.Store) {
	d.journals.runs = runlog.New(s, node.KeyRetentionMargin(d.limits), d.limits.LogInterval, d.log)
	d.journals.ledger.Store(s)
	backlog := 0
	if d.journals.composite != nil {
		backlog = d.journals.composite.Backlog()
		d.journals.composite.AttachLog(d.journals.runs)
	}
	r := s.Recovery()
	d.log.Info("ledger opened", "folder", d.deploy.Load().Ledger.Dir, "keys", r.Keys, "records", r.Records, "segments", r.Segments,
		"torn_bytes", r.TornBytes, "took", r.Duration, "backlog", backlog)
}

// restoreRuns passes the runs from before a restart to the core, one at a time because all their results together may exceed the memory.
func (d *Daemon) restoreRuns() error {
	if d.journals.earlier == nil {
		return nil
	}
	err := runlog.New(d.journals.earlier, node.KeyRetentionMargin(d.limits), d.limits.LogInterval, d.log).ForEach(func(b node.RunRecord) {
		if d.journals.composite == nil || d.journals.composite.ShouldRestore(b) {
			d.node.Restore(b)
		}
	})
	if err != nil {
		err = fmt.Errorf("ledger: %w", errors.Join(err, d.closeJournals()))
	}
	if d.journals.earlier != d.journals.ledger.Load() {
		err = errors.Join(err, d.journals.earlier.Close()) // it was opened read-only
	}
	d.journals.earlier = nil
	return err
}

// sweepJournals retries failed writes and removes expired keys.
func (d *Daemon) sweepJournals() {
	if d.journals.runs != nil {
		d.journals.runs.RetryFailed()
	}
	if d.journals.composite != nil {
		d.journals.composite.RetryBacklog()
	}
	if d.journals.keys != nil {
		d.journals.keys.Sweep()
	}
}

// ledgerStats returns the ledger's statistics; zero while another process holds it.
func (d *Daemon) ledgerStats() ledger.Stats {
	if s := d.journals.ledger.Load(); s != nil {
		return s.Stats()
	}
	return ledger.Stats{}
}

// closeJournals completes the pending writes of each journal and closes it.
func (d *Daemon) closeJournals() (err error) {
	if d.journals.keys != nil {
		err = d.journals.keys.Close()
	}
	if s := d.journals.ledger.Load(); s != nil {
		err = errors.Join(err, s.Close())
	}
	return err
}
