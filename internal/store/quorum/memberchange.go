package quorum

import (
	"errors"
	"fmt"
	"net"
	"strings"
)

// Rule: which change of the members is safe.
//
// Inputs: the members as the leader sees them, with the time since each last answered and its lag in log entries.
//
//   - One member is added, promoted or removed at a time, so that majorities before and after a change overlap (Ongaro,
//     "Consensus: bridging theory and practice", 2014, 4.1).
//   - A new member is first a learner without a vote (4.2.1), so that it can't hold up commits while it is behind.
//   - A change of the voters is safe if, after it, Majority(voters) of them are responsive.
//   - A vote, and the leadership (3.10), go to a responsive member that lags at most MaxLag entries behind.
//   - The leader is not removed; it hands the leadership over first.
//
// A change that has been made already is safe: nothing comes of repeating it.

// Errors of changes that are not safe; a ChangeError wraps one of them.
var (
	ErrInvalidMember  = errors.New("invalid member")
	ErrMemberExists   = errors.New("name or address in use")
	ErrTooManyMembers = errors.New("too many members")
	ErrUnknownMember  = errors.New("unknown member")
	ErrUnresponsive   = errors.New("unresponsive member")
	ErrLagging        = errors.New("lagging member")
	ErrNotVoter       = errors.New("member without a vote")
	ErrIsLeader       = errors.New("member leads")
	ErrNoMajority     = errors.New("no majority")
)

// ChangeError reports why a change of the members is not safe, and what to do about it.
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

// CheckAdd returns an error where a member can't be added as a learner. A member may be added again under the same addresses.
func (g Group) CheckAdd(m Member) error {
	if m.Name == "" || strings.ContainsAny(m.Name, "/ ,") {
		return rejectf(ErrInvalidMember, "name: %q: a word without slashes, commas and spaces is wanted", m.Name)
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
			return rejectf(ErrMemberExists, "%s is a member at %s and %s: remove it first to have it elsewhere", m.Name, other.RaftAddress, other.AdminAddress)
		case other.RaftAddress == m.RaftAddress || other.AdminAddress == m.AdminAddress:
			return rejectf(ErrMemberExists, "%s has an address of %s: each member has its own", m.Name, other.Name)
		}
	}
	if len(g.Members) >= MaxMembers {
		return rejectf(ErrTooManyMembers, "%d members at most: remove one first", MaxMembers)
	}
	return nil
}

// checkAddress returns an error for an address without host or port.
func checkAddress(key, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || port == "" || port == "0" {
		return rejectf(ErrInvalidMember, "%s: %q: an address such as 10.0.0.4:7071, at which the others reach it, is wanted", key, address)
	}
	return nil
}

// CheckPromote returns an error where a learner can't be given a vote.
func (g Group) CheckPromote(name string) error {
	m, known := g.find(name)
	switch {
	case !known:
		return rejectf(ErrUnknownMember, "%s is no member: add it first", name)
	case m.Voter:
		return nil
	case !g.responsive(m):
		return rejectf(ErrUnresponsive, "%s: it would have a vote and not use it", g.absenceReason(m))
	}
	if err := g.checkLag(m); err != nil {
		return err
	}
	m.Voter = true
	return g.checkMajority(append(g.votersExcept(name), m))
}

// CheckRemove returns an error where a member can't be removed. Who is no member may be removed again.
func (g Group) CheckRemove(name string) error {
	m, known := g.find(name)
	switch {
	case !known, !m.Voter && !m.Leader:
		return nil
	case m.Leader:
		return rejectf(ErrIsLeader, "%s leads: give the lead to another first", name)
	}
	if err := g.checkMajority(g.votersExcept(name)); err != nil {
		return fmt.Errorf("without %s %w", name, err)
	}
	return nil
}

// CheckLeadershipTransfer returns an error where a member can't be given the leadership.
func (g Group) CheckLeadershipTransfer(name string) error {
	m, known := g.find(name)
	switch {
	case !known:
		return rejectf(ErrUnknownMember, "%s is no member", name)
	case m.Leader:
		return nil
	case !m.Voter:
		return rejectf(ErrNotVoter, "%s learns: promote it first", name)
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
	return rejectf(ErrLagging, "%s is %d entries behind, %d at most are wanted: wait until it has caught up", m.Name, m.Lag, g.MaxLag)
}
