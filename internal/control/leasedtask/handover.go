package leasedtask

// Rule: when a candidate releases its lease voluntarily.
//
// Inputs: the record, whether the runner was told to stop, and whether a read, write or step is pending.
//
//	release = (job finished || job superseded || told to stop) && nothing pending
//
// A lease that is held is handed over first: the claim stops, and then the release is sent, so that no step begins after the
// store may have granted the lease to another candidate. The hand-over saves the next owner from waiting for the lease to
// expire.

// StopAfterStep makes the runner stop after the step in progress, if any, and hand the lease over.
func (r *Runner) StopAfterStep() { r.stopping = true }

// mayStop reports whether the runner can stop: no operation is pending, and it was told to stop or has nothing left to do.
func (r *Runner) mayStop() bool {
	if r.operationPending {
		return false
	}
	return r.stopping || r.recordKnown && (r.record.Finished() || r.superseded)
}

// stopAction returns the hand-over of the lease if it is held and not yet handed over, and ActionStop otherwise.
func (r *Runner) stopAction(token uint64, holds bool) Action {
	if !holds || r.handedOver {
		return Action{Kind: ActionStop}
	}
	r.handedOver = true
	r.claim.Stop() // before the release is sent
	return Action{Kind: ActionHandOver, Token: token}
}
