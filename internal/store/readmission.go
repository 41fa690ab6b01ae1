package store

import (
	"crypto/rand"
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

// How a voter that lost its data directory gets its vote back.
//
// Inputs: the members as the leader sees them, and the identity of each.
//
//   - A voter that waits to be readmitted with an empty directory (founding.go) becomes a learner, if the other voters that
//     answer keep the majority.
//   - The member starts as a learner, under a new id of its readmission, once the leader reports from a committed
//     configuration that it has no vote.
//   - The leader gives a learner that is being readmitted its vote back by the rule for every promotion, and then records the
//     readmission's id.
//   - Until the member has applied that record, it grants no vote and starts no election.
//
// Why: the votes that it gave and the entries that it acknowledged are gone, so it must not count towards a majority
// before it has the committed entries again. While it receives the log anew, its latest configuration may be an early
// one in which it was the only voter, so its own configuration does not tell whether it has a vote. The leader asks, so
// that a change of the leadership loses no readmission.

const (
	demotedValue     = "demoted"
	readmittedPrefix = "readmitted " // followed by the id of the readmission

	// noElectionTimeout is the election timeout of a member that must not start elections.
	noElectionTimeout = 24 * time.Hour
)

// beginReadmission saves the id of a new readmission of this member.
func (s *Store) beginReadmission() error { return s.peers.setReadmissionID(rand.Text()) }

// finishReadmission ends this member's readmission if its record was applied, and reports whether none is in progress.
func (s *Store) finishReadmission(r *raft.Raft) bool {
	id := s.peers.localIdentity().ReadmissionID
	if id == "" {
		return true
	}
	s.mu.Lock()
	recorded := s.documents.Get(votersPrefix+s.opts.Name).Value == readmittedPrefix+id
	s.mu.Unlock()
	if !recorded {
		return false
	}
	timeouts := r.ReloadableConfig()
	timeouts.HeartbeatTimeout, timeouts.ElectionTimeout = s.opts.ElectionTimeout, s.opts.ElectionTimeout
	err := s.peers.setReadmissionID("")
	if err == nil {
		err = r.ReloadConfig(timeouts)
	}
	if err != nil {
		s.opts.Logger.Warn("readmission of this member not finished", "error", err)
		return false
	}
	s.opts.Logger.Info("this member has its vote again after the loss of its data directory")
	return true
}

// withholdsVotes reports whether this member must grant no votes.
func (s *Store) withholdsVotes() bool {
	_, empty, err := s.storage.progress()
	return empty || err != nil || s.peers.localIdentity().ReadmissionID != ""
}

// watchReadmissions readmits members while this member leads, and finishes this member's own readmission, until the store
// is closed.
func (s *Store) watchReadmissions(r *raft.Raft) {
	s.eachElectionTimeout(func() (again bool) {
		if s.finishReadmission(r) && r.State() == raft.Leader {
			s.readmitMembers(r)
		}
		return true
	})
}

// readmitMembers makes the changes that are due for members that lost their data directories.
func (s *Store) readmitMembers(r *raft.Raft) {
	members, _, err := s.memberStatuses(r)
	if err != nil {
		return
	}
	for _, m := range members {
		if m.Leader || m.AdminAddress == "" {
			continue
		}
		a, err := s.askIdentity(m.AdminAddress, s.opts.ElectionTimeout)
		if err != nil || a.From != m.Name || a.Readmission == "" {
			continue
		}
		change := MembershipChange{Action: "readmit", Name: m.Name, Author: s.opts.Name, Reason: "its data directory was lost"}
		err = s.changeMembers(change, func(c memberChanger) error { return c.readmit(a) })
		if err != nil && !errors.Is(err, ErrNotLeader) {
			s.opts.Logger.Info("readmission of a member is not possible yet", "member", m.Name, "error", err)
		}
	}
}

// readmit takes the next step of a member's readmission. answer is that member's.
func (m memberChanger) readmit(answer quorum.PeerAnswer) error {
	member, exists := m.current()
	switch {
	case !exists:
		return nil
	case answer.Readmission == quorum.ReadmissionAwaited:
		return m.demote(member)
	}
	if err := m.promote(); err != nil {
		return err
	}
	return m.record(document.Operation{Key: votersPrefix + m.change.Name, Value: readmittedPrefix + answer.ReadmissionID})
}

// demote takes a member's vote. The others then need the same majority as after its removal.
func (m memberChanger) demote(member quorum.Member) error {
	if !member.Voter {
		return nil
	}
	if err := m.group.CheckRemove(member.Name); err != nil {
		return rejected(err)
	}
	if err := m.await(m.raft.DemoteVoter(m.id(), m.index, m.store.opts.CommitTimeout)); err != nil {
		return err
	}
	return m.record(document.Operation{Key: votersPrefix + member.Name, Value: demotedValue})
}

// readmission returns how far this member's own readmission is, and its id.
func (s *Store) readmission() (quorum.Readmission, string) {
	id := s.peers.localIdentity().ReadmissionID
	switch {
	case s.raft.Load() == nil && s.awaitsReadmission.Load():
		return quorum.ReadmissionAwaited, ""
	case id != "":
		return quorum.ReadmissionStarted, id
	}
	return "", ""
}
