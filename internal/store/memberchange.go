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

// Actions of a MembershipChange. In JSON, the field of the action is called "do", which errors quote
// (docs/glossary.md).
const (
	MemberAdd     = "add"     // add a learner without a vote
	MemberPromote = "promote" // give a learner a vote
	MemberRemove  = "remove"
	MemberLead    = "lead" // transfer the leadership to a member
)

// Documents that record changes of the members in the history if the change itself does not affect a document.
const (
	leadKey      = internalPrefix + "lead"
	votersPrefix = internalPrefix + "voters/"
)

// MembershipChange is a request to change one member.
type MembershipChange struct {
	Action       string `json:"do"` // MemberAdd, MemberPromote, MemberRemove or MemberLead
	Name         string `json:"name"`
	RaftAddress  string `json:"raft,omitempty"`  // for MemberAdd: address for the other members
	AdminAddress string `json:"admin,omitempty"` // for MemberAdd: address for operators
	Author       string `json:"by"`
	Reason       string `json:"why"`
}

// ChangeMembers makes a change of the members, one at a time, records it in the history, and blocks until it is
// committed. It returns ErrNotLeader on any member but the leader, ErrChangeRejected if the change is not safe
// (quorum.Group) or not possible, and ErrOutcomeUnknown if the change may still take effect. Repeating a change has no
// further effect.
func (s *Store) ChangeMembers(c MembershipChange) error {
	return s.changeMembers(c, memberChanger.run)
}

// changeMembers makes a change of the members by run, one at a time. It returns the errors of ChangeMembers.
func (s *Store) changeMembers(c MembershipChange, run func(memberChanger) error) error {
	if len(s.opts.Members) == 0 {
		return fmt.Errorf("%w: the store is this daemon's own: its settings list no members", ErrChangeRejected)
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
	return run(m)
}

// memberChanger makes one change of the members.
type memberChanger struct {
	store  *Store
	raft   *raft.Raft
	change MembershipChange
	group  quorum.Group
	index  uint64 // index of the log entry with the current configuration of members
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
	return fmt.Errorf("do: unknown action %q; must be add, promote, remove or lead", m.change.Action)
}

// current returns the member to be changed, as it was before the change.
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
	// The document is written first, so that all members know the new member's addresses.
	if err := m.record(document.Operation{Key: memberPrefix + c.Name, Value: string(text)}); err != nil {
		return err
	}
	return m.await(m.raft.AddNonvoter(m.id(), raft.ServerAddress(c.RaftAddress), m.index, m.store.opts.CommitTimeout))
}

func (m memberChanger) promote() error {
	if err := m.group.CheckPromote(m.change.Name); err != nil {
		return rejected(err)
	}
	member, _ := m.current() // CheckPromote rejects unknown members
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
		return m.record(deletion) // an earlier attempt may have left the document
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
	member, _ := m.current() // CheckLeadershipTransfer rejects unknown members
	if member.Leader {
		return nil
	}
	if err := m.record(document.Operation{Key: leadKey, Value: m.change.Name}); err != nil {
		return err
	}
	if err := m.raft.LeadershipTransferToServer(m.id(), raft.ServerAddress(member.RaftAddress)).Error(); err != nil {
		return fmt.Errorf("%w: transfer of the leadership to %s failed: %w", ErrChangeRejected, m.change.Name, err)
	}
	return nil
}

// await blocks until a change of raft's configuration is committed.
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

// record commits an operation that records the change in the history.
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
