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

// listenerInherited reports whether the platform holds the clients' listener, so that one process may replace another.
func listenerInherited() bool { return os.Getenv("GW_ACCEPT_FD") != "" }

// KeystoreDir returns the folder in dir with the idempotency keys that the processes of a node share.
func KeystoreDir(dir, name string) string { return filepath.Join(dir, "sloehitch-"+name+"-claims") }

// clockFile returns the path of the file by which the processes of a node share one steady clock, on which the time stamps of shared keys and of
// snapshots are based.
func clockFile(dir, name string) string { return filepath.Join(dir, "sloehitch-"+name+"-clock") }

// snapshotRequirements returns what a snapshot must meet so that a process with this configuration can start from it.
func snapshotRequirements(p *config.Platform, lim limits.Limits, now time.Time) handover.Requirements {
	return handover.Requirements{Node: p.Name, Settings: p.Logic, Now: now, MaxAge: lim.MaxSnapshotAge, MaxClockSkew: lim.MaxClockAhead}
}

// loadSnapshot returns the learned state of an earlier process of this node, or nil if there is none that can be used. It logs
// whether a snapshot was used, and if not, why.
func (d *Daemon) loadSnapshot(now time.Time) *logic.LearnedState {
	if !listenerInherited() {
		return nil // processes do not replace each other, so a snapshot would be out of date
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

// saveSnapshot writes this process's learned state for the next one, if the listener is inherited.
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
		d.log.Warn("could not write the snapshot for the next process", "error", err)
	}
}

// PrintHandover writes to w the snapshot and the idempotency keys that the processes of a node left in dir for the one that
// replaces them, and whether that one would use the snapshot. platformFile names the node.
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
		fmt.Fprintf(w, "%s: unreadable: %v\n", path, err)
	default:
		verdict := "would be used"
		if err := handover.Validate(s, snapshotRequirements(p, limits.For(p.Limits.MemoryMB, p.Limits.Sockets), now)); err != nil {
			verdict = "would not be used: " + err.Error()
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
