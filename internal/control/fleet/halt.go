package fleet

import (
	"crypto/rand"
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

// When a halt is in force on all nodes.
//
// Inputs: the permits that the halt covers, and the time since the halt was committed, on this process's clock. A
// halt is in force once no start window (StartWindowMS) of a permit is open. A window counts as open if
//
//	the permit is started and not yet out of service, and time since the halt < start window
//
// Why: a permit cannot be started after the halt, because that transaction requires that there is no halt. A node
// measures its window from before it sends the transaction. So the window of a permit that was started before the
// halt ends before this wait does, however long the node's process was stalled.

// haltPollInterval is the interval at which the permits are read while a window is open.
const haltPollInterval = 50 * time.Millisecond

// Halt halts a release, or all drains and releases (fleetstate.HaltAll). It returns once the halt is in force on
// all nodes, with the number of permits that exist. It blocks for at most a start window. After an error the halt
// may have been committed nevertheless, so the call must be repeated.
func Halt(client store.Client, name, by, reason string) (permits int, err error) {
	t := document.Transaction{ID: rand.Text(), Author: by, Reason: "halt " + name + ": " + reason,
		Operations: []document.Operation{{Key: fleetstate.HaltKeyPrefix + name, Value: by + ": " + reason}}}
	if _, err := client.Commit(t); err != nil {
		return 0, fmt.Errorf("%w; the halt may have been committed: repeat it until it succeeds", err)
	}
	haltedAt := time.Now()
	for {
		docs, _, err := client.Documents(fleetstate.DrainKeyPrefix, false)
		if err != nil {
			return 0, fmt.Errorf("%w; the halt is committed, but nodes with a started permit may still go out: repeat it until it succeeds", err)
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

// startWindowOpen reports whether a node may still go out of service under a permit that was started before the
// halt.
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
