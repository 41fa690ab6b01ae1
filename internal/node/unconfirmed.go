package node

import (
	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// Unconfirmed tells that nobody can tell whether the runner was told to start a run, or, where call is not 0, to go on with it with the
// reply to the call of that notice. Neither is said again: the run may be on, or over with the word of its end on the way. A run goes on
// without its call where the class allows that, since leaving a call out names the call and does nothing to any other. What else comes of
// it is waited for until the request is due.
func (n *Node) Unconfirmed(id string, call uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.stage != runs {
		return
	}
	n.trace("nobody can tell whether the runner was told", r, "call", call)
	if call != 0 && n.opts.Settings.Classes[r.Class].DegradedWorth > 0 {
		r.Runner.Omit(r.ID, call)
		return
	}
	r.lost = true
}

// Refusal is how a front is to answer a request of the named class with this key (empty: none) that it can't submit. A refusal says that the request never ran:
// of a key that was run here that can't be said.
func (n *Node) Refusal(class, key string) Kind {
	if key == "" {
		return Refused
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.keys.entries[key]; e != nil && e.ran && e.live(n.opts.Clock.Now(), n.keys.slack) {
		return Failed
	}
	if s, ok := n.opts.Journal.(Sharer); ok {
		if _, held := s.Find(Booking{Class: class, Key: key}); held {
			return Failed
		}
	}
	return Refused
}

// writeOff ends a run of which no end may ever be told, once its request has its answer: the module would count it among what runs for ever
// after. Its key stays taken, since it may have run. The module hears of no failure, as nothing is known of one.
func (n *Node) writeOff(r *request) {
	if !r.lost || !r.settled || r.stage != runs {
		return
	}
	n.trace("its run is written off", r)
	n.opts.Gate.Report(admission.Ended(r.num, logic.Moot, 0))
	n.conclude(r, logic.Failed, nil)
}
