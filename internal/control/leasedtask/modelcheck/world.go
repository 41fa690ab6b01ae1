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
	jobPrefix = "j" // followed by the job's number: its id

	never time.Duration = 1 << 62
)

// simulation runs, in true time, candidates for one task, the store through which they agree, and a receiver of effects.
type simulation struct {
	rng        *rand.Rand
	now        time.Duration
	queue      []event
	store      *document.State
	receiver   *receiver
	candidates []*candidate
	faultFree  bool // the faults have ended
	openJob    int  // number of the job on record when the faults ended
	mutant     string
	violation  string // violated invariant; empty: none
}

type event struct {
	at  time.Duration
	run func()
}

// candidate is a process and the processes that replace it under the same name.
type candidate struct {
	*leasedtask.Runner
	name        string
	clockRate   float64
	pausedUntil time.Duration
	incarnation int // how often the process was replaced
	wakeAt      time.Duration
}

func (w *simulation) clock(c *candidate) lease.Instant {
	return lease.Instant(float64(w.now) * c.clockRate)
}

func (w *simulation) fail(format string, args ...any) { w.violation = fmt.Sprintf(format, args...) }

func (w *simulation) after(d time.Duration, run func()) {
	w.queue = append(w.queue, event{w.now + d, run})
}

// runDueEvents runs the events that are due, in the order of the queue.
func (w *simulation) runDueEvents() {
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

// randomDuration returns a duration up to a maximum, usually a short one.
func (w *simulation) randomDuration(maximum time.Duration) time.Duration {
	x := w.rng.Float64()
	return time.Duration(x * x * x * float64(maximum))
}

// messageDelay returns the delay of a message, and whether it arrives.
func (w *simulation) messageDelay() (delay time.Duration, arrives bool) {
	if w.faultFree {
		return time.Millisecond, true
	}
	delay = w.randomDuration(4 * LeaseTerms.Duration)
	return delay, w.rng.IntN(12) > 0
}

// request runs serve at the other end and then onResponse with its result at the candidate, or onTimeout if a message is lost
// or late. The process that sent the request gets the response once it is no longer paused; a later incarnation never does.
func request[T any](w *simulation, c *candidate, serve func() T, onResponse func(T), onTimeout func()) {
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
	w.after(LeaseTerms.Duration, func() { deliver(onTimeout) }) // the request may still arrive later
	delay, arrives := w.messageDelay()
	if !arrives {
		return
	}
	w.after(delay, func() {
		result := serve()
		if responseDelay, arrives := w.messageDelay(); arrives {
			w.after(responseDelay, func() { deliver(func() { onResponse(result) }) })
		}
	})
}

// record returns the record of the current job from the store; empty: there is none.
func (w *simulation) record() (r leasedtask.Record) {
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
func (w *simulation) jobOnRecord() int { return jobNumber(w.record().JobID) }

func jobID(n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprint(jobPrefix, n)
}

func jobNumber(id string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(id, jobPrefix))
	if err != nil { // empty or not a job's id
		return 0
	}
	return n
}

// newCandidate returns a new process, which resumes the job on record or, if that has finished, starts the next one.
func (w *simulation) newCandidate(name string) *candidate {
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

// replaceProcess replaces a candidate's process with a new one on the same machine.
func (w *simulation) replaceProcess(c *candidate) {
	c.incarnation++
	c.Runner = w.newCandidate(c.name).Runner
	c.wakeAt = 0
}
