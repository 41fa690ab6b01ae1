package modelcheck

import (
	"strings"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store/document"
)

// checkBudgets checks that no more members of a group are out of service voluntarily than its budget allows.
// A node counts from when it goes out until it has been back, healthy, for most of the minimum ready time.
func (w *world) checkBudgets() {
	const backAfter = minReady * 9 / 10 // the node measures on a clock of its own
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
		w.fail("too many out by choice: %v", exceeded)
	}
}

// checkHalts checks that a node that goes out of service by a request does not do so after a halt was acknowledged.
func (w *world) checkHalts(n *node, request *fleetstate.DrainRequest) {
	for _, what := range []string{fleetstate.HaltAll, request.ReleaseName} {
		if at, halted := w.haltedAt[what]; halted && what != "" {
			w.fail("%s began to go out, %v after a halt of %q was acknowledged", n.name, w.now-at, what)
		}
	}
}

// drainDocuments returns the documents of drains whose keys end with suffix.
func (w *world) drainDocuments(suffix string) (docs []document.Document) {
	for _, d := range w.store.List(fleetstate.DrainKeyPrefix) {
		if strings.HasSuffix(d.Key, suffix) {
			docs = append(docs, d)
		}
	}
	return docs
}

// idle says whether every request has come to its end, nobody is out of service, and the release has ended.
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
