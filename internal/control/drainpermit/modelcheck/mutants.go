package modelcheck

import (
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// removedReason is the reason of the transaction that removes a permit.
const removedReason = "a permit ends"

// The mutants of the drains.
const (
	mutantIgnoresHalt          = "halt not looked at"
	mutantStartsOldPermit      = "old permit still good"
	mutantIgnoresWindow        = "window not counted"
	mutantGrantsOnOldCount     = "counted before others were granted"
	mutantRemovesStarted       = "lapse frees a begun permit"
	mutantWarmingUpIsAvailable = "warming counts as in"
)

// The mutants of releases.
const (
	mutantRequestIgnoresHalt    = "halt not looked at before a step"
	mutantRequestWithoutLease   = "step of an overtaken owner"
	mutantRollbackIgnoresBudget = "way back ignores the budget"
	mutantUnpairedAnalysis      = "judgement without pairing"
)

// Mutants are the faults of the program that Run and RunFleet can be given.
var Mutants = []string{
	mutantIgnoresHalt, mutantStartsOldPermit, mutantIgnoresWindow, mutantGrantsOnOldCount, mutantRemovesStarted, mutantWarmingUpIsAvailable,
}

// ReleaseMutants are the faults of the program that RunRelease can be given.
var ReleaseMutants = []string{
	mutantRequestIgnoresHalt, mutantRequestWithoutLease, mutantRollbackIgnoresBudget, mutantUnpairedAnalysis,
}

// isGrantGuard says whether a condition keeps grants from being decided on an old count.
func isGrantGuard(c document.Condition) bool {
	return c.Key == fleetstate.LastGrantKey || c.Task != ""
}

// mutateStart changes the transaction that starts a permit to what a faulty program would send.
func (w *world) mutateStart(t *document.Transaction) {
	if w.mutant == mutantIgnoresHalt {
		t.Conditions = t.Conditions[:2]
	}
	if w.mutant == mutantStartsOldPermit {
		t.Conditions = nil
	}
}
