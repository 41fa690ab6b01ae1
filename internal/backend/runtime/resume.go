package runtime

import (
	"slices"
	"strings"

	"sloehitch/internal/backend/runtime/redelivery"
)

// resumeOutcome lists the runs that are affected by the break of the last connection.
type resumeOutcome struct {
	abandoned   []string // runs whose ends may be among lost notices
	unconfirmed []unconfirmedCommand
}

// unconfirmedCommand is a command for which it is unknown whether the runtime has read it.
type unconfirmedCommand struct {
	id         string
	callNotice uint64 // the notice of the call that was answered; 0: the command is the start
}

// decideRedelivery decides, once per connection, about the commands that earlier connections may have lost. It is
// called when all notices that the runtime had when the link was resumed have been read. More notices may be in
// transit, so the lack of a notice does not prove that a command was lost: only commands that may safely arrive
// twice are sent again (package redelivery).
func (l *Link) decideRedelivery() (r resumeOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.redeliveryDecided {
		return r
	}
	l.redeliveryDecided = true
	for id, run := range l.runs {
		noticesLost := l.noticesLost && run.lastNoticeGeneration < l.generation
		// The command is acknowledged, reported as unconfirmed, still queued, or written on this connection.
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

// applyDecision carries out the decision of package redelivery about one run; the caller holds mu.
func (l *Link) applyDecision(id string, run *runState, noticesLost bool, r *resumeOutcome) {
	action := redelivery.Decide(redelivery.Command{Kind: run.kind, Idempotent: run.idempotent, NoticesLost: noticesLost})
	read := run.readByGauges <= l.gaugesReceived
	switch {
	case action == redelivery.Abandon:
		delete(l.runs, id)
		r.abandoned = append(r.abandoned, id)
	case action == redelivery.Redeliver:
		run.readByGauges = l.gaugesRequested + 1
		command := queuedCommand{line: run.line, run: run}
		if run.kind == redelivery.Start {
			command.secondStart = id
		}
		l.queue = append(l.queue, command)
	case !read: // Await: report the command once, unless an echo proves that the runtime read it
		run.line = nil
		r.unconfirmed = append(r.unconfirmed, unconfirmedCommand{id, run.answeredCall()})
	}
	l.opts.Log.Info("command was written to a connection that broke before a notice of its run", "request", id, "kind", run.kind,
		"written_on_link", run.writtenOnGeneration, "link", l.generation, "last_notice", l.lastNotice, "known_read", read, "action", action)
}
