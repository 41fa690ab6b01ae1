package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/control/fencing"
	"sloehitch/internal/ledger"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/faulthooks"
)

// appliedKey is where the last applied state lies in a node's ledger, beside the tokens that package fence keeps there.
const appliedKey = "desired"

// stateApplier is a node's side of what the fleet wants of it. It is not safe for concurrent use.
type stateApplier struct {
	ledger   *ledger.Store // nil: it forgets with the process
	gate     *fencing.Guard
	follower *desiredstate.Follower
	apply    func(desiredstate.State)
}

// newStateApplier goes on from what the node's ledger has: the state that was applied last is applied again, before the store is heard.
func newStateApplier(l *ledger.Store, apply func(desiredstate.State)) (*stateApplier, error) {
	w := &stateApplier{ledger: l, apply: apply}
	var memory fencing.TokenStore
	var last desiredstate.Applied
	if l != nil {
		memory = fencing.LedgerTokenStore{Ledger: l}
		text, err := l.Get([]byte(appliedKey))
		if err == nil {
			err = json.Unmarshal(text, &last)
		}
		if err != nil && !errors.Is(err, ledger.ErrNotFound) {
			return nil, fmt.Errorf("the state applied last can't be read: %w", err)
		}
	}
	var err error
	if w.gate, err = fencing.New(memory); err != nil {
		return nil, err
	}
	w.follower = desiredstate.NewFollower(last)
	if last.State != (desiredstate.State{}) {
		apply(last.State)
	}
	return w, nil
}

// observe takes the document as it was read; version 0: there was none at that revision. An error says why it was not applied; it is
// told once for each version.
func (w *stateApplier) observe(text string, version, revision uint64) (applied bool, err error) {
	a, verdict, err := w.follower.Observe(text, version, revision)
	if verdict != desiredstate.Apply {
		return false, err
	}
	do := func() error {
		if w.ledger != nil { // first, so that a node that starts anew goes on from it
			kept, err := json.Marshal(a)
			if err != nil { // strings and numbers always marshal
				panic(err)
			}
			if err := w.ledger.Put([]byte(appliedKey), kept, time.Time{}); err != nil {
				return err
			}
		}
		w.apply(a.State)
		w.follower.MarkApplied(a)
		return nil
	}
	if a.State.Task == "" {
		err = do()
	} else {
		err = w.gate.Do(a.State.Task, a.State.Token, do)
	}
	var stale *fencing.StaleTokenError
	switch {
	case err == nil:
		return true, nil
	case errors.As(err, &stale):
		w.follower.MarkRejected(a)
		return false, err
	}
	return false, fmt.Errorf("%w: %w", errNotPersisted, err)
}

// errNotPersisted says that a state could not be put on the node's disk, so that it was not applied: it is to be tried again.
var errNotPersisted = errors.New("it can't be kept")

// followDesiredState pulls what is wanted of this node until the context ends. With the store away it goes on as it is.
func (f *Participant) followDesiredState(ctx context.Context) {
	key := desiredstate.KeyPrefix + f.options.Name
	var at uint64
	read := false
	see := func(text string, version, revision uint64) error {
		f.mu.Lock()
		applied, err := f.applier.observe(text, version, revision)
		last := f.applier.follower.LastApplied()
		f.mu.Unlock()
		if err != nil {
			f.log.Warn("what the fleet wants of this node was not applied", err)
		}
		if applied {
			f.options.OnEvent(faulthooks.Event{What: "applied", Duty: last.State.Task, ID: fmt.Sprint(last.State.Token), N: last.Version, Out: last.State.OutOfService})
			f.options.Log.Info("what the fleet wants of this node was applied", "out", last.State.OutOfService, "version", last.Version, "by", last.State.RequestedBy, "why", last.State.Reason, "duty", last.State.Task, "token", last.State.Token)
		}
		if !errors.Is(err, errNotPersisted) {
			return nil // what was turned down stays so
		}
		return err
	}
	for ctx.Err() == nil {
		var err error
		c, turn := f.preferredClient()
		if !read {
			at, err = readDesiredState(c, key, see)
			read = err == nil
		}
		if read {
			at, read, err = watchDesiredState(c, key, at, see)
		}
		if err != nil {
			f.skipMember(turn)
			select {
			case <-ctx.Done():
			case <-time.After(f.options.RetryDelay):
			}
		}
	}
}

// readDesiredState reads the document anew, from the member that is asked first as it has it: an older one than before changes nothing.
func readDesiredState(c store.Client, key string, see func(text string, version, revision uint64) error) (revision uint64, err error) {
	d, seen, err := c.Document(key, true)
	if err != nil {
		return 0, err
	}
	if seen.AgeMS < 0 {
		return 0, errors.New("this member has heard of no leader")
	}
	return seen.Revision, see(d.Value, d.Version, seen.Revision)
}

// watchDesiredState waits for changes of the document after a revision, and returns the one to go on from. Not going: the document is to
// be read anew, since not all that came between is remembered.
func watchDesiredState(c store.Client, key string, after uint64, see func(text string, version, revision uint64) error) (revision uint64, going bool, err error) {
	changes, seen, forgotten, err := c.Changes(key, after, c.Timeout/2)
	if err != nil {
		return after, true, err
	}
	for _, x := range changes {
		switch {
		case x.Key != key: // of a node whose name begins so
			continue
		case x.Deleted:
			err = see("", 0, x.Revision)
		default:
			err = see(x.Value, x.Revision, x.Revision)
		}
		if err != nil {
			return after, false, err
		}
	}
	return max(after, seen.Revision), !forgotten, nil
}
