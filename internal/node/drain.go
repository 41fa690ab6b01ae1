package node

import (
	"time"

	"sloehitch/internal/admission"
)

// Leave is the notice that the process is to be stopped so long after it came. The grace and the kill count from the
// notice, however late the core hears of it. The module does not hear of it where it is quiet: another process of this
// node goes on, so callers are not to be kept away.
func (n *Node) Leave(notice time.Time, stop time.Duration, quiet bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaving.IsZero() {
		return
	}
	n.leaving, n.kill = notice, notice.Add(stop)
	left := max(0, n.kill.Sub(n.opts.Clock.Now()))
	if !quiet {
		n.opts.Gate.Report(admission.Leaving(left))
	}
	n.opts.Clock.AfterFunc(left-n.opts.Limits.KillSpare, n.answerAll)
}

// Owed is the number of requests that are owed an answer.
func (n *Node) Owed() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
}

// answerAll guards the end of a drain: all that was read is answered before the stop.
func (n *Node) answerAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.byID {
		if !r.settled {
			n.giveUp(r)
		}
	}
}

// tooLate says whether a request came too late after the notice to leave to be run. A caller tells when its first byte
// came; it has come when the last one has, and one that writes slowly may take long over it.
func (n *Node) tooLate(r *request) bool {
	return !n.leaving.IsZero() && r.read.After(n.leaving.Add(span(n.opts.Settings.DrainGrace)))
}

// over says whether what is read now comes after answerAll: nobody would answer it before the kill.
func (n *Node) over(now time.Time) bool {
	return !n.leaving.IsZero() && !now.Before(n.kill.Add(-n.opts.Limits.KillSpare))
}
