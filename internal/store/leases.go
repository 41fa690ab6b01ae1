package store

import (
	"crypto/rand"
	"fmt"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// Actions of a LeaseRequest. In JSON, acquiring a lease is called "take" and the field of the action "ask", which
// errors quote (docs/glossary.md).
const (
	LeaseAcquire  = "take"
	LeaseRenew    = "renew"
	LeaseHandOver = "hand-over"
)

// LeaseRequest is a request about the lease of a task.
type LeaseRequest struct {
	Action    string `json:"ask"` // LeaseAcquire, LeaseRenew or LeaseHandOver
	Holder    string `json:"holder"`
	Token     uint64 `json:"token,omitempty"` // for LeaseRenew and LeaseHandOver
	Successor string `json:"to,omitempty"`    // for LeaseHandOver; empty: whoever acquires the lease next
	Reason    string `json:"why,omitempty"`
}

// LeaseStatus is the lease of one task, as a member sees it.
type LeaseStatus struct {
	lease.Record
	RemainingMS int64 `json:"left_ms"` // milliseconds until another may acquire it, by this member's clock; the leader's is decisive
}

// Leases returns the leases of all tasks that were ever held. It does not wait.
func (s *Store) Leases() ([]LeaseStatus, ReadStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var leases []LeaseStatus
	for _, record := range s.documents.LeaseRecords() {
		remaining := s.documents.Leases().Remaining(record.Task, s.clock())
		leases = append(leases, LeaseStatus{record, remaining.Milliseconds()})
	}
	return leases, s.readStatus(false)
}

// RequestLease decides on a request and commits the decision. It blocks until a majority has it. If it returns
// lease.ErrHeld, lease.ErrLost or ErrNotLeader, nothing was changed; after ErrOutcomeUnknown the lease may have been
// granted. Requests are not deduplicated: acquiring a lease again that may have been granted yields a new token.
func (s *Store) RequestLease(task string, q LeaseRequest) (lease.Record, error) {
	record, err := s.decideLease(task, q)
	if err != nil {
		return lease.Record{}, err
	}
	reason := q.Action
	if q.Reason != "" {
		reason += ": " + q.Reason
	}
	result, err := s.propose(document.Transaction{
		ID:         rand.Text(),
		Author:     q.Holder,
		Reason:     reason,
		Operations: []document.Operation{{Lease: &record}},
	})
	switch {
	case err != nil:
		return lease.Record{}, err
	case !result.Committed:
		return lease.Record{}, fmt.Errorf("%w: %s", lease.ErrHeld, result.Reason)
	}
	return record, nil
}

// decideLease decides on a request by this member's table of leases, if this member leads.
func (s *Store) decideLease(task string, q LeaseRequest) (lease.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.memoryOnly && !s.leading {
		return lease.Record{}, ErrNotLeader
	}
	table := s.documents.Leases()
	switch q.Action {
	case LeaseAcquire:
		return table.Acquire(task, q.Holder, s.clock())
	case LeaseRenew:
		return table.Renew(task, q.Holder, q.Token)
	case LeaseHandOver:
		return table.HandOver(task, q.Holder, q.Token, q.Successor)
	}
	return lease.Record{}, fmt.Errorf("ask: unknown action %q; must be take, renew or hand-over", q.Action)
}
