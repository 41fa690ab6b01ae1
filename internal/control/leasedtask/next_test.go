package leasedtask

import (
	"testing"
	"time"

	"sloehitch/internal/control/lease"
)

// TestRecordOfUnknownStepFailsTheJob guards against a stored record that names a step which the job does not have: it ended each node
// that got the lease. The job is recorded as failed, so that the next one can follow.
func TestRecordOfUnknownStepFailsTheJob(t *testing.T) {
	terms := lease.Terms{Duration: 10 * time.Second, MaxDrift: 0.02, SafetyMargin: time.Second}
	for _, record := range []Record{
		{JobID: "job", Step: 2, State: StateStarted}, {JobID: "job", Step: -1, State: StateStarted},
		{JobID: "job", Step: 7, State: StateDone}, {JobID: "job", Step: -9, State: StateDone}, {JobID: "job", Step: 1 << 60, State: "unknown"},
	} {
		r, err := NewRunner(Job{ID: "job", Steps: []string{"a", "b"}, MaxAttempts: 1, RetryDelay: time.Second}, terms)
		if err != nil {
			t.Fatal(err)
		}
		r.HandleGrant(r.NextAction(0).RequestID, 1)
		if a := r.NextAction(0); a.Kind != ActionReadRecord {
			t.Fatalf("%+v: action %+v, want to read the record", record, a)
		}
		r.HandleRecord(record, 4)
		a := r.NextAction(0)
		for n := 0; n < 10 && a.Kind == ActionWriteRecord && a.Record.State != StateFailed; n++ {
			r.HandleWritten(5)
			a = r.NextAction(0)
		}
		if a.Kind != ActionWriteRecord || a.Record.State != StateFailed || a.Record.FailureReason == "" {
			t.Errorf("%+v: action %+v, want a record of the failure", record, a)
		}
	}
}
