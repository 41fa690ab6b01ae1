package store

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/quorum"
)

// eachElectionTimeout calls check once per election timeout, until it returns false or the store is closed.
func (s *Store) eachElectionTimeout(check func() (again bool)) {
	tick := time.NewTicker(s.opts.ElectionTimeout)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-tick.C:
		}
		if !check() {
			return
		}
	}
}

// watchMembership saves the progress of the other members once per election timeout, and detects whether this member
// was removed. It returns when the store is closed or the member is excluded.
func (s *Store) watchMembership(r *raft.Raft) {
	s.eachElectionTimeout(func() (again bool) {
		if c := r.GetConfiguration(); c.Error() == nil && len(c.Configuration().Servers) > 0 {
			s.peers.setConfiguration(c.Configuration())
		}
		if err := s.peers.save(); err != nil {
			s.opts.Logger.Warn("progress of the other members not stored", "error", err)
		}
		if _, leader := r.LeaderWithID(); leader != "" || len(s.opts.Members) <= 1 {
			return true
		}
		return !s.excludedByPeers(r)
	})
}

// excludedByPeers asks the others whether this member may still participate, and stops raft if it may not. Raft does
// not notify a member of its removal, so a member that knows of no leader asks. It reads its data directory only after
// the answers: it continues to acknowledge entries meanwhile, and the others may remember that progress.
func (s *Store) excludedByPeers(r *raft.Raft) bool {
	check := s.newStartCheck(quorum.Progress{}, false)
	check.askPeers()
	var err error
	if check.local.Progress, check.local.Empty, err = s.storage.progress(); err != nil {
		s.opts.Logger.Warn("data directory can't be read, exclusion not checked", "error", err)
		return false
	}
	decision, reason := check.decide()
	if decision != quorum.DecisionExclude && decision != quorum.DecisionExcludePermanently {
		return false
	}
	check.storeExclusion(decision, reason)
	s.opts.Logger.Error("this member was excluded from the store; the node continues to serve", "reason", reason)
	s.setExclusionReason(reason)
	s.raft.Store(nil)
	if s.storage.log != nil {
		s.storage.log.StopWaiting()
	}
	if err := errors.Join(r.Shutdown().Error(), s.transport.Close()); err != nil {
		s.opts.Logger.Warn("raft did not shut down cleanly after the exclusion", "error", err)
	}
	return true
}
