package fleet

// The events that a participant tells of (faulthooks.Event). Test rigs read them from files, so their text
// does not change.
const (
	eventLeaseHeld      = "holds"
	eventLeaseGivenUp   = "gives"
	eventStepRun        = "does"
	eventStateApplied   = "applied"
	eventPermitStarted  = "begins out"
	eventPermitResumed  = "goes on out" // a permit that a process before this one started
	eventPermitLate     = "late"        // a permit that nobody went out by
	eventPermitReturned = "warm"
	eventInService      = "enters"
	eventReplaced       = "replaced"
	eventReleaseHalted  = "halts"
	eventReleaseUpdated = "release"
)
