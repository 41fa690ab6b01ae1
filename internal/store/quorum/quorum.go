// Package quorum decides which changes of the store's members are safe, and which member that starts again may take part. It
// performs no I/O and reads no clock: its callers pass in what the leader, or the starting member, knows.
//
// The parts:
//
//   - Group, Member (this file): the members as the leader sees them.
//   - memberchange.go: the rule for changes of the members.
//   - Progress (progress.go): how far a member has answered for.
//   - rejoin.go: the rule for a member that starts.
package quorum

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// MaxMembers bounds the members: with more of them each change waits for more answers, and nothing gets safer.
const MaxMembers = 9

// Member is one member as the leader sees it.
type Member struct {
	Name            string        `json:"name"`
	RaftAddress     string        `json:"raft"`             // for the other members
	AdminAddress    string        `json:"admin"`            // for operators
	Voter           bool          `json:"voter"`            // else it is a learner
	SinceContact    time.Duration `json:"heard_ns"`         // since its last answer to the leader; below 0: none in this term of the leader
	Lag             uint64        `json:"behind"`           // log entries that it has not acknowledged, as far as is known
	ExclusionReason string        `json:"out,omitempty"`    // why it takes no part, as it reports itself; empty: it does
	Leader          bool          `json:"leader,omitempty"` // it is the leader
}

// Group is the members, and the bounds by which one of them counts as responsive and caught up.
type Group struct {
	Members    []Member
	MaxSilence time.Duration // since the last answer of a responsive member
	MaxLag     uint64        // log entries that a member may lag behind to be given a vote or the leadership
}

// Majority returns how many of a number of voters have to agree.
func Majority(voters int) int { return voters/2 + 1 }

func (g Group) find(name string) (Member, bool) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return g.Members[i], true
}

// votersExcept returns the voters without the one of a name.
func (g Group) votersExcept(name string) (voters []Member) {
	for _, m := range g.Members {
		if m.Voter && m.Name != name {
			voters = append(voters, m)
		}
	}
	return voters
}

// responsive reports whether a member takes part now.
func (g Group) responsive(m Member) bool {
	return m.ExclusionReason == "" && (m.Leader || m.SinceContact >= 0 && m.SinceContact <= g.MaxSilence)
}

// absenceReason says why a member does not take part, for people.
func (g Group) absenceReason(m Member) string {
	switch {
	case m.ExclusionReason != "":
		return fmt.Sprintf("%s is kept out (%s)", m.Name, m.ExclusionReason)
	case m.SinceContact < 0:
		return fmt.Sprintf("%s has not answered since this leader leads", m.Name)
	default:
		return fmt.Sprintf("%s has not answered for %v", m.Name, m.SinceContact.Round(time.Millisecond))
	}
}

// checkMajority returns an error unless a majority of the voters is responsive.
func (g Group) checkMajority(voters []Member) error {
	var absent []string
	responsive := 0
	for _, m := range voters {
		if g.responsive(m) {
			responsive++
		} else {
			absent = append(absent, g.absenceReason(m))
		}
	}
	majority := Majority(len(voters))
	if responsive >= majority {
		return nil
	}
	return rejectf(ErrNoMajority, "%d of %d voters would be there, and %d are needed to agree on anything: %s; have them back first",
		responsive, len(voters), majority, strings.Join(absent, ", "))
}
