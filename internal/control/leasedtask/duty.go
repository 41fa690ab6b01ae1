// Package leasedtask decides how fleet work goes on in steps under a lease: what to ask of the store, when to do a step, and where
// the next owner takes it up. It has no I/O and no clock; who drives it carries out what Next returns and tells what came
// of it.
//
// Each step is on record as begun before it is done, and as done after, both under the token. The next owner reads the
// record and does a step that was begun once more, under the step's own id, by which its receiver knows a repeat; the
// receiver's fence (package fence) turns an owner away that was overtaken.
package leasedtask

import (
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
)

// Job is a piece of work.
type Job struct {
	ID    string // new with each job; the steps' ids follow from it
	After string // the job that must have ended on record before; empty: there is none before it
	Steps []string
	Tries int           // of a step, after which the job has failed
	Pause time.Duration // after a step that failed, and before asking for a duty again that another has
}

// State is how far a step is.
type State string

// The states of a record. The zero value stands for a job that nobody has begun.
const (
	Begun  State = "begun"
	Done   State = "done"
	Over   State = "over"   // all steps are done
	Failed State = "failed" // a step failed as often as it may; the record says why, and the job stays so
)

// Record is a job as the store keeps it.
type Record struct {
	Job   string `json:"job"`
	Step  int    `json:"step"`
	State State  `json:"state"`
	Tries int    `json:"tries,omitempty"` // of this step that failed
	Why   string `json:"why,omitempty"`   // the last one did
}

// Ended says whether nothing is left to do.
func (r Record) Ended() bool { return r.State == Over || r.State == Failed }

// Kind is what is to be done.
type Kind int

// What Next asks for.
const (
	Wait     Kind = iota // nothing before At, unless something comes
	Take                 // ask the store for the duty; tell Granted or Refused
	Renew                // the same, to keep it
	Read                 // read the record, confirmed; tell Found
	Write                // the record, if its version is still Version and the duty's token still Token; tell Written or Lost
	Do                   // the step; tell Did
	HandOver             // give the duty back; what comes of it need not be told
	Stop                 // nothing any more: the job has ended, was left, or does not follow the one on record
)

// Action is what is to be done.
type Action struct {
	Kind     Kind
	Question uint64 // of Take and Renew: to be told with the answer
	Token    uint64
	Record   Record
	Version  uint64
	ID       string // of Write and Do: the same for each try of one
	Step     string
	At       lease.Instant
}

// Runner is one candidate for a job. It is not safe for concurrent use.
type Runner struct {
	job   Job
	terms lease.Terms
	claim *lease.Claim

	asked   bool          // a question about the lease is open
	again   lease.Instant // nothing is tried before
	known   bool          // the record is known
	busy    bool          // a read, a write or a step is on its way
	record  Record
	version uint64
	next    *Record // to be written
	writes  int     // so far, under this token
	leaving bool
	given   bool
	moot    bool // the record is of a job that this one does not follow
}

// NewRunner returns a candidate that holds nothing. It errs on a job without id or steps.
func NewRunner(j Job, t lease.Terms) (*Runner, error) {
	if j.ID == "" || len(j.Steps) == 0 || j.Tries < 1 || j.Pause <= 0 {
		return nil, fmt.Errorf("duty: a job needs an id, steps, one try or more and a pause, not %+v", j)
	}
	return &Runner{job: j, terms: t, claim: lease.NewClaim(t)}, t.Check()
}

// Record is the job as far as this candidate knows, and whether it knows at all.
func (r *Runner) Record() (Record, bool) { return r.record, r.known }

// Until is to when this candidate was last known to hold the duty.
func (r *Runner) Until() lease.Instant { return r.claim.Until() }

// Leave has the runner stop after the step that it is at, and hand the duty over.
func (r *Runner) Leave() { r.leaving = true }

// Next returns what is to be done now. It is to be called again after each thing told, and at At.
func (r *Runner) Next(now lease.Instant) Action {
	token, holds := r.claim.Holds(now)
	switch {
	case r.known && (r.record.Ended() || r.moot) && !r.busy, r.leaving && !r.busy:
		if holds && !r.given {
			r.given = true
			r.claim.Stop() // first stopped, then said
			return Action{Kind: HandOver, Token: token}
		}
		return Action{Kind: Stop}
	case !r.asked && holds && r.claim.Renews(now):
		r.asked = true
		return Action{Kind: Renew, Question: r.claim.Ask(now), Token: token}
	case r.busy:
		return r.wait(now)
	case now < r.again:
		return r.wait(now)
	case !holds:
		r.known, r.next = false, nil
		if r.asked {
			return r.wait(now)
		}
		r.asked = true
		return Action{Kind: Take, Question: r.claim.Ask(now)}
	case !r.known:
		r.busy = true
		return Action{Kind: Read, Token: token}
	}
	r.busy = true
	if r.next == nil && r.record.State == Begun {
		return Action{Kind: Do, Token: token, ID: r.step(r.record.Step), Step: r.job.Steps[r.record.Step], Record: r.record}
	}
	if r.next == nil { // Done, or nothing yet: the next step is begun
		next := Record{Job: r.job.ID, State: Begun}
		if r.record.State == Done {
			next.Step = r.record.Step + 1
		}
		if next.Step == len(r.job.Steps) {
			next.Step, next.State = r.record.Step, Over
		}
		r.next = &next
	}
	return Action{Kind: Write, Token: token, Record: *r.next, Version: r.version, ID: fmt.Sprintf("%s/%d/%d", r.job.ID, token, r.writes)}
}

// step is a step's id: the same whoever does it.
func (r *Runner) step(i int) string { return fmt.Sprintf("%s/%d", r.job.ID, i) }

// wait is until something is to be looked at again.
func (r *Runner) wait(now lease.Instant) Action {
	at := now.Add(r.terms.Hold() / 10)
	if r.again > now && r.again < at {
		at = r.again
	}
	return Action{Kind: Wait, At: at}
}

// Granted tells that the duty was granted or renewed.
func (r *Runner) Granted(question, token uint64) {
	if was, _ := r.claim.Holds(0); token != was {
		r.known, r.next, r.writes = false, nil, 0 // a new lease begins with reading
	}
	r.asked = false
	r.claim.Granted(question, token)
}

// Refused tells that another has the duty, or that this one lost it.
func (r *Runner) Refused(question uint64, now lease.Instant) {
	r.asked = false
	r.claim.Refused(question)
	r.again = now.Add(r.job.Pause)
}

// Unheard tells that a question about the lease got no answer; it may have been granted all the same. What is held is
// held on until its end, and asked for again.
func (r *Runner) Unheard(now lease.Instant) {
	r.asked = false
	if _, holds := r.claim.Holds(now); !holds {
		r.again = now.Add(r.job.Pause)
	}
}

// Found tells the record, and its version; version 0: there is none. The job is begun only where the one before it has
// ended; a record of any other job ends the runner, which has come too late or too soon.
func (r *Runner) Found(record Record, version uint64) {
	r.busy, r.known, r.version, r.record = false, true, version, record
	if record.Job == r.job.ID {
		return
	}
	r.record = Record{}
	r.moot = record.Job != r.job.After || record.Job != "" && !record.Ended()
}

// Written tells that what was to be written is on record, under this version.
func (r *Runner) Written(version uint64) {
	r.busy, r.version = false, version
	r.writes++
	if r.next != nil {
		r.record, r.next = *r.next, nil
	}
}

// Unsure tells that a read or write got no answer. A write is asked for again under its id.
func (r *Runner) Unsure(now lease.Instant) {
	r.busy = false
	r.again = now.Add(r.job.Pause)
}

// Lost tells that a write was turned down: another has changed the record, or taken the duty. The record is read anew.
func (r *Runner) Lost(now lease.Instant) {
	r.busy, r.known, r.next = false, false, nil
	r.writes++ // its id is used up
	r.again = now.Add(r.job.Pause)
}

// Did tells how the step ended.
func (r *Runner) Did(err error, now lease.Instant) {
	r.busy = false
	next := r.record
	if next.State, next.Why = Done, ""; err != nil {
		next.State, next.Why = Begun, err.Error()
		if next.Tries++; next.Tries >= r.job.Tries {
			next.State = Failed
		}
		r.again = now.Add(r.job.Pause)
	}
	r.next = &next
}
