package node

import (
	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// DeliveryUnconfirmed reports that a command to a run may not have reached its runner: the start, or, if callNotice is
// not 0, the reply to the call that this notice requested. Neither is sent again, as the run may be in progress, or may
// have ended with the report of its end on the way. If the class allows it, the run continues without the call; the
// skip command names the call and affects no other. Otherwise the end of the run is awaited until the request's
// deadline.
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

// abandonRun ends an unconfirmed run once its request is answered, since admission would otherwise count it as running
// forever. Its key stays claimed, since it may have run. It is not reported to admission as failed, since no failure is
// known.
func (n *Node) abandonRun(r *request) {
	if !r.unconfirmed || !r.settled || r.stage != stageRunning {
		return
	}
	n.trace("run abandoned", r)
	n.opts.Admission.Report(admission.RunEnded(r.number, logic.OutcomeNotStarted, 0))
	n.completeRun(r, logic.OutcomeFailed, nil)
}
