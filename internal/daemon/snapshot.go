package daemon

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"sloehitch/internal/handover"
	"sloehitch/internal/handover/snapshotfile"
	"sloehitch/internal/idempotency/keystore"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/logic"
)

// listenerInherited reports whether the platform holds the clients' listener: then one process may replace another.
func listenerInherited() bool { return os.Getenv("GW_ACCEPT_FD") != "" }

// KeystoreDir is the folder in dir of the idempotency keys that the processes of a node share.
func KeystoreDir(dir, name string) string { return filepath.Join(dir, "sloehitch-"+name+"-claims") }

// clockFile is where the processes of a node agree on one steady clock, which the time stamps of shared keys and of snapshots go by.
func clockFile(dir, name string) string { return filepath.Join(dir, "sloehitch-"+name+"-clock") }

// snapshotRequirements are what a snapshot has to meet so that a process with this configuration can start from it.
func snapshotRequirements(p *config.Platform, lim limits.Limits, now time.Time) handover.Requirements {
	return handover.Requirements{Node: p.Name, Settings: p.Logic, Now: now, MaxAge: lim.MaxSnapshotAge, MaxClockSkew: lim.MaxClockAhead}
}

// loadSnapshot is what an earlier process of this node learned, or nil; one log line says why it was or was not used.
func (d *Daemon) loadSnapshot(now time.Time) *logic.LearnedState {
	if !listenerInherited() {
		return nil // no process replaces another here: a snapshot would be out of date
	}
	path := snapshotfile.Path(os.TempDir(), d.name)
	s, err := snapshotfile.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = handover.Validate(s, snapshotRequirements(d.platform, d.limits, now))
	}
	if err != nil {
		d.log.Warn("snapshot of the earlier process not used", "file", path, "reason", err)
		return nil
	}
	d.log.Info("started from the snapshot of the earlier process", "process", s.Process, "age", now.Sub(s.CreatedAt).Round(time.Millisecond),
		"limit", s.LearnedState.RunLimit, "classes", len(s.LearnedState.Classes))
	learned := handover.Discount(s.LearnedState, d.platform.Logic)
	return &learned
}

// saveSnapshot writes what this process has learned for the next one, where there may be one.
func (d *Daemon) saveSnapshot(leaving bool) {
	if !listenerInherited() {
		return
	}
	l, ok := d.admission.LearnedState()
	if !ok || !handover.HasSamples(l) {
		return
	}
	s := handover.Snapshot{Node: d.name, Process: os.Getpid(), CreatedAt: clock.System{}.Now(), AtShutdown: leaving,
		SettingsHash: handover.HashSettings(d.platform.Logic), LearnedState: l}
	if err := snapshotfile.Write(snapshotfile.Path(os.TempDir(), d.name), s); err != nil {
		d.log.Warn("snapshot for the next process not written", "error", err)
	}
}

// PrintHandover writes what the processes of a node left for the one that replaces them in dir, as platformFile names the node, and whether that
// one would take it.
func PrintHandover(w io.Writer, platformFile, dir string) error {
	p, err := config.Load(platformFile)
	if err != nil {
		return err
	}
	now := clock.System{}.Now()
	path := snapshotfile.Path(dir, p.Name)
	s, err := snapshotfile.Read(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		fmt.Fprintf(w, "%s: none\n", path)
	case err != nil:
		fmt.Fprintf(w, "%s: left aside: %v\n", path, err)
	default:
		verdict := "would be taken"
		if err := handover.Validate(s, snapshotRequirements(p, limits.For(p.Limits.MemoryMB, p.Limits.Sockets), now)); err != nil {
			verdict = "would be left aside: " + err.Error()
		}
		fmt.Fprintf(w, "%s: by process %d of %s, %v ago, %s\n%s", path, s.Process, s.Node, now.Sub(s.CreatedAt).Round(time.Millisecond), verdict, handover.FormatSnapshot(s))
	}
	owners, err := keystore.Inspect(KeystoreDir(dir, p.Name), now)
	if err != nil {
		return err
	}
	for _, o := range owners {
		fmt.Fprintln(w, o)
	}
	return nil
}
