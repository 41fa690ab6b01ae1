package node

import (
	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// DeliveryUnconfirmed reports that a command to a run may not have reached its runner: the start, or, where call is
// not 0, the reply to the call of that notice. Neither is sent again, as the run may be on, or over with the report
// of its end on the way. A run continues without its call where the class allows that: a skip names its call and
// affects no other. What else comes of the run is waited for until the request's deadline.
func (n *Node) DeliveryUnconfirmed(id string, callNotice uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	if r == nil || r.stage != stageRunning {
		return
	}
	n.trace("delivery of a command unconfirmed", r, "call", callNotice)
	if callNotice != 0 && n.opts.Settings.Classes[r.Class].DegradedWeightShare > 0 {
		r.Runner.SkipCall(r.ID, callNotice)
		return
	}
	r.unconfirmed = true
}

// abandonRun ends an unconfirmed run once its request is answered: admission would count it as running for ever. Its
// key stays claimed, since it may have run. No failure is reported to admission, as none is known.
func (n *Node) abandonRun(r *request) {
	if !r.unconfirmed || !r.settled || r.stage != stageRunning {
		return
	}
	n.trace("run abandoned", r)
	n.opts.Admission.Report(admission.RunEnded(r.number, logic.OutcomeNotStarted, 0))
	n.completeRun(r, logic.OutcomeFailed, nil)
}
