package store

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/quorum"
)

// watchMembership saves what is known of the other members, an election timeout late at most, and finds out whether this member
// was removed, until the store is closed or the member is excluded.
func (s *Store) watchMembership(r *raft.Raft) {
	tick := time.NewTicker(s.opts.ElectionTimeout)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-tick.C:
		}
		if c := r.GetConfiguration(); c.Error() == nil && len(c.Configuration().Servers) > 0 {
			s.peers.setConfiguration(c.Configuration())
		}
		if err := s.peers.save(); err != nil {
			s.opts.Logger.Warn("progress of the other members not stored", "error", err)
		}
		if _, leader := r.LeaderWithID(); leader != "" || len(s.opts.Members) == 1 {
			continue
		}
		if s.excludedByPeers(r) {
			return
		}
	}
}

// excludedByPeers asks the others whether this member may still take part, and stops it where it may not. Raft does not tell a
// member that it was removed, so one that knows of no leader asks. It reads its data directory after the answers: it goes on
// answering the others meanwhile, and they remember that.
func (s *Store) excludedByPeers(r *raft.Raft) bool {
	check := s.newStartCheck(quorum.Progress{}, false)
	check.askPeers()
	var err error
	if check.local.Progress, check.local.Empty, err = s.storage.progress(); err != nil {
		s.opts.Logger.Warn("data directory not readable", "error", err)
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
