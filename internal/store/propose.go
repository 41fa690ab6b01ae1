package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/store/document"
)

// change is the content of one log entry: an operators' value, a transaction or a part of a restore.
type change struct {
	Key         string                `json:"Key"`
	Value       string                `json:"Value"`
	Transaction *document.Transaction `json:"Make,omitempty"`
	Restore     *restorePart          `json:"Restore,omitempty"`
}

// errLeaseInTransaction means that a transaction passed to Commit has an operation on a lease. "do" is the JSON name of
// the operations.
var errLeaseInTransaction = errors.New("do: a transaction can't change a lease; request leases at /duties/{duty}")

// Commit commits a transaction on all members, at most once per id. It blocks until a majority has it. It returns
// ErrNotLeader on any member but the leader, ErrOutcomeUnknown if the transaction may still be committed, and
// ErrChangeRejected if it sets an invalid document. Unmet conditions are not an error, but are reported in the Result.
func (s *Store) Commit(t document.Transaction) (document.Result, error) {
	for _, o := range t.Operations {
		if o.Lease != nil {
			return document.Result{}, errLeaseInTransaction
		}
		if err := checkNotReserved(o.Key); err != nil {
			return document.Result{}, err
		}
		if o.Delete {
			continue
		}
		if err := s.opts.CheckDocument(o.Key, o.Value); err != nil {
			return document.Result{}, fmt.Errorf("%w: %s: %w", ErrChangeRejected, o.Key, err)
		}
	}
	return s.propose(t)
}

// propose commits a transaction like Commit, but allows reserved keys and leases.
func (s *Store) propose(t document.Transaction) (document.Result, error) {
	s.mu.Lock()
	err := s.documents.Validate(t)
	s.mu.Unlock()
	if err != nil {
		return document.Result{}, err
	}
	t.UnixMillis = time.Now().UnixMilli()
	if s.memoryOnly {
		return s.applyTransaction(t), nil
	}
	response, err := s.replicate(change{Transaction: &t})
	if err != nil {
		return document.Result{}, err
	}
	result, ok := response.(document.Result)
	if !ok {
		return document.Result{}, fmt.Errorf("%w (%v)", ErrOutcomeUnknown, response)
	}
	return result, nil
}

// replicate has all members apply a change, and returns the response of this member's state machine. It returns
// ErrNotLeader if nothing was changed, or ErrOutcomeUnknown.
func (s *Store) replicate(c change) (any, error) {
	r, err := s.raftNode()
	if err != nil {
		return nil, err
	}
	entry, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	if len(entry) > limits.ForRaftLog.EntryBytes {
		return nil, fmt.Errorf("log entry too large: %d bytes, at most %d are allowed", len(entry), limits.ForRaftLog.EntryBytes)
	}
	future := r.Apply(entry, s.opts.CommitTimeout)
	switch err := future.Error(); {
	case errors.Is(err, raft.ErrNotLeader):
		return nil, ErrNotLeader
	case err != nil: // the leadership was lost meanwhile, or the timeout expired
		return nil, fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
	}
	return future.Response(), nil
}

// applyTransaction applies a transaction to this member's copy, and notifies the watchers of documents.
func (s *Store) applyTransaction(t document.Transaction) document.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.documents.Apply(t, s.clock())
	if result.Committed && !result.Duplicate {
		s.notifyDocumentWatchers()
	}
	return result
}

// Barrier blocks until this member's copy contains all changes acknowledged before the call: a majority has confirmed
// the member as the leader, and it has applied all committed entries. It returns ErrNotLeader on any other member.
func (s *Store) Barrier() error {
	if s.memoryOnly {
		return nil
	}
	r, err := s.raftNode()
	if err != nil {
		return err
	}
	if err := r.Barrier(s.opts.CommitTimeout).Error(); err != nil {
		return fmt.Errorf("%w (%w)", ErrNotLeader, err)
	}
	return nil
}
