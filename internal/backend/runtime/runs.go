package runtime

import (
	"slices"
	"strings"

	"sloehitch/internal/backend/runtime/redelivery"
)

// run is a run that was asked for and has not ended.
type run struct {
	repeatable bool            // its request may run more than once
	last       redelivery.Kind // what it waits for: its start, or what followed a call
	line       []byte          // that command as it is sent; nil once anything was heard of the run, or it is told to be unconfirmed
	call       uint64          // the notice of the call that it stood at last
	written    uint64          // the link that the command was handed to; 0: it still stands in the queue
	ack        uint64          // the gauges whose coming shows that the command was read
	link       uint64          // the link on which the run was asked for or last heard of
}

// unconfirmed is a command of which nobody can tell whether the runtime read it.
type unconfirmed struct {
	id   string
	call uint64 // the notice of the call that was answered; 0: the command is the start
}

// resumption is what follows from the runs that were on when the last link broke.
type resumption struct {
	abandoned   []string // these may have ended in a notice that is lost
	unconfirmed []unconfirmed
}

// resume decides, once for each link, about the commands that earlier links may have lost. It is called when all notices
// that the runtime had as the link was resumed have been read. More may be on their way, so that nothing was heard of a run does not mean
// that nothing happened: only what may safely arrive twice is sent again (package redelivery).
func (l *Link) resume() (r resumption) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed {
		return r
	}
	l.resumed = true
	for id, run := range l.runs {
		lost := l.gap && run.link < l.links
		onItsWay := run.line == nil || run.written == 0 || run.written == l.links
		if onItsWay && !lost {
			continue
		}
		l.settle(id, run, lost, &r)
	}
	l.cond.Broadcast()
	slices.Sort(r.abandoned)
	slices.SortFunc(r.unconfirmed, func(a, b unconfirmed) int { return strings.Compare(a.id, b.id) })
	return r
}

// settle carries out what package redelivery decides about one run; the caller holds mu.
func (l *Link) settle(id string, run *run, lost bool, r *resumption) {
	action := redelivery.Decide(redelivery.Command{Kind: run.last, Repeatable: run.repeatable, NoticesLost: lost})
	read := run.ack <= l.taken
	switch {
	case action == redelivery.Abandon:
		delete(l.runs, id)
		r.abandoned = append(r.abandoned, id)
	case action == redelivery.Redeliver:
		run.ack = l.tag + 1
		l.queue = append(l.queue, queued{run.line, run})
	case !read:
		run.line = nil // told once
		r.unconfirmed = append(r.unconfirmed, unconfirmed{id, run.callAnswered()})
	}
	l.opts.Log.Info("nothing was heard of a command that a broken link carried", "request", id, "kind", run.last, "carried_by", run.written,
		"link", l.links, "read_to", l.pos, "known_read", read, "action", action)
}

// callAnswered is the notice of the call that the last command followed; 0: it is the start.
func (r *run) callAnswered() uint64 {
	if r.last == redelivery.Start {
		return 0
	}
	return r.call
}

// heard notes a sign of life of a run: it stands at a call.
func (l *Link) heard(id string, call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[id]; r != nil {
		r.line, r.call, r.link = nil, call, l.links
	}
}

// over forgets a run.
func (l *Link) over(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, id)
}

// unheardMost bounds how many runs a log line names.
const unheardMost = 8

// unheard names runs whose last command was handed to a link, and of which nothing was heard since.
func (l *Link) unheard() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, r := range l.runs {
		if r.written > 0 && r.line != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), unheardMost)]
}
