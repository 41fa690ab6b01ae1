package modelcheck

import (
	"slices"
	"time"

	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/store/document"
)

// granter is a candidate for the task of granting permits.
type granter struct {
	candidate
	controller drainpermit.Controller
}

// runGranter runs a granter for a tick.
func (w *world) runGranter(g *granter) {
	if g.busyUntil > w.now {
		return
	}
	held, acquired := w.holdLease(&g.candidate, grantTask)
	if acquired {
		g.controller = drainpermit.Controller{Terms: LeaseTerms, MinReady: w.minReady()}
		w.counts[countGranters]++
	}
	if !held || acquired {
		return
	}
	view, versions := w.readView(&g.candidate)
	decision := g.controller.Decide(view, w.clock(g.clockRate))
	w.counts[countRejected] += len(decision.Rejected)
	g.busyUntil = w.now + tick
	if !w.faultsOver {
		g.busyUntil += time.Duration(w.random.IntN(1500)) * time.Millisecond
	}
	transactions := decision.Transactions(view, versions, grantTask, g.token, "keeper", w.newID)
	delay := w.randomStall()
	for i := range transactions {
		w.mutateGrant(&transactions[i])
	}
	w.send(&g.candidate, transactions, delay)
}

// mutateGrant applies the mutant to a granter's transaction.
func (w *world) mutateGrant(t *document.Transaction) {
	switch {
	case w.mutant == mutantGrantsOnStaleCount && len(t.Conditions) > 3:
		t.Conditions = slices.DeleteFunc(t.Conditions, isGrantGuard)
	case w.mutant == mutantRemovesStarted && t.Reason == removedReason:
		t.Conditions = nil
	}
}
