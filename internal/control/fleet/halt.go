package fleet

import (
	"crypto/rand"
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

// When a halt holds everywhere.
//
// Inputs: the permits that the halt covers, and the time since it was committed, on this process's clock. A
// halt holds once each permit that is started and not yet out of service was started more than its start
// window (StartWindowMS) ago at the latest:
//
//	open = state is started, and time since the halt < start window
//
// Why: a permit cannot be started after the halt, since its absence is a condition of that. A node counts its
// window from before it asked, so the window of a permit that was started before the halt ends before this
// wait does, however late the process wakes up.

// haltPollInterval is how often the permits are read while a window is open.
const haltPollInterval = 50 * time.Millisecond

// Halt keeps a release, or everything (fleetstate.HaltAll), from being started. It returns once that holds
// everywhere, and how many permits there are. It blocks for a start window at most. With an error it may be
// halted all the same: ask again.
func Halt(client store.Client, name, by, reason string) (permits int, err error) {
	t := document.Transaction{ID: rand.Text(), Author: by, Reason: "halt " + name + ": " + reason,
		Operations: []document.Operation{{Key: fleetstate.HaltKeyPrefix + name, Value: by + ": " + reason}}}
	if _, err := client.Commit(t); err != nil {
		return 0, fmt.Errorf("%w; it may have been halted: ask again until it is certain", err)
	}
	haltedAt := time.Now()
	for {
		docs, _, err := client.Documents(fleetstate.DrainKeyPrefix, false)
		if err != nil {
			return 0, fmt.Errorf("%w; it is halted, and what was begun before may still go out: ask again until it is certain", err)
		}
		view, _, err := fleetstate.DecodeView(docs, fleetstate.DefaultDecoder, haltedAt.UnixMilli())
		if err != nil {
			return 0, err
		}
		if !startWindowOpen(view, name, haltedAt) {
			return len(view.Permits), nil
		}
		time.Sleep(haltPollInterval)
	}
}

// startWindowOpen says whether a node may still go out of service by a permit that was started before the halt.
func startWindowOpen(view fleetstate.View, halt string, haltedAt time.Time) bool {
	for member, permit := range view.Permits {
		covered := halt == fleetstate.HaltAll || view.Requests[member].ReleaseName == halt
		window := time.Duration(permit.StartWindowMS) * time.Millisecond
		if covered && permit.State == fleetstate.PermitStarted && time.Since(haltedAt) < window {
			return true
		}
	}
	return false
}
