package leasedtask

// Rule: when a candidate gives its lease up by choice.
//
// Inputs: the record, whether the runner was told to stop, and whether a read, write or step is pending.
//
//	give up = (job finished || job superseded || told to stop) && nothing pending
//
// A lease that is held is handed over first: the claim stops, then the release is sent, so that no step is begun after the
// store may have granted the lease to another. Handing over spares the next owner the rest of the lease.

// StopAfterStep has the runner stop after the step that it runs, and hand the lease over.
func (r *Runner) StopAfterStep() { r.stopping = true }

// mayStop reports whether the runner has nothing left to do.
func (r *Runner) mayStop() bool {
	if r.operationPending {
		return false
	}
	return r.stopping || r.recordKnown && (r.record.Finished() || r.superseded)
}

// stopAction hands the lease over once, if it is held, and then stops.
func (r *Runner) stopAction(token uint64, holds bool) Action {
	if !holds || r.handedOver {
		return Action{Kind: ActionStop}
	}
	r.handedOver = true
	r.claim.Stop() // before the release is sent
	return Action{Kind: ActionHandOver, Token: token}
}
