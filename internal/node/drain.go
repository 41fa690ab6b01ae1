package node

import (
	"time"

	"sloehitch/internal/admission"
)

// Drain is the notice that the process is to be stopped so long after it came. The grace and the kill count from the
// notice, however late the core hears of it. The module does not hear of it where it is quiet: another process of this
// node goes on, so callers are not to be kept away.
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

// Unanswered is the number of requests that are owed an answer.
func (n *Node) Unanswered() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unanswered
}

// answerAllForKill guards the end of a drain: all that was read is answered before the stop.
func (n *Node) answerAllForKill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.byID {
		if !r.settled {
			n.answerUndecided(r)
		}
	}
}

// pastDrainGrace says whether a request came too late after the notice to leave to be run. A caller tells when its first byte
// came; it has come when the last one has, and one that writes slowly may take long over it.
func (n *Node) pastDrainGrace(r *request) bool {
	return !n.drainStartedAt.IsZero() && r.readAt.After(n.drainStartedAt.Add(duration(n.opts.Settings.DrainGrace)))
}

// answeredForKill says whether what is read now comes after answerAll: nobody would answer it before the kill.
func (n *Node) answeredForKill(now time.Time) bool {
	return !n.drainStartedAt.IsZero() && !now.Before(n.killAt.Add(-n.opts.Limits.KillMargin))
}
