package modelcheck

import (
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// removedReason is the reason of transactions that remove a permit.
const removedReason = "a permit ends"

// Mutants of drains.
const (
	mutantIgnoresHalt          = "halt not looked at"
	mutantStartsStalePermit    = "old permit still good"
	mutantIgnoresWindow        = "window not counted"
	mutantGrantsOnStaleCount   = "counted before others were granted"
	mutantRemovesStarted       = "lapse frees a begun permit"
	mutantWarmingUpIsAvailable = "warming counts as in"
)

// Mutants of releases.
const (
	mutantRequestIgnoresHalt    = "halt not looked at before a step"
	mutantRequestWithoutLease   = "step of an overtaken owner"
	mutantRollbackIgnoresBudget = "way back ignores the budget"
	mutantUnpairedAnalysis      = "judgement without pairing"
)

// Mutants are the program faults that Run and RunFleet can simulate.
var Mutants = []string{
	mutantIgnoresHalt, mutantStartsStalePermit, mutantIgnoresWindow, mutantGrantsOnStaleCount, mutantRemovesStarted, mutantWarmingUpIsAvailable,
}

// ReleaseMutants are the program faults that RunRelease can simulate.
var ReleaseMutants = []string{
	mutantRequestIgnoresHalt, mutantRequestWithoutLease, mutantRollbackIgnoresBudget, mutantUnpairedAnalysis,
}

// isGrantGuard reports whether a condition prevents grants that were decided on an outdated count.
func isGrantGuard(c document.Condition) bool {
	return c.Key == fleetstate.LastGrantKey || c.Task != ""
}

// mutateStart applies the mutant to a transaction that starts a permit.
func (w *world) mutateStart(t *document.Transaction) {
	if w.mutant == mutantIgnoresHalt {
		t.Conditions = t.Conditions[:2]
	}
	if w.mutant == mutantStartsStalePermit {
		t.Conditions = nil
	}
}
