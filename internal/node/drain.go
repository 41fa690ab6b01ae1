package node

import (
	"time"

	"sloehitch/internal/admission"
)

// Draining, from the notice of shutdown on:
//
//	read until notice + settings.DrainGrace             as without a shutdown
//	read after the grace                                rejected; answered as its key's run if there was one
//	at notice + stop - limits.KillMargin                all that is unanswered is answered
//	read after that answer                              rejected
//
// The times count from the notice, however late Drain is called. A request counts as read when its last byte has
// come: its caller's stamp says when the first one did.

// Drain starts the graceful shutdown: the notice came at the given time, and the process is killed after stop from
// then. If keepAdvertised is set nothing is reported to admission, as another process of this node goes on and
// callers are not to be sent elsewhere. Only the first call counts.
func (n *Node) Drain(notice time.Time, stop time.Duration, keepAdvertised bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.drainStartedAt.IsZero() {
		return
	}
	n.drainStartedAt, n.killAt = notice, notice.Add(stop)
	left := max(0, n.killAt.Sub(n.opts.Clock.Now()))
	if !keepAdvertised {
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

// pastDrainGrace reports whether a request was read too late to be started.
func (n *Node) pastDrainGrace(r *request) bool {
	return !n.drainStartedAt.IsZero() && r.readAt.After(n.drainStartedAt.Add(duration(n.opts.Settings.DrainGrace)))
}

// answeredForKill reports whether answerAllForKill has run: nothing would answer what is read now.
func (n *Node) answeredForKill(now time.Time) bool {
	return !n.drainStartedAt.IsZero() && !now.Before(n.killAt.Add(-n.opts.Limits.KillMargin))
}
