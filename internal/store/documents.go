package store

import (
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/document"
)

// ageUnknown is ReadStatus.AgeMS on a member that has had no contact with a leader.
const ageUnknown = -1

// ReadStatus describes how current a read is.
type ReadStatus struct {
	Revision     uint64 `json:"revision"`
	Confirmed    bool   `json:"confirmed"`        // a majority confirmed the leader during the read: no earlier acknowledged change is missing
	AgeMS        int64  `json:"age_ms,omitempty"` // if not confirmed: how old the member's copy may be, in milliseconds; -1: no contact with a leader yet
	HistoryStart uint64 `json:"from"`             // all changes after this revision are remembered
}

// Documents returns the documents whose keys begin with a prefix. A confirmed read blocks for a Barrier, and returns
// its error on any member but the leader. A local read never waits.
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

// readStatus returns how current this member's copy is. The caller holds mu.
func (s *Store) readStatus(confirmed bool) ReadStatus {
	status := ReadStatus{
		Revision:     s.documents.Revision(),
		HistoryStart: s.documents.HistoryStart(),
		Confirmed:    confirmed || s.memoryOnly,
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
	if r.State() == raft.Leader { // a deposed leader may take up to its leader lease to notice
		return s.leaderLease().Milliseconds()
	}
	last := r.LastContact()
	if last.IsZero() {
		return ageUnknown
	}
	return max(1, time.Since(last).Milliseconds())
}

// Changes returns the changes after a revision to the documents whose keys begin with a prefix; with an empty prefix,
// also changes of leases. It blocks until there is a change, but at most for wait. ok is false if some of the changes
// are no longer remembered: the caller has to read the documents again. If this member is behind the revision, as it
// may be when a watcher switches to it from another member, Changes waits until the member has caught up; ok is false
// if it has not by then.
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
