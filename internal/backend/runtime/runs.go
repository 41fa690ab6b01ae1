package runtime

import (
	"slices"
	"strings"

	"sloehitch/internal/backend/runtime/redelivery"
)

// runState is a run that was asked for and has not ended.
type runState struct {
	idempotent bool            // its request may run more than once
	kind       redelivery.Kind // what it waits for: its start, or what followed a call
	line       []byte          // that command as it is sent; nil once anything was heard of the run, or it is told to be unconfirmed
	callNotice uint64          // the notice of the call that it stood at last
	writtenOn  uint64          // the link that the command was handed to; 0: it still stands in the queue
	ackTag     uint64          // the gauges whose coming shows that the command was read
	heardOn    uint64          // the link on which the run was asked for or last heard of
}

// unconfirmedCommand is a command of which nobody can tell whether the runtime read it.
type unconfirmedCommand struct {
	id         string
	callNotice uint64 // the notice of the call that was answered; 0: the command is the start
}

// resumeOutcome is what follows from the runs that were on when the last link broke.
type resumeOutcome struct {
	abandoned   []string // these may have ended in a notice that is lost
	unconfirmed []unconfirmedCommand
}

// decideRedelivery decides, once for each link, about the commands that earlier links may have lost. It is called when all notices
// that the runtime had as the link was resumed have been read. More may be on their way, so that nothing was heard of a run does not mean
// that nothing happened: only what may safely arrive twice is sent again (package redelivery).
func (l *Link) decideRedelivery() (r resumeOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.redeliveryDecided {
		return r
	}
	l.redeliveryDecided = true
	for id, run := range l.runs {
		lost := l.noticesLost && run.heardOn < l.generation
		onItsWay := run.line == nil || run.writtenOn == 0 || run.writtenOn == l.generation
		if onItsWay && !lost {
			continue
		}
		l.applyDecision(id, run, lost, &r)
	}
	l.cond.Broadcast()
	slices.Sort(r.abandoned)
	slices.SortFunc(r.unconfirmed, func(a, b unconfirmedCommand) int { return strings.Compare(a.id, b.id) })
	return r
}

// applyDecision carries out what package redelivery decides about one run; the caller holds mu.
func (l *Link) applyDecision(id string, run *runState, lost bool, r *resumeOutcome) {
	action := redelivery.Decide(redelivery.Command{Kind: run.kind, Idempotent: run.idempotent, NoticesLost: lost})
	read := run.ackTag <= l.gaugesReceived
	switch {
	case action == redelivery.Abandon:
		delete(l.runs, id)
		r.abandoned = append(r.abandoned, id)
	case action == redelivery.Redeliver:
		run.ackTag = l.gaugesRequested + 1
		l.queue = append(l.queue, queuedCommand{run.line, run})
	case !read:
		run.line = nil // told once
		r.unconfirmed = append(r.unconfirmed, unconfirmedCommand{id, run.answeredCall()})
	}
	l.opts.Log.Info("nothing was heard of a command that a broken link carried", "request", id, "kind", run.kind, "carried_by", run.writtenOn,
		"link", l.generation, "read_to", l.lastNotice, "known_read", read, "action", action)
}

// answeredCall is the notice of the call that the last command followed; 0: it is the start.
func (r *runState) answeredCall() uint64 {
	if r.kind == redelivery.Start {
		return 0
	}
	return r.callNotice
}

// recordCall notes a sign of life of a run: it stands at a call.
func (l *Link) recordCall(id string, call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[id]; r != nil {
		r.line, r.callNotice, r.heardOn = nil, call, l.generation
	}
}

// removeRun forgets a run.
func (l *Link) removeRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, id)
}

// maxLoggedRuns bounds how many runs a log line names.
const maxLoggedRuns = 8

// unacknowledgedRuns names runs whose last command was handed to a link, and of which nothing was heard since.
func (l *Link) unacknowledgedRuns() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, r := range l.runs {
		if r.writtenOn > 0 && r.line != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxLoggedRuns)]
}
