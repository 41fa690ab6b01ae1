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

// How often a rollback is attempted while the release's controller writes at the same time, and the delay
// between attempts.
const (
	rollBackAttempts   = 5
	rollBackRetryDelay = 20 * time.Millisecond
)

// StartRelease writes a release to the store; the holder of the release task's lease takes it through the
// fleet. The error is store.ErrConflict if a release of that name is under way. One that has ended is
// overwritten. It blocks for the client's timeout.
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
			return fmt.Errorf("%w: there is a release %s that is not over", store.ErrConflict, r.Name)
		}
	}
	reason := "release " + r.Name + " to " + r.TargetVersion + ": " + r.Reason
	_, err = client.Commit(document.Transaction{ID: rand.Text(), Author: r.RequestedBy, Reason: reason,
		Conditions: []document.Condition{{Key: existing.Key, Version: existing.Version}, {Key: fleetstate.HaltKeyPrefix + r.Name}},
		Operations: []document.Operation{{Key: existing.Key, Value: fleetstate.Encode(r)}}})
	return err
}

// RollBackRelease has a release roll back: updated nodes get their previous version back, the latest wave
// first, under the same budgets. A halt of the release ends. It blocks for some of the client's timeouts.
func RollBackRelease(client store.Client, name, by, reason string) error {
	for range rollBackAttempts {
		if err := tryRollBack(client, name, by, reason); !errors.Is(err, store.ErrConflict) {
			return err
		}
		time.Sleep(rollBackRetryDelay)
	}
	return fmt.Errorf("%w: it changes all the time; ask again", store.ErrConflict)
}

// tryRollBack reads the release and writes it as rolling back. The error is store.ErrConflict if it has
// changed meanwhile.
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
		return fmt.Errorf("release %s has gone back already", name)
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
