package store

import (
	"crypto/rand"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/document"
	"sloehitch/internal/testing/faulthooks"
)

// Events that are passed to Options.OnEvent.
const (
	eventFollows = "follows"
	eventLeads   = "leads"
)

// Leader returns the leader, which accepts changes, if it is known. It does not wait.
func (s *Store) Leader() (Member, bool) {
	if s.memoryOnly {
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

// watchLeadership calls startLeading and stopLeading when this member gains or loses the leadership, until the store
// is closed.
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

// stopLeading stops this member from deciding on leases, and resets the times of the other members' answers to it as
// the leader.
func (s *Store) stopLeading() {
	s.mu.Lock()
	if s.leading {
		s.opts.OnEvent(faulthooks.Event{What: eventFollows})
	}
	s.leading = false
	s.mu.Unlock()
	s.peers.resetContacts()
}

// startLeading lets this member decide on leases. The member must have applied all entries committed before. It
// restarts the timing of every lease, since it can't know when the previous leader granted or renewed it. The first
// leader also assigns the store its id.
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

// ensureStoreID proposes an id if the store has none, and reports whether the store has one.
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

// transferLeadership transfers the leadership to another member before this one shuts down, and waits for up to an
// election timeout. Without the transfer, no change could be committed until the next election, one or two election
// timeouts later.
func (s *Store) transferLeadership(r *raft.Raft) {
	transferred := make(chan error, 1)
	go func() { transferred <- r.LeadershipTransfer().Error() }()
	select {
	case err := <-transferred:
		s.opts.Logger.Info("leadership transfer before shutdown finished", "error", err)
	case <-time.After(s.opts.ElectionTimeout):
	}
}
