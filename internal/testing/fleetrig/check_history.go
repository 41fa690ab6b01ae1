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

// checkHistory checks that the clients' operations are linearizable, and the store's history by Check.
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
		r.Violations = append(r.Violations, "no history, or not all of it is remembered: play a shorter one")
		return
	}
	r.Violations = append(r.Violations, Check(changes, w.acked, r)...)
}

// Check holds a store's history to its promises: tokens of a leased task only grow, its jobs and steps come in order, and what was
// acknowledged is there once, under the acknowledged revision. acked has the revision of each write by its id. Grants, jobs and marks are
// counted into the report; the result is sorted, and empty where all promises were kept.
func Check(changes []document.Change, acked map[string]uint64, r *Report) (wrong []string) {
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
			if was, twice := c.written[x.Value]; twice {
				c.fail("%s was made twice, as revisions %d and %d", x.Value, was, x.Revision)
			}
			c.written[x.Value] = x.Revision
		}
	}
	for id, revision := range acked {
		if c.written[id] != revision {
			c.fail("%s was acknowledged as revision %d and is there as %d", id, revision, c.written[id])
		}
	}
	slices.Sort(c.wrong)
	return c.wrong
}

// historyCheck is the state of a check after some of the changes.
type historyCheck struct {
	report  *Report
	tasks   map[string]*taskHistory
	written map[string]uint64 // the revision of each value of the clients' document
	wrong   []string
}

// taskHistory is where a leased task stands.
type taskHistory struct {
	token uint64
	owner string
	job   leasedtask.Record
}

func (c *historyCheck) fail(format string, args ...any) {
	c.wrong = append(c.wrong, fmt.Sprintf(format, args...))
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
		c.fail("revision %d: duty %s: token %d after %d", x.Revision, x.Lease.Task, x.Lease.Token, t.token)
	}
	if x.Lease.Token == t.token && x.Lease.Holder != "" && x.Lease.Holder != t.owner {
		c.fail("revision %d: duty %s: token %d is %s's and %s's", x.Revision, x.Lease.Task, t.token, t.owner, x.Lease.Holder)
	}
	if x.Lease.Token > t.token {
		if t.owner != x.Lease.Holder {
			c.report.OwnerChanges++
		}
		t.owner = x.Lease.Holder
	}
	t.token = x.Lease.Token
}

// job checks a job record that a task's owner wrote.
func (c *historyCheck) job(x document.Change, name string) {
	var rec leasedtask.Record
	if err := json.Unmarshal([]byte(x.Value), &rec); err != nil {
		c.fail("revision %d: %v", x.Revision, err)
		return
	}
	t := c.task(name)
	before := t.job
	t.job = rec
	switch {
	case x.Author != t.owner:
		c.fail("revision %d: %s wrote the record of %s, which is %s's", x.Revision, x.Author, name, t.owner)
	case rec.JobID < before.JobID || rec.JobID == before.JobID && rec.Step < before.Step:
		c.fail("revision %d: duty %s: %+v after %+v", x.Revision, name, rec, before)
	case rec.JobID == before.JobID && before.Finished():
		c.fail("revision %d: duty %s: %+v after its end", x.Revision, name, rec)
	case rec.JobID != before.JobID && before.JobID != "" && !before.Finished():
		c.fail("revision %d: duty %s: %+v before the end of %+v", x.Revision, name, rec, before)
	}
	if rec.Finished() {
		c.report.Jobs++
	}
}
