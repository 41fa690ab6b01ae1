package store

import (
	"cmp"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"sloehitch/internal/store/document"
	"sloehitch/internal/store/quorum"
)

// Actions of a MembershipChange, with their encoded values. The action's encoded name is "do", which errors quote
// (docs/glossary.md).
const (
	MemberAdd     = "add"     // as a learner without a vote
	MemberPromote = "promote" // give a learner a vote
	MemberRemove  = "remove"
	MemberLead    = "lead" // transfer the leadership to it
)

// Documents by which a change of the members without a document of its own is in the history.
const (
	leadKey      = internalPrefix + "lead"
	votersPrefix = internalPrefix + "voters/"
)

// MembershipChange is a change of one member.
type MembershipChange struct {
	Action       string `json:"do"` // MemberAdd, MemberPromote, MemberRemove or MemberLead
	Name         string `json:"name"`
	RaftAddress  string `json:"raft,omitempty"`  // of MemberAdd: for the other members
	AdminAddress string `json:"admin,omitempty"` // of MemberAdd: for operators
	Author       string `json:"by"`
	Reason       string `json:"why"`
}

// ChangeMembers makes a change of the members, one at a time, and blocks until it is committed. It returns ErrNotLeader on any
// member but the leader, ErrChangeRejected where the change is not safe (quorum.Group) or makes no sense, and ErrOutcomeUnknown
// where it may yet be made; requested again it is made once. It is recorded in the history.
func (s *Store) ChangeMembers(c MembershipChange) error {
	if !s.clustered {
		return fmt.Errorf("%w: this store is one process's alone; its settings name no members", ErrChangeRejected)
	}
	r, err := s.raftNode()
	if err != nil {
		return err
	}
	s.membershipMu.Lock()
	defer s.membershipMu.Unlock()
	if err := s.Barrier(); err != nil {
		return err
	}
	begun := time.Now()
	members, index, err := s.awaitAnswers(r, begun)
	if err != nil {
		return err
	}
	maxSilence := time.Since(begun)
	s.fetchExclusionReasons(members, maxSilence)
	m := memberChanger{
		store:  s,
		raft:   r,
		change: c,
		group:  quorum.Group{Members: members, MaxSilence: maxSilence, MaxLag: cmp.Or(s.opts.MaxLag, defaultMaxLag)},
		index:  index,
	}
	return m.run()
}

// memberChanger makes one change of the members.
type memberChanger struct {
	store  *Store
	raft   *raft.Raft
	change MembershipChange
	group  quorum.Group
	index  uint64 // of the entry that has the members
}

func (m memberChanger) run() error {
	switch m.change.Action {
	case MemberAdd:
		return m.add()
	case MemberPromote:
		return m.promote()
	case MemberRemove:
		return m.remove()
	case MemberLead:
		return m.transferLeadership()
	}
	return fmt.Errorf("do: %q: add, promote, remove or lead is wanted", m.change.Action)
}

// current returns the member as it was before the change.
func (m memberChanger) current() (quorum.Member, bool) {
	i := slices.IndexFunc(m.group.Members, func(o quorum.Member) bool { return o.Name == m.change.Name })
	if i < 0 {
		return quorum.Member{}, false
	}
	return m.group.Members[i], true
}

func (m memberChanger) id() raft.ServerID { return raft.ServerID(m.change.Name) }

func (m memberChanger) add() error {
	c := m.change
	if err := m.group.CheckAdd(quorum.Member{Name: c.Name, RaftAddress: c.RaftAddress, AdminAddress: c.AdminAddress}); err != nil {
		return rejected(err)
	}
	if _, exists := m.current(); exists {
		return nil
	}
	text, err := json.Marshal(Member{RaftAddress: c.RaftAddress, AdminAddress: c.AdminAddress})
	if err != nil { // strings always marshal
		panic(err)
	}
	// Recorded first, so that all members know where it is reached.
	if err := m.record(document.Operation{Key: memberPrefix + c.Name, Value: string(text)}); err != nil {
		return err
	}
	return m.await(m.raft.AddNonvoter(m.id(), raft.ServerAddress(c.RaftAddress), m.index, m.store.opts.CommitTimeout))
}

func (m memberChanger) promote() error {
	if err := m.group.CheckPromote(m.change.Name); err != nil {
		return rejected(err)
	}
	member, _ := m.current() // CheckPromote rejects others
	if member.Voter {
		return nil
	}
	future := m.raft.AddVoter(m.id(), raft.ServerAddress(member.RaftAddress), m.index, m.store.opts.CommitTimeout)
	if err := m.await(future); err != nil {
		return err
	}
	return m.record(document.Operation{Key: votersPrefix + m.change.Name, Value: "promoted"})
}

func (m memberChanger) remove() error {
	if err := m.group.CheckRemove(m.change.Name); err != nil {
		return rejected(err)
	}
	deletion := document.Operation{Key: memberPrefix + m.change.Name, Delete: true}
	if _, exists := m.current(); !exists {
		return m.record(deletion) // what an earlier attempt may have left
	}
	if err := m.await(m.raft.RemoveServer(m.id(), m.index, m.store.opts.CommitTimeout)); err != nil {
		return err
	}
	return m.record(deletion)
}

func (m memberChanger) transferLeadership() error {
	if err := m.group.CheckLeadershipTransfer(m.change.Name); err != nil {
		return rejected(err)
	}
	member, _ := m.current() // CheckLeadershipTransfer rejects others
	if member.Leader {
		return nil
	}
	if err := m.record(document.Operation{Key: leadKey, Value: m.change.Name}); err != nil {
		return err
	}
	if err := m.raft.LeadershipTransferToServer(m.id(), raft.ServerAddress(member.RaftAddress)).Error(); err != nil {
		return fmt.Errorf("%w: %s did not take the lead: %w", ErrChangeRejected, m.change.Name, err)
	}
	return nil
}

// await blocks until a change is committed.
func (m memberChanger) await(future raft.Future) error {
	err := future.Error()
	if errors.Is(err, raft.ErrNotLeader) {
		return ErrNotLeader
	}
	if err != nil {
		return fmt.Errorf("%w (%w)", ErrOutcomeUnknown, err)
	}
	c := m.change
	m.store.opts.Logger.Info("membership changed", "action", c.Action, "member", c.Name, "by", c.Author, "reason", c.Reason)
	return nil
}

// record puts the change into the history.
func (m memberChanger) record(o document.Operation) error {
	c := m.change
	result, err := m.store.propose(document.Transaction{
		ID:         rand.Text(),
		Author:     c.Author,
		Reason:     strings.TrimSpace(c.Action + " " + c.Name + ": " + c.Reason),
		Operations: []document.Operation{o},
	})
	if err == nil && !result.Committed {
		err = fmt.Errorf("%w: %s", ErrChangeRejected, result.Reason)
	}
	return err
}

func rejected(err error) error { return fmt.Errorf("%w: %w", ErrChangeRejected, err) }
