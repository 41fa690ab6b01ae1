package modelcheck

import (
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
)

// releaseName is the name of the release, in runs that have one, and in requests of operators that act as one.
const releaseName = "r"

// halts are what operators halt.
var halts = []string{fleetstate.HaltAll, releaseName}

// halt has an operator halt something. The halt is acknowledged after a lease duration, once no start window
// is open, unless it was resumed or halted again meanwhile.
func (w *world) halt(what string) {
	key := fleetstate.HaltKeyPrefix + what
	w.write(key, "op")
	at, version := w.now, w.store.Get(key).Version
	w.after(LeaseTerms.Duration, func() {
		if w.store.Get(key).Version == version && w.haltedAt[what] == 0 {
			w.counts[countHalted]++
			w.haltedAt[what] = at + LeaseTerms.Duration
		}
	})
}

// resume has an operator end a halt.
func (w *world) resume(what string) {
	delete(w.haltedAt, what)
	if key := fleetstate.HaltKeyPrefix + what; w.store.Get(key).Version > 0 {
		w.write(key, "")
	}
}

// runOperator has an operator request, withdraw, halt or resume something.
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
		for _, what := range halts {
			if w.random.IntN(2) == 0 {
				w.resume(what)
			}
		}
	}
}

// randomRequest draws a drain request: of an operator, with or without an end, or as of a release.
func (w *world) randomRequest() fleetstate.DrainRequest {
	request := fleetstate.DrainRequest{ID: w.newID(), RequestedBy: "op", Urgent: w.random.IntN(4) == 0}
	if w.random.IntN(2) == 0 {
		request.ReleaseName, request.TargetVersion = releaseName, fmt.Sprint("v", w.random.IntN(3))
	} else if w.random.IntN(3) == 0 {
		request.ExpiresAtMS = (w.now + time.Duration(w.random.IntN(20))*time.Second).Milliseconds()
	}
	return request
}
