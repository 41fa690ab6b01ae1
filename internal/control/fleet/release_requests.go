package fleet

import (
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/release"
	"sloehitch/internal/store"
	"sloehitch/internal/store/document"
)

// A rollback is retried if the release's controller writes at the same time.
const (
	rollBackAttempts   = 5
	rollBackRetryDelay = 20 * time.Millisecond
)

// StartRelease writes a release to the store. The holder of the release task's lease then rolls it out to the fleet.
// The error is store.ErrConflict if a release of that name is active, or if it is halted. A release that has ended
// is overwritten. StartRelease blocks for at most the client's timeout per request.
func StartRelease(client store.Client, r release.Release) error {
	if err := r.Validate(); err != nil {
		return err
	}
	existing, _, err := client.Document(release.KeyPrefix+r.Name, false)
	if err != nil {
		return err
	}
	if existing.Version > 0 {
		earlier, err := release.Decode(existing)
		if err != nil || earlier.Active() {
			return fmt.Errorf("%w: release %s exists and has not ended", store.ErrConflict, r.Name)
		}
	}
	reason := "release " + r.Name + " to " + r.TargetVersion + ": " + r.Reason
	_, err = client.Commit(document.Transaction{ID: rand.Text(), Author: r.RequestedBy, Reason: reason,
		Conditions: []document.Condition{{Key: existing.Key, Version: existing.Version}, {Key: fleetstate.HaltKeyPrefix + r.Name}},
		Operations: []document.Operation{{Key: existing.Key, Value: fleetstate.Encode(r)}}})
	return err
}

// RollBackRelease makes a release roll back: updated nodes get their previous version back, the latest wave first,
// under the same budgets. It ends a halt of the release. It blocks for up to a few times the client's timeout.
func RollBackRelease(client store.Client, name, by, reason string) error {
	for range rollBackAttempts {
		if err := tryRollBack(client, name, by, reason); !errors.Is(err, store.ErrConflict) {
			return err
		}
		time.Sleep(rollBackRetryDelay)
	}
	return fmt.Errorf("%w: the release changed during every attempt; try again", store.ErrConflict)
}

// tryRollBack reads the release and writes it as rolling back. The error is store.ErrConflict if the release has
// changed in between.
func tryRollBack(client store.Client, name, by, reason string) error {
	existing, _, err := client.Document(release.KeyPrefix+name, false)
	if err != nil {
		return err
	}
	r, err := release.Decode(existing)
	if err != nil {
		return err
	}
	halt, _, err := client.Document(fleetstate.HaltKeyPrefix+name, false)
	if err != nil {
		return err
	}
	if r.State == release.RolledBack {
		return fmt.Errorf("release %s is already rolled back", name)
	}
	r.State, r.Note = release.RollingBack, "back, by "+by+": "+reason
	t := document.Transaction{ID: rand.Text(), Author: by, Reason: "release " + name + " goes back: " + reason,
		Conditions: []document.Condition{{Key: existing.Key, Version: existing.Version}, {Key: halt.Key, Version: halt.Version}},
		Operations: []document.Operation{{Key: existing.Key, Value: fleetstate.Encode(r)}}}
	if halt.Version > 0 {
		t.Operations = append(t.Operations, document.Operation{Key: halt.Key, Delete: true})
	}
	_, err = client.Commit(t)
	return err
}
