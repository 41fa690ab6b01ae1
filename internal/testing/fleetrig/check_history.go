package fleetrig

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

// checkHistory checks that the clients' operations are linearizable, and applies Check to the store's history.
func (f *testFleet) checkHistory(r *Report, w *workload) {
	if !porcupine.CheckOperations(registerModel, w.history) {
		r.Violations = append(r.Violations, fmt.Sprintf("%d operations are not linearizable", len(w.history)))
	}
	var changes []document.Change
	if !f.waitUntil(time.Now().Add(f.Recovery), func() bool {
		var seen store.ReadStatus
		var forgotten bool
		var err error
		_, now, err1 := f.client(0).Documents("x", false)
		changes, seen, forgotten, err = f.client(0).Changes("", 0, 0)
		return err == nil && err1 == nil && !forgotten && seen.Revision >= now.Revision
	}) {
		r.Violations = append(r.Violations,
			"the store's history is unavailable, or its first changes are no longer retained: use a shorter run")
		return
	}
	r.Violations = append(r.Violations, Check(changes, w.acked, r)...)
}

// Check checks a store's history: the tokens of a leased task never decrease, its jobs and steps are in order, and each acknowledged write
// was made once, at the acknowledged revision. acked has the revision of each write by its id. Check counts grants, jobs and marks into the
// report, and returns the violations, sorted.
func Check(changes []document.Change, acked map[string]uint64, r *Report) (violations []string) {
	c := historyCheck{report: r, tasks: map[string]*taskHistory{}, written: map[string]uint64{}}
	for _, x := range changes {
		switch task, isJob := strings.CutPrefix(x.Key, "duty/"); {
		case x.Lease != nil:
			c.grant(x)
		case isJob:
			c.job(x, task)
		case strings.HasPrefix(x.Key, "silent/") && !x.Deleted:
			r.SilenceMarks++
		case x.Key == "x":
			if earlier, seen := c.written[x.Value]; seen {
				c.fail("write %s was made twice, as revisions %d and %d", x.Value, earlier, x.Revision)
			}
			c.written[x.Value] = x.Revision
		}
	}
	for id, revision := range acked {
		if c.written[id] != revision {
			c.fail("write %s was acknowledged as revision %d, but the history has it as revision %d (0: not at all)", id, revision,
				c.written[id])
		}
	}
	slices.Sort(c.violations)
	return c.violations
}

// historyCheck is the state of Check after the changes read so far.
type historyCheck struct {
	report     *Report
	tasks      map[string]*taskHistory
	written    map[string]uint64 // the revision of each value of the clients' document
	violations []string
}

// taskHistory is the state of a leased task after the changes read so far.
type taskHistory struct {
	token uint64
	owner string
	job   leasedtask.Record
}

func (c *historyCheck) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *historyCheck) task(name string) *taskHistory {
	if c.tasks[name] == nil {
		c.tasks[name] = &taskHistory{}
	}
	return c.tasks[name]
}

// grant checks a lease's grant, renewal or release.
func (c *historyCheck) grant(x document.Change) {
	t := c.task(x.Lease.Task)
	if x.Lease.Token < t.token {
		c.fail("revision %d: leased task %s: token %d follows token %d", x.Revision, x.Lease.Task, x.Lease.Token, t.token)
	}
	if x.Lease.Token == t.token && x.Lease.Holder != "" && x.Lease.Holder != t.owner {
		c.fail("revision %d: leased task %s: token %d is held by %s and by %s", x.Revision, x.Lease.Task, t.token, t.owner, x.Lease.Holder)
	}
	if x.Lease.Token > t.token {
		if t.owner != x.Lease.Holder {
			c.report.OwnerChanges++
		}
		t.owner = x.Lease.Holder
	}
	t.token = x.Lease.Token
}

// job checks a change of a task's job record.
func (c *historyCheck) job(x document.Change, name string) {
	var rec leasedtask.Record
	if err := json.Unmarshal([]byte(x.Value), &rec); err != nil {
		c.fail("revision %d: malformed job record: %v", x.Revision, err)
		return
	}
	t := c.task(name)
	before := t.job
	t.job = rec
	switch {
	case x.Author != t.owner:
		c.fail("revision %d: %s wrote the job record of %s, which is held by %s", x.Revision, x.Author, name, t.owner)
	case rec.JobID < before.JobID || rec.JobID == before.JobID && rec.Step < before.Step:
		c.fail("revision %d: leased task %s: job record %+v follows a later one, %+v", x.Revision, name, rec, before)
	case rec.JobID == before.JobID && before.Finished():
		c.fail("revision %d: leased task %s: job record %+v follows the end of its job", x.Revision, name, rec)
	case rec.JobID != before.JobID && before.JobID != "" && !before.Finished():
		c.fail("revision %d: leased task %s: job record %+v precedes the end of the previous job, %+v", x.Revision, name, rec, before)
	}
	if rec.Finished() {
		c.report.Jobs++
	}
}
