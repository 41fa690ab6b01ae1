package store

import (
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/document"
)

// ageUnknown is ReadStatus.AgeMS on a member that has not heard of a leader.
const ageUnknown = -1

// ReadStatus is how far a read can be relied on.
type ReadStatus struct {
	Revision     uint64 `json:"revision"`
	Confirmed    bool   `json:"confirmed"`        // the member led as it read, confirmed by a majority: nothing acknowledged before is missing
	AgeMS        int64  `json:"age_ms,omitempty"` // else milliseconds since this member last heard of its leader; -1: it never did
	HistoryStart uint64 `json:"from"`             // all changes after this revision are remembered
}

// Documents returns the documents whose keys begin with a prefix. A confirmed read blocks for a Barrier and returns its error on
// any member but the leader; a local one never waits.
func (s *Store) Documents(prefix string, confirmed bool) ([]document.Document, ReadStatus, error) {
	if confirmed {
		if err := s.Barrier(); err != nil {
			return nil, ReadStatus{}, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.documents.List(prefix), s.readStatus(confirmed), nil
}

// readStatus returns how old this member's copy may be; the caller holds mu.
func (s *Store) readStatus(confirmed bool) ReadStatus {
	status := ReadStatus{
		Revision:     s.documents.Revision(),
		HistoryStart: s.documents.HistoryStart(),
		Confirmed:    confirmed || !s.clustered,
	}
	if !status.Confirmed {
		status.AgeMS = s.ageMS()
	}
	return status
}

// ageMS returns how old this member's copy may be, in milliseconds.
func (s *Store) ageMS() int64 {
	r := s.raft.Load()
	if r == nil {
		return ageUnknown
	}
	if r.State() == raft.Leader { // it may have been deposed without knowing, for as long as its leader lease
		return s.leaderLease().Milliseconds()
	}
	last := r.LastContact()
	if last.IsZero() {
		return ageUnknown
	}
	return max(1, time.Since(last).Milliseconds())
}

// Changes returns what changed after a revision of the documents whose keys begin with a prefix; with an empty prefix also of
// leases. It blocks until there is a change, and for wait at most. ok is false where not all of it is remembered: the documents
// have to be read anew. A member that lags behind that revision, as one may that a watcher turns to from another, waits until it
// has caught up; ok is false where it does not.
func (s *Store) Changes(prefix string, after uint64, wait time.Duration) (changes []document.Change, status ReadStatus, ok bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		changes, ok = s.documents.ChangesSince(after)
		if prefix != "" {
			changes = slices.DeleteFunc(changes, func(c document.Change) bool { return !strings.HasPrefix(c.Key, prefix) })
		}
		status = s.readStatus(false)
		changed := s.documentsChanged
		s.mu.Unlock()
		lagging := after > status.Revision
		if !ok && !lagging || len(changes) > 0 {
			return changes, status, ok
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, status, !lagging
		case <-s.done:
			return nil, status, !lagging
		}
	}
}
