package modelcheck

import (
	"strings"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// checkBudgets checks that the number of voluntarily unavailable members of each group is within its budget.
// A node counts from when it goes out until it has been back and healthy for most of the minimum ready time.
func (w *world) checkBudgets() {
	const backAfter = minReady * 9 / 10 // less than minReady, because the node measures on its own clock, which may run fast
	var members []disruption.Member
	for _, n := range w.nodes {
		member := disruption.Member{Name: n.name, Labels: map[string]string{"zone": n.zone}}
		notBack := n.outOfService || n.restartAt > 0 || !w.healthy(n) || w.now-n.healthySince < backAfter
		n.voluntary = n.voluntary && notBack
		if n.voluntary {
			member.Availability = disruption.HoldsPermit
		}
		members = append(members, member)
	}
	if exceeded := disruption.Exceeded(w.budgets, members); len(exceeded) > 0 {
		w.fail("more nodes voluntarily out of service than the budgets allow: %v", exceeded)
	}
}

// checkHalts checks that no halt of the request was acknowledged before the node goes out of service for it.
func (w *world) checkHalts(n *node, request *fleetstate.DrainRequest) {
	for _, haltName := range []string{fleetstate.HaltAll, request.ReleaseName} {
		if at, halted := w.haltedAt[haltName]; halted && haltName != "" {
			w.fail("%s went out of service %v after a halt of %q was acknowledged", n.name, w.now-at, haltName)
		}
	}
}

// drainDocuments returns the drain requests or permits, by the suffix of their keys.
func (w *world) drainDocuments(suffix string) (docs []document.Document) {
	for _, d := range w.store.List(fleetstate.DrainKeyPrefix) {
		if strings.HasSuffix(d.Key, suffix) {
			docs = append(docs, d)
		}
	}
	return docs
}

// idle reports whether no drain request and no permit is left, except failed requests, and the release has ended.
func (w *world) idle() bool {
	if w.rollout != nil && !w.rollout.ended(w) {
		return false
	}
	for _, d := range w.drainDocuments("/ask") {
		if decodeCached(w, w.requests, d).FailureReason == "" {
			return false
		}
	}
	return len(w.drainDocuments("/permit")) == 0
}
