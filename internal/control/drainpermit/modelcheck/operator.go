package modelcheck

import (
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
)

// releaseName is the name of the release in runs with a release, and in operators' requests that imitate one.
const releaseName = "r"

// halts are the names of the halts that operators set.
var halts = []string{fleetstate.HaltAll, releaseName}

// halt sets a halt as an operator. It is acknowledged after a lease duration, when no start window is open any
// more, unless it was ended or set again meanwhile.
func (w *world) halt(haltName string) {
	key := fleetstate.HaltKeyPrefix + haltName
	w.write(key, "op")
	at, version := w.now, w.store.Get(key).Version
	w.after(LeaseTerms.Duration, func() {
		if w.store.Get(key).Version == version && w.haltedAt[haltName] == 0 {
			w.counts[countHalted]++
			w.haltedAt[haltName] = at + LeaseTerms.Duration
		}
	})
}

// resume ends a halt as an operator.
func (w *world) resume(haltName string) {
	delete(w.haltedAt, haltName)
	if key := fleetstate.HaltKeyPrefix + haltName; w.store.Get(key).Version > 0 {
		w.write(key, "")
	}
}

// runOperator carries out a random action of an operator: it requests or withdraws a drain, halts or resumes.
func (w *world) runOperator() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	key := fleetstate.RequestKey(n.name)
	switch x := w.random.IntN(20); {
	case x < 8 && w.store.Get(key).Version == 0:
		w.write(key, fleetstate.Encode(w.randomRequest()))
	case x < 10 && w.store.Get(key).Version > 0:
		w.write(key, "")
	case x == 12:
		w.halt(halts[w.random.IntN(len(halts))])
	case x < 18:
		for _, haltName := range halts {
			if w.random.IntN(2) == 0 {
				w.resume(haltName)
			}
		}
	}
}

// randomRequest draws a drain request: of an operator, with or without an expiry, or in the name of a release.
func (w *world) randomRequest() fleetstate.DrainRequest {
	request := fleetstate.DrainRequest{ID: w.newID(), RequestedBy: "op", Urgent: w.random.IntN(4) == 0}
	if w.random.IntN(2) == 0 {
		request.ReleaseName, request.TargetVersion = releaseName, fmt.Sprint("v", w.random.IntN(3))
	} else if w.random.IntN(3) == 0 {
		request.ExpiresAtMS = (w.now + time.Duration(w.random.IntN(20))*time.Second).Milliseconds()
	}
	return request
}
