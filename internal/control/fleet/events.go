package fleet

// Events of a participant (faulthooks.Event). Test rigs read them from files, so their texts must not change.
const (
	eventLeaseHeld      = "holds"
	eventLeaseGivenUp   = "gives"
	eventStepRun        = "does"
	eventStateApplied   = "applied"
	eventPermitStarted  = "begins out"
	eventPermitResumed  = "goes on out" // out of service under a permit that a previous process started
	eventPermitLate     = "late"        // the node did not go out of service under the permit
	eventPermitReturned = "warm"
	eventInService      = "enters"
	eventReplaced       = "replaced"
	eventReleaseHalted  = "halts"
	eventReleaseUpdated = "release"
)
