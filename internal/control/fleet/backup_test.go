package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"sloehitch/internal/control/leasedtask"
)

// TestPruneBackupsKeepsNewest: pruning keeps the newest backups, and files that are not backups.
func TestPruneBackupsKeepsNewest(t *testing.T) {
	dir := t.TempDir()
	p := &Participant{options: Options{BackupDir: dir, BackupsKept: 2}}
	task := PeriodicTask{Name: "backup", Interval: time.Hour, Steps: []string{"write"}}
	var names []string
	for i := range 4 {
		job, _ := task.nextJob(leasedtask.Record{}, time.Unix(int64(i)*3600*1000, 0), time.Second, false)
		names = append(names, fmt.Sprintf("%s-%d.json", job.ID, 100-i))
	}
	for _, name := range append(names, "notes.txt") {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.pruneBackups(); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var remaining []string
	for _, e := range entries {
		remaining = append(remaining, e.Name())
	}
	if want := append(slices.Clone(names[2:]), "notes.txt"); !slices.Equal(remaining, want) {
		t.Errorf("files after pruning: %v, want %v", remaining, want)
	}
}
