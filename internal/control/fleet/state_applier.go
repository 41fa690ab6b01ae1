package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/control/fencing"
	"sloehitch/internal/ledger"
)

// appliedKey is the ledger key of the state that was applied last.
const appliedKey = "desired"

// errNotPersisted is returned for a state that was not applied because it could not be persisted. The document must
// be observed again.
var errNotPersisted = errors.New("desired state could not be persisted")

// stateApplier applies the node's desired state. It persists a state before applying it, and rejects states whose
// fencing token is stale. It is not safe for concurrent use.
type stateApplier struct {
	ledger   *ledger.Store // if nil, the applied state is lost when the process ends
	guard    *fencing.Guard
	follower *desiredstate.Follower
	apply    func(desiredstate.State)
}

// newStateApplier continues from the state in the ledger, which it applies again without waiting for the store.
func newStateApplier(l *ledger.Store, apply func(desiredstate.State)) (*stateApplier, error) {
	s := &stateApplier{ledger: l, apply: apply}
	last, err := readApplied(l)
	if err != nil {
		return nil, err
	}
	var tokens fencing.TokenStore
	if l != nil {
		tokens = fencing.LedgerTokenStore{Ledger: l}
	}
	if s.guard, err = fencing.New(tokens); err != nil {
		return nil, err
	}
	s.follower = desiredstate.NewFollower(last)
	if last.State != (desiredstate.State{}) {
		apply(last.State)
	}
	return s, nil
}

// readApplied reads the state that was applied last. It returns the zero value if there is none.
func readApplied(l *ledger.Store) (last desiredstate.Applied, err error) {
	if l == nil {
		return last, nil
	}
	text, err := l.Get([]byte(appliedKey))
	if errors.Is(err, ledger.ErrNotFound) {
		return last, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &last)
	}
	if err != nil {
		return last, fmt.Errorf("cannot read the last applied desired state from the ledger: %w", err)
	}
	return last, nil
}

// observe handles the node's document as it was read at a revision. version is 0 if the document was absent. It
// returns whether a state was applied, and an error if the document was rejected. An error is returned only once
// per version, except errNotPersisted, which is returned each time.
func (s *stateApplier) observe(text string, version, revision uint64) (applied bool, err error) {
	next, decision, err := s.follower.Observe(text, version, revision)
	if decision != desiredstate.Apply {
		return false, err
	}
	if next.State.Task == "" {
		err = s.persistAndApply(next)
	} else {
		err = s.guard.Do(next.State.Task, next.State.Token, func() error { return s.persistAndApply(next) })
	}
	var stale *fencing.StaleTokenError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &stale):
		s.follower.MarkRejected(next)
		return false, err
	}
	return false, fmt.Errorf("%w: %w", errNotPersisted, err)
}

// persistAndApply applies a state after persisting it, so that the node's next process continues from it.
func (s *stateApplier) persistAndApply(next desiredstate.Applied) error {
	if s.ledger != nil {
		text, err := json.Marshal(next)
		if err != nil { // strings and numbers always marshal
			panic(err)
		}
		if err := s.ledger.Put([]byte(appliedKey), text, time.Time{}); err != nil {
			return err
		}
	}
	s.apply(next.State)
	s.follower.MarkApplied(next)
	return nil
}
