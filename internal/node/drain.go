package node

import (
	"time"

	"sloehitch/internal/admission"
)

// Draining, from the shutdown notice on:
//
//	read until notice + settings.DrainGrace             handled as without a shutdown
//	read after the grace                                rejected; if its key has run, answered from that run
//	at notice + stop - limits.KillMargin                all unanswered requests are answered
//	read after that time                                rejected
//
// The times count from the notice, however late Drain is called. A request counts as read when its last byte has
// arrived; the caller's time stamp is that of its first byte.

// Drain starts the graceful shutdown. The notice came at the given time, and the process will be killed when stop has
// passed since the notice. If keepAdvertised is set, nothing is reported to admission, because another process of this
// node continues and callers are not to be diverted to other nodes. Calls after the first have no effect.
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
	n.opts.Clock.AfterFunc(left-n.opts.Limits.KillMargin, n.answerAllBeforeKill)
}

// answerAllBeforeKill answers all unanswered requests shortly before the process is killed.
func (n *Node) answerAllBeforeKill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.byID {
		if !r.settled {
			n.answerWithoutDecision(r)
		}
	}
}

// pastDrainGrace reports whether a request was read after the drain grace and must not be started.
func (n *Node) pastDrainGrace(r *request) bool {
	return !n.drainStartedAt.IsZero() && r.readAt.After(n.drainStartedAt.Add(duration(n.opts.Settings.DrainGrace)))
}

// withinKillMargin reports whether answerAllBeforeKill is due, so that it would not answer requests read from now on.
func (n *Node) withinKillMargin(now time.Time) bool {
	return !n.drainStartedAt.IsZero() && !now.Before(n.killAt.Add(-n.opts.Limits.KillMargin))
}
