package fleet

import (
	"testing"
	"time"

	"sloehitch/internal/control/leasedtask"
)

func TestNextJobIsDueBySlot(t *testing.T) {
	task := PeriodicTask{Name: "backup", Interval: time.Hour, Steps: []string{"write"}}
	noon := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	first, due := task.nextJob(leasedtask.Record{}, noon, time.Second, false)
	if !due || first.Predecessor != "" {
		t.Fatalf("first job: %+v, due %v, want it due and without a predecessor", first, due)
	}
	for _, c := range []struct {
		name      string
		record    leasedtask.Record
		at        time.Time
		endedHere bool
		due       bool
		id        string // of the wanted job; empty for a new one
	}{
		{"a started job is due in any slot", leasedtask.Record{JobID: first.ID, State: leasedtask.StateStarted}, noon.Add(9 * time.Hour), false, true, first.ID},
		{"completed, in the same slot", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(59 * time.Minute), true, false, ""},
		{"completed, in the next slot", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(61 * time.Minute), true, true, ""},
		{"completed by another node, in the first half of the next slot", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(61 * time.Minute), false, false, ""},
		{"completed by another node, in the second half of the next slot", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(91 * time.Minute), false, true, ""},
		{"completed by another node, two slots before", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(121 * time.Minute), false, true, ""},
		{"failed, in the next slot", leasedtask.Record{JobID: first.ID, State: leasedtask.StateFailed}, noon.Add(61 * time.Minute), true, true, ""},
		{"the clock was set back", leasedtask.Record{JobID: first.ID, State: leasedtask.StateCompleted}, noon.Add(-2 * time.Hour), true, false, ""},
	} {
		j, due := task.nextJob(c.record, c.at, time.Second, c.endedHere)
		if due != c.due || due && c.id != "" && j.ID != c.id || due && c.id == "" && (j.ID <= first.ID || j.Predecessor != first.ID) {
			t.Errorf("%s: unexpected job %+v, due %v", c.name, j, due)
		}
	}
}
