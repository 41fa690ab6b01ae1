package fleet

import (
	"context"
	"errors"
	"fmt"

	"sloehitch/internal/control/desiredstate"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/faulthooks"
)

// observeState handles the desired state's document as it was read at a revision. version is 0 if the document was
// absent. After an error the document must be read again.
type observeState func(text string, version, revision uint64) error

// followDesiredState applies this node's desired state from the store until the context ends. While the store is
// unreachable the node keeps its state.
func (p *Participant) followDesiredState(ctx context.Context) {
	key := desiredstate.KeyPrefix + p.options.Name
	var revision uint64
	read := false // the document has been read, and changes since the revision are known
	for ctx.Err() == nil {
		var err error
		c, memberIndex := p.preferredClient()
		if !read {
			revision, err = readDesiredState(c, key, p.observeDesiredState)
			read = err == nil
		}
		if read {
			revision, read, err = watchDesiredState(c, key, revision, p.observeDesiredState)
		}
		if err != nil {
			p.skipMember(memberIndex)
			p.pause(ctx)
		}
	}
}

// observeDesiredState applies a document and logs the result. It returns only errors that wrap errNotPersisted,
// because reading a rejected state again does not help.
func (p *Participant) observeDesiredState(text string, version, revision uint64) error {
	p.mu.Lock()
	applied, err := p.applier.observe(text, version, revision)
	last := p.applier.follower.LastApplied()
	p.mu.Unlock()
	if err != nil {
		p.log.Warn("desired state not applied", err)
	}
	if applied {
		state := last.State
		p.options.OnEvent(faulthooks.Event{
			What: eventStateApplied, Duty: state.Task, ID: fmt.Sprint(state.Token), N: last.Version, Out: state.OutOfService})
		p.options.Log.Info("desired state applied", "out", state.OutOfService, "version", last.Version,
			"by", state.RequestedBy, "reason", state.Reason, "task", state.Task, "token", state.Token)
	}
	if !errors.Is(err, errNotPersisted) {
		return nil
	}
	return err
}

// readDesiredState reads the document from one member, which may be older than the applied state. It returns the
// revision to watch from.
func readDesiredState(c store.Client, key string, observe observeState) (revision uint64, err error) {
	d, status, err := c.Document(key, true)
	if err != nil {
		return 0, err
	}
	if status.AgeMS < 0 {
		return 0, errNoLeader
	}
	return status.Revision, observe(d.Value, d.Version, status.Revision)
}

// watchDesiredState waits for changes of the document after a revision, and returns the revision to watch from
// next. complete is false if changes may have been missed, so that the document must be read again.
func watchDesiredState(c store.Client, key string, after uint64, observe observeState) (revision uint64, complete bool, err error) {
	changes, status, forgotten, err := c.Changes(key, after, c.Timeout/2)
	if err != nil {
		return after, true, err
	}
	for _, change := range changes {
		switch {
		case change.Key != key: // of a node whose name has this node's name as a prefix
			continue
		case change.Deleted:
			err = observe("", 0, change.Revision)
		default:
			err = observe(change.Value, change.Revision, change.Revision)
		}
		if err != nil {
			return after, false, err
		}
	}
	return max(after, status.Revision), !forgotten, nil
}
