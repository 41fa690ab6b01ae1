package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/store"
)

// Steps of the backup task.
const (
	backupStepWrite = "write"
	backupStepPrune = "prune"
)

// backup runs a step of the backup task: it writes a backup or removes old ones.
func (p *Participant) backup(_ context.Context, a leasedtask.Action) error {
	if a.Step == backupStepPrune {
		return p.pruneBackups()
	}
	return p.writeBackup(a)
}

// writeBackup writes a backup under a temporary name, renames it and makes the name durable. The final name contains the fencing token, so
// a node that still writes after it has lost the lease cannot overwrite the backup of another node.
func (p *Participant) writeBackup(a leasedtask.Action) error {
	dir, err := disk.MakeDir(p.options.BackupDir)
	if err != nil {
		return err
	}
	name := filepath.Join(p.options.BackupDir, fmt.Sprintf("%s-%d.json", a.Record.JobID, a.Token))
	tmp, err := os.CreateTemp(p.options.BackupDir, "unfinished-*")
	if err != nil {
		return err
	}
	err = errors.Join(p.copyStore(tmp), tmp.Sync(), tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), name)
	}
	if err != nil {
		return errors.Join(err, os.Remove(tmp.Name()))
	}
	return dir.SyncDir() // the new name is durable before older backups are removed
}

// copyStore writes all documents of the store, read from the first member that can confirm them by a majority.
func (p *Participant) copyStore(to *os.File) error {
	return p.tryMembers(func(c store.Client) error {
		if _, err := to.Seek(0, io.SeekStart); err != nil {
			return err
		}
		return errors.Join(to.Truncate(0), c.Backup(to))
	})
}

// pruneBackups removes all but the newest BackupsKept backups. Job IDs grow with time and have a fixed number
// of digits, so names sort by age.
func (p *Participant) pruneBackups() error {
	names, err := filepath.Glob(filepath.Join(p.options.BackupDir, "backup-*.json"))
	if err != nil {
		return err
	}
	slices.Sort(names)
	var errs []error
	for _, name := range names[:max(0, len(names)-p.options.BackupsKept)] {
		errs = append(errs, os.Remove(name))
	}
	return errors.Join(errs...)
}
