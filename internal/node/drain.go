package node

import (
	"time"

	"sloehitch/internal/admission"
)

// Draining, from the notice of shutdown on:
//
//	read until notice + settings.DrainGrace             as ever
//	read later                                          rejected, with RetryAfter; answered from its key's run if that ran
//	at notice + stop - limits.KillMargin                 all that is unanswered is answered
//	read later                                          rejected
//
// The times count from the notice, however late the Node hears of it. A request counts as read when its last byte has come: its
// caller's stamp says when the first one did.

// Drain starts the graceful shutdown: the process was told at notice that it will be killed after stop. If quiet is set
// admission is not told, as another process of this node goes on and callers are not to be sent elsewhere. Only the first call
// counts.
func (n *Node) Drain(notice time.Time, stop time.Duration, quiet bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.drainStartedAt.IsZero() {
		return
	}
	n.drainStartedAt, n.killAt = notice, notice.Add(stop)
	left := max(0, n.killAt.Sub(n.opts.Clock.Now()))
	if !quiet {
		n.opts.Admission.Report(admission.Draining(left))
	}
	n.opts.Clock.AfterFunc(left-n.opts.Limits.KillMargin, n.answerAllForKill)
}

// answerAllForKill answers all that is unanswered shortly before the kill.
func (n *Node) answerAllForKill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.byID {
		if !r.settled {
			n.answerUndecided(r)
		}
	}
}

// pastDrainGrace says whether a request was read too late to be started.
func (n *Node) pastDrainGrace(r *request) bool {
	return !n.drainStartedAt.IsZero() && r.readAt.After(n.drainStartedAt.Add(duration(n.opts.Settings.DrainGrace)))
}

// answeredForKill says whether answerAllForKill is over: nobody would answer what is read now.
func (n *Node) answeredForKill(now time.Time) bool {
	return !n.drainStartedAt.IsZero() && !now.Before(n.killAt.Add(-n.opts.Limits.KillMargin))
}
