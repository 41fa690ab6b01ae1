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

// TestPruneBackups: the newest backups stay, and so does what is no backup.
func TestPruneBackups(t *testing.T) {
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
	left, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var have []string
	for _, e := range left {
		have = append(have, e.Name())
	}
	if want := append(slices.Clone(names[2:]), "notes.txt"); !slices.Equal(have, want) {
		t.Errorf("left %v, want %v", have, want)
	}
}
