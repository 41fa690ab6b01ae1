package modelcheck

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store/document"
)

const (
	task      = "release"
	recordKey = "duty/release"
	jobPrefix = "j" // and a number: a job's id

	never time.Duration = 1 << 62
)

// world is candidates for one task, the store that they agree through and a receiver of effects, in true time.
type world struct {
	rng        *rand.Rand
	now        time.Duration
	queue      []event
	store      *document.State
	receiver   *receiver
	candidates []*candidate
	calm       bool // no faults any more
	openJob    int  // number of the job that was on record as the faults ended
	mutant     string
	violation  string // of what must hold; empty: none
}

type event struct {
	at  time.Duration
	run func()
}

// candidate is a process, and its successors under the same name.
type candidate struct {
	*leasedtask.Runner
	name        string
	clockRate   float64
	pausedUntil time.Duration
	incarnation int // number of the process
	wakeAt      time.Duration
}

func (w *world) clock(c *candidate) lease.Instant { return lease.Instant(float64(w.now) * c.clockRate) }

func (w *world) fail(format string, args ...any) { w.violation = fmt.Sprintf(format, args...) }

func (w *world) after(d time.Duration, run func()) { w.queue = append(w.queue, event{w.now + d, run}) }

// runDueEvents runs the events that are due, in the order in which they were queued.
func (w *world) runDueEvents() {
	for i := 0; i < len(w.queue); i++ {
		e := w.queue[i]
		if e.at > w.now {
			continue
		}
		w.queue = append(w.queue[:i], w.queue[i+1:]...)
		i = -1
		e.run()
	}
}

// randomDuration returns a duration up to a maximum, mostly a short one.
func (w *world) randomDuration(maximum time.Duration) time.Duration {
	x := w.rng.Float64()
	return time.Duration(x * x * x * float64(maximum))
}

// message returns how long a message takes, and whether it arrives.
func (w *world) message() (delay time.Duration, arrives bool) {
	if w.calm {
		return time.Millisecond, true
	}
	delay = w.randomDuration(4 * LeaseTerms.Duration)
	return delay, w.rng.IntN(12) > 0
}

// request has serve run at the other end, and then onResponse at the candidate with its result; onTimeout where a message is
// lost or late. The process that sent the request gets the response once it is no longer paused, a later incarnation never does.
func request[T any](w *world, c *candidate, serve func() T, onResponse func(T), onTimeout func()) {
	incarnation := c.incarnation
	ended := false
	var deliver func(run func())
	deliver = func(run func()) {
		switch {
		case c.incarnation != incarnation:
		case c.pausedUntil > w.now:
			w.after(c.pausedUntil-w.now, func() { deliver(run) })
		default:
			if !ended {
				ended = true
				run()
			}
			c.wakeAt = 0
		}
	}
	w.after(LeaseTerms.Duration, func() { deliver(onTimeout) }) // the request may arrive later all the same
	there, arrives := w.message()
	if !arrives {
		return
	}
	w.after(there, func() {
		result := serve()
		if back, arrives := w.message(); arrives {
			w.after(back, func() { deliver(func() { onResponse(result) }) })
		}
	})
}

// record returns the job on record, as a member of the store has it.
func (w *world) record() (r leasedtask.Record) {
	d := w.store.Get(recordKey)
	if d.Version == 0 {
		return r
	}
	if err := json.Unmarshal([]byte(d.Value), &r); err != nil {
		w.fail("%v", err)
	}
	return r
}

// jobOnRecord returns the number of the job on record; 0: there is none.
func (w *world) jobOnRecord() int { return jobNumber(w.record().JobID) }

func jobID(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(jobPrefix, n)
}

func jobNumber(id string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(id, jobPrefix))
	if err != nil { // the id of no job
		return 0
	}
	return n
}

// newCandidate returns a new process: it resumes the job on record, or starts the next one after it.
func (w *world) newCandidate(name string) *candidate {
	record := w.record()
	n := jobNumber(record.JobID)
	if n == 0 || record.Finished() {
		n++
	}
	job := leasedtask.Job{
		ID:          jobID(n),
		Predecessor: jobID(n - 1),
		Steps:       []string{"a", "b", "c", "d"},
		MaxAttempts: 50,
		RetryDelay:  time.Second,
	}
	runner, err := leasedtask.NewRunner(job, LeaseTerms)
	if err != nil {
		panic(err)
	}
	rate := 1 + LeaseTerms.MaxDrift*(2*float64(w.rng.IntN(2))-1)
	return &candidate{Runner: runner, name: name, clockRate: rate}
}

// replaceProcess has another process take a candidate's place, on the same machine.
func (w *world) replaceProcess(c *candidate) {
	c.incarnation++
	c.Runner = w.newCandidate(c.name).Runner
	c.wakeAt = 0
}
