package daemon

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"sloehitch/internal/handover"
	"sloehitch/internal/handover/snapshotfile"
	"sloehitch/internal/idempotency/keystore"
	"sloehitch/internal/platform/clock"
	"sloehitch/internal/platform/config"
	"sloehitch/internal/platform/limits"
	"sloehitch/logic"
)

// inherited says whether the platform holds the clients' listener: then one process may replace another.
func inherited() bool { return os.Getenv("GW_ACCEPT_FD") != "" }

// KeystoreDir is the folder of claims of a node in dir, which its processes share.
func KeystoreDir(dir, name string) string { return filepath.Join(dir, "sloehitch-"+name+"-claims") }

// clockFile is where the processes of a node agree on one steady time, which stamps in the claims and in what was learned go by.
func clockFile(dir, name string) string { return filepath.Join(dir, "sloehitch-"+name+"-clock") }

// wanted is what a process with this configuration can begin with.
func wanted(p *config.Platform, lim limits.Limits, now time.Time) handover.Wanted {
	return handover.Wanted{Node: p.Name, Settings: p.Logic, Now: now, Oldest: lim.LearnedOldest, Ahead: lim.Ahead}
}

// learned is what an earlier process of this node left, or nil; one line of the log says why it was or wasn't taken.
func (d *Daemon) learned(now time.Time) *logic.Learned {
	if !inherited() {
		return nil // no process replaces another here: what lies there is of another day
	}
	path := snapshotfile.Path(os.TempDir(), d.name)
	s, err := snapshotfile.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = handover.Judge(s, wanted(d.platform, d.limits, now))
	}
	if err != nil {
		d.log.Warn("what the process before has learned is left aside", "file", path, "reason", err)
		return nil
	}
	d.log.Info("begun with what the process before has learned", "process", s.Process, "age", now.Sub(s.Made).Round(time.Millisecond),
		"limit", s.Learned.Limit, "classes", len(s.Learned.Classes))
	learned := handover.Temper(s.Learned, d.platform.Logic)
	return &learned
}

// leaveLearned writes what this process has learned for the next one, where there may be one.
func (d *Daemon) leaveLearned(leaving bool) {
	if !inherited() {
		return
	}
	l, ok := d.gate.Learned()
	if !ok || !handover.Worth(l) {
		return
	}
	s := handover.Snapshot{Node: d.name, Process: os.Getpid(), Made: clock.System{}.Now(), Leaving: leaving,
		Settings: handover.Settings(d.platform.Logic), Learned: l}
	if err := snapshotfile.Write(snapshotfile.Path(os.TempDir(), d.name), s); err != nil {
		d.log.Warn("what was learned is not left for the next process", "error", err)
	}
}

// share takes this process's part of the node's means while others of the node live, as handover.Share says.
func (d *Daemon) share() {
	if d.claims == nil {
		return
	}
	var own handover.Load
	own.Running, own.Held = d.node.Hand()
	own.Connections = d.front.Open()
	var others []handover.Load
	for _, note := range d.claims.Exchange(own.Bytes()) {
		load, _ := handover.ParseLoad(note) // one that has told nothing has nothing in hand
		others = append(others, load)
	}
	is, was := handover.Share(own, others, d.limits.Connections), d.means
	if is.Cores != was.Cores {
		d.gate.Share(is.Cores)
	}
	if is.Memory != was.Memory {
		debug.SetMemoryLimit(max(d.limits.MemoryLeast, int64(is.Memory*float64(d.limits.MemoryBytes))))
	}
	if is.Connections != was.Connections {
		d.front.Resize(is.Connections)
	}
	d.means = is
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
		if err := handover.Judge(s, wanted(p, limits.For(p.Caps.MemoryMB, p.Caps.Sockets), now)); err != nil {
			verdict = "would be left aside: " + err.Error()
		}
		fmt.Fprintf(w, "%s: by process %d of %s, %v ago, %s\n%s", path, s.Process, s.Node, now.Sub(s.Made).Round(time.Millisecond), verdict, handover.Table(s))
	}
	owners, err := keystore.Look(KeystoreDir(dir, p.Name), now)
	if err != nil {
		return err
	}
	for _, o := range owners {
		fmt.Fprintln(w, o)
	}
	return nil
}
