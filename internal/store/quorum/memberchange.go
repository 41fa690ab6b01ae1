package quorum

import (
	"errors"
	"fmt"
	"net"
	"strings"
)

// Rules for safe changes of the members.
//
// The inputs are the members as the leader sees them, with the time since the last answer of each and its lag in log
// entries.
//
//   - One member is added, promoted or removed at a time, so that majorities before and after a change overlap (Ongaro,
//     "Consensus: bridging theory and practice", 2014, 4.1).
//   - A new member is first a learner without a vote (4.2.1), so that it can't delay commits while it is catching up.
//   - A change of the voters is safe if, after it, Majority(voters) of them are responsive.
//   - A vote or the leadership (3.10) is given only to a responsive member that lags at most MaxLag entries behind.
//   - The leader can't be removed; its leadership has to be transferred first.
//
// A change that was already made is safe, since repeating it has no effect.

// Kinds of unsafe changes. A ChangeError wraps one of them.
var (
	ErrInvalidMember  = errors.New("invalid member")
	ErrMemberExists   = errors.New("name or address in use")
	ErrTooManyMembers = errors.New("too many members")
	ErrUnknownMember  = errors.New("unknown member")
	ErrUnresponsive   = errors.New("unresponsive member")
	ErrLagging        = errors.New("lagging member")
	ErrNotVoter       = errors.New("member without a vote")
	ErrIsLeader       = errors.New("member is the leader")
	ErrNoMajority     = errors.New("no majority")
)

// ChangeError reports why a change of the members is not safe, and what an operator can do about it.
type ChangeError struct {
	Kind   error  // one of the errors of this package
	Detail string // for operators
}

func (e *ChangeError) Error() string { return e.Detail }

// Unwrap returns the error's kind.
func (e *ChangeError) Unwrap() error { return e.Kind }

func rejectf(kind error, format string, args ...any) error {
	return &ChangeError{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// CheckAdd returns an error if a member can't be added as a learner. Adding a member again with the same addresses is
// allowed.
func (g Group) CheckAdd(m Member) error {
	if m.Name == "" || strings.ContainsAny(m.Name, "/ ,") {
		return rejectf(ErrInvalidMember, "name: %q is not a word without slashes, commas and spaces", m.Name)
	}
	if err := checkAddress("raft", m.RaftAddress); err != nil {
		return err
	}
	if err := checkAddress("admin", m.AdminAddress); err != nil {
		return err
	}
	for _, other := range g.Members {
		switch same := other.RaftAddress == m.RaftAddress && other.AdminAddress == m.AdminAddress; {
		case other.Name == m.Name && same:
			return nil
		case other.Name == m.Name:
			return rejectf(ErrMemberExists, "%s is already a member at %s and %s: remove it first to change its addresses",
				m.Name, other.RaftAddress, other.AdminAddress)
		case other.RaftAddress == m.RaftAddress || other.AdminAddress == m.AdminAddress:
			return rejectf(ErrMemberExists, "%s has the same address as %s: each member needs its own", m.Name, other.Name)
		}
	}
	if len(g.Members) >= MaxMembers {
		return rejectf(ErrTooManyMembers, "the store has the maximum of %d members: remove one first", MaxMembers)
	}
	return nil
}

// checkAddress returns an error for an address without a host or a port.
func checkAddress(key, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || port == "" || port == "0" {
		return rejectf(ErrInvalidMember, "%s: %q is not an address such as 10.0.0.4:7071 at which the other members can reach it",
			key, address)
	}
	return nil
}

// CheckPromote returns an error if a learner can't be given a vote.
func (g Group) CheckPromote(name string) error {
	m, known := g.find(name)
	switch {
	case !known:
		return rejectf(ErrUnknownMember, "%s is not a member: add it first", name)
	case m.Voter:
		return nil
	case !g.responsive(m):
		return rejectf(ErrUnresponsive, "%s: it could not use its vote", g.absenceReason(m))
	}
	if err := g.checkLag(m); err != nil {
		return err
	}
	m.Voter = true
	return g.checkMajority(append(g.votersExcept(name), m))
}

// CheckRemove returns an error if a member can't be removed. Removing a name that is not a member is allowed.
func (g Group) CheckRemove(name string) error {
	m, known := g.find(name)
	switch {
	case !known, !m.Voter && !m.Leader:
		return nil
	case m.Leader:
		return rejectf(ErrIsLeader, "%s is the leader: transfer the leadership to another member first", name)
	}
	if err := g.checkMajority(g.votersExcept(name)); err != nil {
		return fmt.Errorf("without %s, %w", name, err)
	}
	return nil
}

// CheckLeadershipTransfer returns an error if a member can't be given the leadership.
func (g Group) CheckLeadershipTransfer(name string) error {
	m, known := g.find(name)
	switch {
	case !known:
		return rejectf(ErrUnknownMember, "%s is not a member", name)
	case m.Leader:
		return nil
	case !m.Voter:
		return rejectf(ErrNotVoter, "%s is a learner: promote it first", name)
	case !g.responsive(m):
		return rejectf(ErrUnresponsive, "%s", g.absenceReason(m))
	}
	return g.checkLag(m)
}

// checkLag returns an error for a member that lags too far behind.
func (g Group) checkLag(m Member) error {
	if m.Lag <= g.MaxLag {
		return nil
	}
	return rejectf(ErrLagging, "%s is %d entries behind, at most %d are allowed: wait until it has caught up", m.Name, m.Lag, g.MaxLag)
}
