package store

import (
	"crypto/rand"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// Events that Options.OnEvent gets.
const (
	eventFollows = "follows"
	eventLeads   = "leads"
)

// Leader returns the member that takes changes, if one is known. It does not wait.
func (s *Store) Leader() (Member, bool) {
	if !s.clustered {
		return Member{Name: s.opts.Name}, true
	}
	r := s.raft.Load()
	if r == nil {
		return Member{}, false
	}
	_, id := r.LeaderWithID()
	if id == "" {
		return Member{}, false
	}
	return s.member(string(id))
}

// watchLeadership follows whether this member leads, until the store is closed.
func (s *Store) watchLeadership(r *raft.Raft) {
	for {
		select {
		case <-s.done:
			return
		case leads := <-r.LeaderCh():
			s.stopLeading()
			if leads && r.Barrier(s.opts.CommitTimeout).Error() == nil {
				s.startLeading(r)
			}
		}
	}
}

// stopLeading has this member decide on leases no longer, and forget when the others last answered it as their leader.
func (s *Store) stopLeading() {
	s.mu.Lock()
	if s.leading {
		s.opts.OnEvent(faulthooks.Event{What: eventFollows})
	}
	s.leading = false
	s.mu.Unlock()
	s.peers.resetContacts()
}

// startLeading has this member decide on leases. It must have applied all that was committed before, and restarts the count of
// every lease, since it can't know when the previous leader began it. The store's first leader gives the store its id.
func (s *Store) startLeading(r *raft.Raft) {
	s.mu.Lock()
	s.documents.Leases().StartLeading(s.clock())
	s.leading = true
	revision := s.documents.Revision()
	s.mu.Unlock()
	s.opts.Logger.Info("this member is now the store's leader", "revision", revision)
	s.opts.OnEvent(faulthooks.Event{What: eventLeads, N: revision})
	for r.State() == raft.Leader && !s.ensureStoreID() {
		select {
		case <-s.done:
			return
		case <-time.After(s.opts.ElectionTimeout / 4):
		}
	}
}

// ensureStoreID proposes an id for a store that has none, and reports whether the store has one.
func (s *Store) ensureStoreID() bool {
	s.mu.Lock()
	id := s.documents.Get(storeIDKey).Value
	s.mu.Unlock()
	if id != "" {
		return true
	}
	_, err := s.propose(document.Transaction{
		ID:         rand.Text(),
		Author:     s.opts.Name,
		Reason:     "the store begins",
		Conditions: []document.Condition{{Key: storeIDKey}},
		Operations: []document.Operation{{Key: storeIDKey, Value: rand.Text()}},
	})
	return err == nil
}

// transferLeadership has another member lead before this one shuts down, and waits for up to an election timeout. Without it
// nothing could be changed until an election, an election timeout or two later.
func (s *Store) transferLeadership(r *raft.Raft) {
	transferred := make(chan error, 1)
	go func() { transferred <- r.LeadershipTransfer().Error() }()
	select {
	case err := <-transferred:
		s.opts.Logger.Info("leadership transfer before the shutdown has ended", "error", err)
	case <-time.After(s.opts.ElectionTimeout):
	}
}
