// Package quorum decides which changes of the store's members are safe, and whether a member that starts may
// participate. It performs no I/O and reads no clock: its callers pass in what the leader or the starting member knows.
//
// The parts:
//
//   - Group, Member (this file): the members as the leader sees them.
//   - memberchange.go: the rules for changes of the members.
//   - Progress (progress.go): the log position and term that a member has acknowledged.
//   - rejoin.go: the rules for a member that starts.
package quorum

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// MaxMembers is the most members of a store. More of them would slow down each change, which waits for more answers,
// without making the store safer.
const MaxMembers = 9

// Member is one member as the leader sees it.
type Member struct {
	Name            string        `json:"name"`
	RaftAddress     string        `json:"raft"`             // for the other members
	AdminAddress    string        `json:"admin"`            // for operators
	Voter           bool          `json:"voter"`            // otherwise a learner
	SinceContact    time.Duration `json:"heard_ns"`         // time since its last answer to the leader; below 0: none in the leader's term
	Lag             uint64        `json:"behind"`           // log entries not known to be acknowledged by the member
	ExclusionReason string        `json:"out,omitempty"`    // why it does not participate, by its own report; empty: it does
	Leader          bool          `json:"leader,omitempty"` // this member is the leader
}

// Group is the members of a store, with the bounds within which a member counts as responsive and caught up.
type Group struct {
	Members    []Member
	MaxSilence time.Duration // most time since the last answer of a responsive member
	MaxLag     uint64        // most log entries that a member may lag behind and still be given a vote or the leadership
}

// Majority returns the size of a majority of voters.
func Majority(voters int) int { return voters/2 + 1 }

func (g Group) find(name string) (Member, bool) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return g.Members[i], true
}

// votersExcept returns the voters other than the one with the given name.
func (g Group) votersExcept(name string) (voters []Member) {
	for _, m := range g.Members {
		if m.Voter && m.Name != name {
			voters = append(voters, m)
		}
	}
	return voters
}

// responsive reports whether a member participates and has answered recently.
func (g Group) responsive(m Member) bool {
	return m.ExclusionReason == "" && (m.Leader || m.SinceContact >= 0 && m.SinceContact <= g.MaxSilence)
}

// absenceReason describes, for operators, why a member is not responsive.
func (g Group) absenceReason(m Member) string {
	switch {
	case m.ExclusionReason != "":
		return fmt.Sprintf("%s is excluded (%s)", m.Name, m.ExclusionReason)
	case m.SinceContact < 0:
		return fmt.Sprintf("%s has not answered since the current leader was elected", m.Name)
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
	return rejectf(ErrNoMajority, "%d of %d voters would be available, but a majority of %d is required: %s; bring them back first",
		responsive, len(voters), majority, strings.Join(absent, ", "))
}
