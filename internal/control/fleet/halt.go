package fleet

import (
	"crypto/rand"
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

// Halt has nothing of something begin to go out by choice any more: of a release, or permit.All. It returns once that holds everywhere,
// however late a process wakes up: what had its beginning agreed on before the halt was either goes out by now or is past its window.
// It blocks for a window at the most, and returns how many permits there are. With an error it may be halted all the same, and is to be
// asked for again.
func Halt(ask store.Client, what, by, why string) (permits int, err error) {
	if _, err := ask.Commit(document.Transaction{ID: rand.Text(), Author: by, Reason: "halt " + what + ": " + why, Operations: []document.Operation{{Key: fleetstate.HaltKeyPrefix + what, Value: by + ": " + why}}}); err != nil {
		return 0, fmt.Errorf("%w; it may have been halted: ask again until it is certain", err)
	}
	halted := time.Now()
	for {
		docs, _, err := ask.Documents(fleetstate.DrainKeyPrefix, false)
		if err != nil {
			return 0, fmt.Errorf("%w; it is halted, and what was begun before may still go out: ask again until it is certain", err)
		}
		v, _, err := fleetstate.DecodeView(docs, fleetstate.DefaultDecoder, halted.UnixMilli())
		if err != nil {
			return 0, err
		}
		open := false
		for name, p := range v.Permits {
			mine := what == fleetstate.HaltAll || v.Requests[name].ReleaseName == what
			open = open || mine && p.State == fleetstate.PermitStarted && time.Since(halted) < time.Duration(p.StartWindowMS)*time.Millisecond
		}
		if !open {
			return len(v.Permits), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}
