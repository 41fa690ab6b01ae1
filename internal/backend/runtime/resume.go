package runtime

import (
	"slices"
	"strings"

	"sloehitch/internal/backend/runtime/redelivery"
)

// resumeOutcome is what follows for the runs that were on when the last connection broke.
type resumeOutcome struct {
	abandoned   []string // their ends may be among lost notices
	unconfirmed []unconfirmedCommand
}

// unconfirmedCommand is a command of which nobody can tell whether the runtime read it.
type unconfirmedCommand struct {
	id         string
	callNotice uint64 // the notice of the call that was answered; 0: the command is the start
}

// decideRedelivery decides, once for each connection, about the commands that earlier ones may have lost. It
// is called when all notices that the runtime had as the link was resumed have been read. More may be on
// their way, so that no notice of a run does not mean that nothing happened: only what may safely arrive
// twice is sent again (package redelivery).
func (l *Link) decideRedelivery() (r resumeOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.redeliveryDecided {
		return r
	}
	l.redeliveryDecided = true
	for id, run := range l.runs {
		noticesLost := l.noticesLost && run.lastNoticeGeneration < l.generation
		// Acknowledged (or reported as unconfirmed), still queued, or written on this connection.
		notLost := run.line == nil || run.writtenOnGeneration == 0 || run.writtenOnGeneration == l.generation
		if notLost && !noticesLost {
			continue
		}
		l.applyDecision(id, run, noticesLost, &r)
	}
	l.cond.Broadcast()
	slices.Sort(r.abandoned)
	slices.SortFunc(r.unconfirmed, func(a, b unconfirmedCommand) int { return strings.Compare(a.id, b.id) })
	return r
}

// applyDecision carries out what package redelivery decides about one run; the caller holds mu.
func (l *Link) applyDecision(id string, run *runState, noticesLost bool, r *resumeOutcome) {
	action := redelivery.Decide(redelivery.Command{Kind: run.kind, Idempotent: run.idempotent, NoticesLost: noticesLost})
	read := run.readByGauges <= l.gaugesReceived
	switch {
	case action == redelivery.Abandon:
		delete(l.runs, id)
		r.abandoned = append(r.abandoned, id)
	case action == redelivery.Redeliver:
		run.readByGauges = l.gaugesRequested + 1
		l.queue = append(l.queue, queuedCommand{run.line, run})
	case !read: // Await: report it once, unless an echo proves that the runtime read it
		run.line = nil
		r.unconfirmed = append(r.unconfirmed, unconfirmedCommand{id, run.answeredCall()})
	}
	l.opts.Log.Info("command written to a broken link has no answer yet", "request", id, "kind", run.kind, "written_on_link", run.writtenOnGeneration,
		"link", l.generation, "last_notice", l.lastNotice, "known_read", read, "action", action)
}
