package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/standin"
)

func TestSight(t *testing.T) {
	s := NewFailureDetector(10 * time.Second)
	at := func(sec int) lease.Instant { return lease.Instant(sec) * lease.Instant(time.Second) }
	look := func(sec int, reports ...document.Document) string {
		s.Observe(reports, at(sec))
		return fmt.Sprint(s.SilentNodes(at(sec)))
	}
	a, b := document.Document{Key: "node/a", Version: 1}, document.Document{Key: "node/b", Version: 2}
	for _, c := range []struct {
		sec     int
		reports []document.Document
		want    string
	}{
		{1000, []document.Document{a, b}, "[]"}, // whatever their age: they count from now
		{1009, []document.Document{a, b}, "[]"},
		{1010, []document.Document{a, {Key: "node/b", Version: 3}}, "[{a 10s}]"},
		{1015, []document.Document{{Key: "node/a", Version: 9}, {Key: "node/b", Version: 3}}, "[]"},
		{1021, []document.Document{{Key: "node/b", Version: 3}}, "[{b 11s}]"}, // a was taken off the list
		{1022, []document.Document{{Key: "node/a", Version: 9}}, "[]"},        // and is new again
	} {
		if got := look(c.sec, c.reports...); got != c.want {
			t.Errorf("at %d s: silent %s, want %s", c.sec, got, c.want)
		}
	}
}

func TestWhichJobIsDue(t *testing.T) {
	d := PeriodicTask{Name: "backup", Interval: time.Hour, Steps: []string{"write"}}
	noon := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	first, due := d.nextJob(leasedtask.Record{}, noon, time.Second, false)
	if !due || first.Predecessor != "" {
		t.Fatalf("the first: %+v, %v", first, due)
	}
	for _, c := range []struct {
		name string
		on   leasedtask.Record
		at   time.Time
		mine bool // this node did the last one
		due  bool
		id   string // empty: a new one
	}{
		{"begun: it goes on, whenever", leasedtask.Record{JobID: first.ID, State: leasedtask.StateStarted}, noon.Add(9 * time.Hour), false, true, first.ID},
		{"over, in the same span", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(59 * time.Minute), true, false, ""},
		{"over, in the next", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(61 * time.Minute), true, true, ""},
		{"over, in the next, by another", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(61 * time.Minute), false, false, ""},
		{"over, in the next, by another that has not come", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(91 * time.Minute), false, true, ""},
		{"over, by another that is long gone", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(121 * time.Minute), false, true, ""},
		{"failed, in the next", leasedtask.Record{JobID: first.ID, State: leasedtask.StateFailed}, noon.Add(61 * time.Minute), true, true, ""},
		{"the clock was set back", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(-2 * time.Hour), true, false, ""},
	} {
		j, due := d.nextJob(c.on, c.at, time.Second, c.mine)
		if due != c.due || due && c.id != "" && j.ID != c.id || due && c.id == "" && (j.ID <= first.ID || j.Predecessor != first.ID) {
			t.Errorf("%s: %+v, due %v", c.name, j, due)
		}
	}
}

func TestOptions(t *testing.T) {
	fine := Options{Name: "n1", StoreMembers: []string{"127.0.0.1:1"}, ReportInterval: time.Second, SilentAfter: 5 * time.Second, LeaseTerms: lease.Terms{Duration: 10 * time.Second}, Log: standin.Quiet}
	for _, c := range []struct {
		change func(*Options)
		wrong  string
	}{
		{func(*Options) {}, ""},
		{func(o *Options) { o.Name = "a/b" }, "slashes"},
		{func(o *Options) { o.StoreMembers = nil }, "members"},
		{func(o *Options) { o.SilentAfter = time.Second }, "twice"},
		{func(o *Options) { o.BackupInterval = time.Hour }, "folder"},
		{func(o *Options) { o.LeaseTerms.MaxDrift = 2 }, "drift"},
	} {
		o := fine
		c.change(&o)
		if _, err := New(o); (err == nil) != (c.wrong == "") || err != nil && !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%v, want %q", err, c.wrong)
		}
	}
}

// TestPruneKeepsTheLatest, and nothing that is no backup goes.
func TestPruneKeepsTheLatest(t *testing.T) {
	dir := t.TempDir()
	f := &Participant{options: Options{BackupDir: dir, BackupsKept: 2}}
	d := PeriodicTask{Name: "backup", Interval: time.Hour, Steps: []string{"write"}}
	var names []string
	for i := range 4 {
		j, _ := d.nextJob(leasedtask.Record{}, time.Unix(int64(i)*3600*1000, 0), time.Second, false)
		names = append(names, fmt.Sprintf("%s-%d.json", j.ID, 100-i))
	}
	for _, name := range append(names, "notes.txt") {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.pruneBackups(); err != nil {
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
