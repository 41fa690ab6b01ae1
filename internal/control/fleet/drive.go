package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/control/leasedtask"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// Duty is work that one node does for all, once in each span of time.
type Duty struct {
	Name  string
	Every time.Duration
	Steps []string
	// Do does a step under a token, in its own goroutine, and may be called again for a step that was done. What it changes
	// it changes under the token.
	Do func(ctx context.Context, a leasedtask.Action) error
}

// slot is the span of time that now is in. It names jobs; who may do one is the lease's matter.
func (d *Duty) slot(now time.Time) int64 { return now.UnixNano() / int64(d.Every) }

// job is what is to be done next, if anything is due: what was begun, or a job for this span. Who did the last one begins at once;
// others give it half of the span, so that the duty stays where what was seen for it is, and not all ask at once.
func (d *Duty) job(on leasedtask.Record, now time.Time, pause time.Duration, mine bool) (leasedtask.Job, bool) {
	j := leasedtask.Job{ID: on.Job, Steps: d.Steps, Tries: tries, Pause: pause}
	if on.Job != "" && !on.Ended() {
		return j, true
	}
	j.ID, j.After = fmt.Sprintf("%s-%020d", d.Name, d.slot(now)), on.Job
	if !mine && on.Job != "" && now.UnixNano()%int64(d.Every) < int64(d.Every/2) && on.Job >= fmt.Sprintf("%s-%020d", d.Name, d.slot(now)-1) {
		return j, false
	}
	return j, j.ID > on.Job // a clock that was set back begins nothing anew
}

// tries is how often a step may fail before its job has failed.
const tries = 5

// serve takes this node's turn at a duty until the context ends.
func (f *Fleet) serve(ctx context.Context, d Duty) {
	for ctx.Err() == nil {
		on, _, err := f.record(d.Name, true) // an old one costs a question in vain, since the runner reads it anew
		if job, due := d.job(on, f.opts.Now(), f.opts.Pause, on.Job != "" && f.ended(d.Name) == on.Job); err != nil {
			f.log.Warn("the record of a duty can't be read", fmt.Errorf("%s: %w", d.Name, err))
		} else if due {
			f.work(ctx, d, job)
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(d.Every/4, f.opts.Pause)):
		}
	}
}

// record reads how far a duty's job is: confirmed by a majority, or as the member that is asked first has it.
func (f *Fleet) record(name string, local bool) (r leasedtask.Record, version uint64, err error) {
	var doc document.Document
	if local {
		c, turn := f.member()
		if doc, _, err = c.Document(duties+name, true); err != nil {
			f.gaveNone(turn)
		}
	} else {
		err = f.each(func(c store.Client) (err error) {
			doc, _, err = c.Document(duties+name, false)
			return err
		})
	}
	if err != nil || doc.Version == 0 {
		return r, 0, err
	}
	return r, doc.Version, json.Unmarshal([]byte(doc.Value), &r)
}

// work drives a runner until it stops. What it asks for is done in goroutines of their own, so that a lease is renewed
// while a step goes on; what comes of it is told to the runner here.
func (f *Fleet) work(ctx context.Context, d Duty, j leasedtask.Job) {
	r, err := leasedtask.NewRunner(j, f.opts.Terms)
	if err != nil {
		f.log.Warn("a duty can't be done", err)
		return
	}
	told := make(chan func())
	over := make(chan struct{})
	defer close(over)
	tell := func(what func()) {
		select {
		case told <- what:
		case <-over:
		}
	}
	done := ctx.Done()
	for {
		a := r.Next(f.clock())
		var again <-chan time.Time
		switch a.Kind {
		case leasedtask.Stop:
			if on, known := r.Record(); known && on.Ended() && on.Job == j.ID {
				f.did(d.Name, j.ID)
			}
			return
		case leasedtask.HandOver:
			f.opts.Tell(faulthooks.Event{What: "gives", Duty: d.Name, N: a.Token})
			_, err := f.ask(d.Name, store.Question{Ask: "hand-over", Holder: f.opts.Name, Token: a.Token, Why: j.ID})
			f.opts.Log.Debug("a duty was handed over", "duty", d.Name, "token", a.Token, "error", err)
			continue
		case leasedtask.Wait:
			again = time.After(time.Duration(a.At - f.clock()))
		default:
			go f.carryOut(ctx, d, r, a, tell)
			continue
		}
		select {
		case what := <-told:
			what()
		case <-again:
		case <-done:
			done = nil
			r.Leave()
		}
	}
}

// ended is the job of a duty that this node ended last.
func (f *Fleet) ended(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mine[name]
}

// did notes that this node ended a duty's job.
func (f *Fleet) did(name, job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mine[name] = job
}

// carryOut does what a runner asks for, and tells it what came of it.
func (f *Fleet) carryOut(ctx context.Context, d Duty, r *leasedtask.Runner, a leasedtask.Action, tell func(func())) {
	switch a.Kind {
	case leasedtask.Take, leasedtask.Renew:
		q := store.Question{Ask: "take", Holder: f.opts.Name}
		if a.Kind == leasedtask.Renew {
			q.Ask, q.Token = "renew", a.Token
		}
		rec, err := f.ask(d.Name, q)
		switch {
		case err == nil:
			tell(func() {
				r.Granted(a.Question, rec.Token)
				f.opts.Tell(faulthooks.Event{What: "holds", Duty: d.Name, N: rec.Token, Until: r.Until()})
			})
		case errors.Is(err, store.ErrConflict):
			tell(func() { r.Refused(a.Question, f.clock()) })
		default:
			tell(func() { r.Unheard(f.clock()) })
		}
	case leasedtask.Read:
		rec, version, err := f.record(d.Name, false)
		if err != nil {
			tell(func() { r.Unsure(f.clock()) })
			return
		}
		tell(func() { r.Found(rec, version) })
	case leasedtask.Write:
		text, err := json.Marshal(a.Record)
		if err != nil { // strings and numbers always marshal
			panic(err)
		}
		made, err := f.makes(document.Transaction{ID: a.ID, By: f.opts.Name, Why: fmt.Sprintf("step %d %s", a.Record.Step, a.Record.State),
			If: []document.Condition{{Duty: d.Name, Token: a.Token}, {Key: duties + d.Name, Version: a.Version}},
			Do: []document.Operation{{Key: duties + d.Name, Value: string(text)}}})
		switch {
		case err == nil:
			tell(func() { r.Written(made.Revision) })
		case errors.Is(err, store.ErrConflict):
			tell(func() { r.Lost(f.clock()) })
		default:
			tell(func() { r.Unsure(f.clock()) })
		}
	case leasedtask.Do:
		f.opts.Tell(faulthooks.Event{What: "does", Duty: d.Name, ID: a.ID, N: a.Token})
		err := d.Do(ctx, a)
		if err != nil {
			f.log.Warn("a step failed", fmt.Errorf("%s: %w", a.ID, err))
		}
		tell(func() { r.Did(err, f.clock()) })
	}
}

// ask asks one member about a duty; the next question goes to the next one where that gave no answer.
func (f *Fleet) ask(name string, q store.Question) (lease.Record, error) {
	c, turn := f.member()
	rec, err := c.Ask(name, q)
	if err != nil && !errors.Is(err, store.ErrConflict) {
		f.gaveNone(turn)
	}
	return rec, err
}

// makes asks members for a transaction until one says whether it was made.
func (f *Fleet) makes(t document.Transaction) (r document.Result, err error) {
	err = f.each(func(c store.Client) (err error) {
		r, err = c.Make(t)
		return err
	})
	return r, err
}

// documents reads from the first member that can confirm it.
func (f *Fleet) documents(prefix string) (docs []document.Document, err error) {
	err = f.each(func(c store.Client) (err error) {
		docs, _, err = c.Documents(prefix, false)
		return err
	})
	return docs, err
}
