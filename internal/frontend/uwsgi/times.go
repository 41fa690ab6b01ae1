package uwsgi

import (
	"context"
	"log/slog"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// RequestTimes holds the timeline of a request that was submitted to the node.
type RequestTimes struct {
	ID                 string
	TraceParent        string // the client's traceparent header
	ReadAt, AnsweredAt time.Time
	Outcome            string // served, refused, failed or left
	Streamed           bool
	Run                RunTimes // zero unless the request ran and its run has ended
}

// RunTimes holds the timeline of a run. Times of events that did not happen are zero.
type RunTimes struct {
	StartedAt, DoneAt time.Time
	Attempts          []AttemptTimes
	Outcome           string // ok, failed, cancelled or moot
	Failure           string // the error of a run that failed
}

// AttemptTimes holds the timeline of an attempt on a server. Times of events that did not happen are zero.
type AttemptTimes struct {
	Server                                       string
	StartedAt, ConnectedAt, FirstByteAt, EndedAt time.Time
	Failure                                      string // the error of an attempt that failed
}

// LastAttempt returns the last attempt, and whether there was one.
func (r *RunTimes) LastAttempt() (AttemptTimes, bool) {
	if len(r.Attempts) == 0 {
		return AttemptTimes{}, false
	}
	return r.Attempts[len(r.Attempts)-1], true
}

// outcomeName returns an outcome's name in metrics and traces.
func outcomeName(o admission.Outcome) string {
	switch o {
	case logic.OutcomeOK:
		return "ok"
	case logic.OutcomeFailed:
		return "failed"
	case logic.OutcomeCanceled:
		return "cancelled"
	case logic.OutcomeNotStarted:
		return "moot"
	default:
		return ""
	}
}

// reportRun passes a run's timeline to its request and to OnRunDone, and logs it at debug level.
func (p *Pool) reportRun(r *run, o admission.Outcome) {
	t := &r.times
	t.Outcome = outcomeName(o)
	t.DoneAt = time.Now()
	r.request.setRunTimes(*t)
	if p.opts.OnRunDone != nil {
		p.opts.OnRunDone(*t)
	}
	if !p.opts.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	last, _ := t.LastAttempt()
	sinceStart := func(at time.Time) time.Duration {
		if at.IsZero() {
			return -1
		}
		return at.Sub(t.StartedAt)
	}
	p.opts.Log.Debug("uwsgi run ended", "id", r.id, "outcome", t.Outcome, "server", last.Server, "attempts", len(t.Attempts),
		"connected", sinceStart(last.ConnectedAt), "first_byte", sinceStart(last.FirstByteAt), "took", sinceStart(t.DoneAt), "failure", t.Failure)
}
