package node

import (
	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// DeliveryUnconfirmed tells that nobody can tell whether the runner was told to start a run, or, where call is not 0, to go on with it with the
// reply to the call of that notice. Neither is said again: the run may be on, or over with the word of its end on the way. A run goes on
// without its call where the class allows that, since leaving a call out names the call and does nothing to any other. What else comes of
// it is waited for until the request is due.
func (n *Node) DeliveryUnconfirmed(id string, call uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.stage != stageRunning {
		return
	}
	n.trace("nobody can tell whether the runner was told", r, "call", call)
	if call != 0 && n.opts.Settings.Classes[r.Class].DegradedWeightShare > 0 {
		r.Runner.SkipCall(r.ID, call)
		return
	}
	r.unconfirmed = true
}

// RejectionStatus is how a front is to answer a request of the named class with this key (empty: none) that it can't submit. A refusal says that the request never ran:
// of a key that was run here that can't be said.
func (n *Node) RejectionStatus(class, key string) Status {
	if key == "" {
		return StatusRejected
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if e := n.keys.entries[key]; e != nil && e.started && e.inWindow(n.opts.Clock.Now(), n.keys.slack) {
		return StatusFailed
	}
	if s, ok := n.opts.Journal.(SharedJournal); ok {
		if _, held := s.Lookup(RunRecord{Class: class, Key: key}); held {
			return StatusFailed
		}
	}
	return StatusRejected
}

// abandonRun ends a run of which no end may ever be told, once its request has its answer: the module would count it among what runs for ever
// after. Its key stays taken, since it may have run. The module hears of no failure, as nothing is known of one.
func (n *Node) abandonRun(r *request) {
	if !r.unconfirmed || !r.settled || r.stage != stageRunning {
		return
	}
	n.trace("its run is written off", r)
	n.opts.Admission.Report(admission.RunEnded(r.number, logic.OutcomeNotStarted, 0))
	n.completeRun(r, logic.OutcomeFailed, nil)
}
