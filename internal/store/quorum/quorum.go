// Package quorum decides which changes of the store's members are safe, and which member that returns may take part again. It
// has no I/O and no clock: what the leader has heard goes in, a refusal with its reason and remedy comes out.
//
// A change is of one member at a time (Ongaro, "Consensus: bridging theory and practice", 2014, 4.1): majorities before and
// after it overlap. A new member first learns, without a vote (4.2.1), so that it can't hold up what is agreed on while it is
// behind.
package quorum

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// MaxMembers bounds the members: with more of them each change waits for more answers, and nothing gets safer.
const MaxMembers = 9

// Member is one as the leader sees it.
type Member struct {
	Name            string        `json:"name"`
	RaftAddress     string        `json:"raft"`             // address for the other members
	AdminAddress    string        `json:"admin"`            // address for operators
	Voter           bool          `json:"voter"`            // else it learns
	SinceContact    time.Duration `json:"heard_ns"`         // since its last answer to the leader; below 0: none in this lead
	Lag             uint64        `json:"behind"`           // entries that it has not acknowledged, as far as is known
	ExclusionReason string        `json:"out,omitempty"`    // why it is kept out by its own word; empty: it is not
	Leader          bool          `json:"leader,omitempty"` // it leads
}

// Group is the members, and when one of them counts as there.
type Group struct {
	Members    []Member
	MaxSilence time.Duration // an answer within this long
	MaxLag     uint64        // and so many entries behind at most, to be given a vote or the lead
}

func (g Group) find(name string) (Member, bool) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return g.Members[i], true
}

// responsive says whether a member takes part now.
func (g Group) responsive(m Member) bool {
	return m.ExclusionReason == "" && (m.Leader || m.SinceContact >= 0 && m.SinceContact <= g.MaxSilence)
}

// absenceReason says why a member does not, for people.
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

// Majority is how many of so many voters agree on something.
func Majority(voters int) int { return voters/2 + 1 }

// checkMajority errs where the voters of a group to be would not have a majority there.
func (g Group) checkMajority(voters []Member) error {
	var gone []string
	here := 0
	for _, m := range voters {
		if g.responsive(m) {
			here++
		} else {
			gone = append(gone, g.absenceReason(m))
		}
	}
	if here >= Majority(len(voters)) {
		return nil
	}
	return fmt.Errorf("%d of %d voters would be there, and %d are needed to agree on anything: %s; have them back first", here, len(voters), Majority(len(voters)), strings.Join(gone, ", "))
}

func (g Group) voters(keep func(Member) bool) (list []Member) {
	for _, m := range g.Members {
		if m.Voter && keep(m) {
			list = append(list, m)
		}
	}
	return list
}

// CheckAdd errs where a member can't be added as a learner. One that is there already under the same addresses may be added again:
// nothing comes of it.
func (g Group) CheckAdd(m Member) error {
	if m.Name == "" || strings.ContainsAny(m.Name, "/ ,") {
		return fmt.Errorf("name: %q: a word without slashes, commas and spaces is wanted", m.Name)
	}
	for _, a := range []struct{ key, address string }{{"raft", m.RaftAddress}, {"admin", m.AdminAddress}} {
		if host, port, err := net.SplitHostPort(a.address); err != nil || host == "" || port == "" || port == "0" {
			return fmt.Errorf("%s: %q: an address such as 10.0.0.4:7071, at which the others reach it, is wanted", a.key, a.address)
		}
	}
	for _, was := range g.Members {
		switch same := was.RaftAddress == m.RaftAddress && was.AdminAddress == m.AdminAddress; {
		case was.Name == m.Name && same:
			return nil
		case was.Name == m.Name:
			return fmt.Errorf("%s is a member at %s and %s: remove it first to have it elsewhere", m.Name, was.RaftAddress, was.AdminAddress)
		case was.RaftAddress == m.RaftAddress || was.AdminAddress == m.AdminAddress:
			return fmt.Errorf("%s has an address of %s: each member has its own", m.Name, was.Name)
		}
	}
	if len(g.Members) >= MaxMembers {
		return fmt.Errorf("%d members at most: remove one first", MaxMembers)
	}
	return nil
}

// CheckPromote errs where a learner can't be given a vote.
func (g Group) CheckPromote(name string) error {
	m, known := g.find(name)
	switch {
	case !known:
		return fmt.Errorf("%s is no member: add it first", name)
	case m.Voter:
		return nil
	case !g.responsive(m):
		return fmt.Errorf("%s: it would have a vote and not use it", g.absenceReason(m))
	case m.Lag > g.MaxLag:
		return fmt.Errorf("%s is %d entries behind, %d at most are wanted: wait until it has caught up", name, m.Lag, g.MaxLag)
	}
	m.Voter = true
	return g.checkMajority(append(g.voters(func(o Member) bool { return o.Name != name }), m))
}

// CheckRemove errs where a member can't be taken out. One that is no member may be removed again: nothing comes of it.
func (g Group) CheckRemove(name string) error {
	m, known := g.find(name)
	switch {
	case !known, !m.Voter && !m.Leader:
		return nil
	case m.Leader:
		return fmt.Errorf("%s leads: give the lead to another first", name)
	}
	rest := g.voters(func(o Member) bool { return o.Name != name })
	if err := g.checkMajority(rest); err != nil {
		return fmt.Errorf("without %s %w", name, err)
	}
	return nil
}

// CheckLeadershipTransfer errs where a member can't be given the lead.
func (g Group) CheckLeadershipTransfer(name string) error {
	m, known := g.find(name)
	switch {
	case !known:
		return fmt.Errorf("%s is no member", name)
	case m.Leader:
		return nil
	case !m.Voter:
		return fmt.Errorf("%s learns: promote it first", name)
	case !g.responsive(m):
		return errors.New(g.absenceReason(m))
	case m.Lag > g.MaxLag:
		return fmt.Errorf("%s is %d entries behind, %d at most are wanted: wait until it has caught up", name, m.Lag, g.MaxLag)
	}
	return nil
}

// Progress is how far a member has answered for: the highest term that it acted in, and the last entry that it acknowledged. Neither
// goes back in a folder that is whole: entries that a later leader replaces make way for ones of a later term.
type Progress struct {
	Term      uint64 `json:"term"`
	EntryTerm uint64 `json:"entry_term"`
	Index     uint64 `json:"index"`
}

// logAfter says whether the entry of one mark is later than that of the other, as raft compares logs (the paper, 5.4.1).
func (m Progress) logAfter(o Progress) bool {
	return m.EntryTerm > o.EntryTerm || m.EntryTerm == o.EntryTerm && m.Index > o.Index
}

// Max takes in what is known besides.
func (m Progress) Max(o Progress) Progress {
	if o.logAfter(m) {
		m.EntryTerm, m.Index = o.EntryTerm, o.Index
	}
	m.Term = max(m.Term, o.Term)
	return m
}

func (m Progress) String() string {
	return fmt.Sprintf("entry %d of term %d, in term %d", m.Index, m.EntryTerm, m.Term)
}

// LocalState is what a member has in its folder.
type LocalState struct {
	Name               string
	StoreID            string // the store's id; empty: it has never taken part in one
	Progress           Progress
	Empty              bool   // it has no entries: its folder is new
	Joining            bool   // its settings say that it is to be added to a store that is there
	Voters             int    // as it last knew them, itself included; for a new one, as its settings have it
	PermanentExclusion string // why it is never to take part, as it was found before; empty: nothing was
	PeerCount          int    // that it asks, by its settings; some of them may be members no more
	InMemory           bool   // it has no folder: it forgets everything at each start, by choice
}

// PeerAnswer is what another member says to one that comes.
type PeerAnswer struct {
	From               string   `json:"from"`
	StoreID            string   `json:"store"`  // empty: it has none yet
	IsMember           bool     `json:"member"` // the one that asks is a member, as far as it knows
	IsVoter            bool     `json:"votes"`  // and has a vote
	IsLeader           bool     `json:"leads"`  // it leads, as far as it knows: then it does know the members
	Term               uint64   `json:"term"`   // the highest that it acted in
	LeaderAdminAddress string   `json:"leader"` // the leader's address for operators, where it knows one
	Progress           Progress `json:"mark"`   // how far that one has answered for, to it or as it heard
	Unsupported        bool     `json:"-"`      // it does not say: its version knows nothing of this
}

// Decision is what is to be done now.
type Decision int

// The verdicts.
const (
	DecisionWait               Decision = iota // too few have answered
	DecisionStart                              // take part
	DecisionExclude                            // keep out: what was found will not mend itself
	DecisionExcludePermanently                 // the same, also after a restart, at which those who know might not be there: it is to be kept in the folder
)

// decideJoin says whether a member with a new folder that is to be added may take part. The leader is that of the latest term, of those who
// answered; one that another has gone past does not count.
func decideJoin(self LocalState, answers []PeerAnswer) (Decision, string) {
	latest, remembered, store := uint64(0), "", false
	for _, a := range answers {
		latest = max(latest, a.Term)
		store = store || a.StoreID != ""
		if !a.Unsupported && a.Progress != (Progress{}) {
			remembered = fmt.Sprintf("%s remembers that %s has answered for %v", a.From, self.Name, a.Progress)
		}
	}
	for _, a := range answers {
		if a.Unsupported || a.StoreID == "" || !a.IsLeader || a.Term < latest || a.Term == 0 {
			continue
		}
		if a.IsVoter {
			return DecisionWait, fmt.Sprintf("%s says that %s has a vote, and its folder is empty: remove it from the store, and have it added anew", a.From, self.Name)
		}
		return DecisionStart, ""
	}
	switch {
	case !store:
		return DecisionWait, "no member of a store has answered yet"
	case remembered != "":
		return DecisionWait, remembered + ", and no leader has said yet that it was removed"
	}
	return DecisionStart, ""
}

// DecideRejoin says whether a member that starts may take part, by the answers so far, and why not. Until as many have answered as
// make a majority with it, it waits: nothing could be agreed on without them in any case.
//
// A folder from an older copy is found by what others remember: a member must not vote again in a term, nor forget an entry, that
// it has answered for (its vote and its log are what the majority counted). What nobody remembers can't be found: docs/design/fleet.md.
//
// A new folder that is to be added is another matter: where the leader says that the name has no vote, whatever went by it before was
// removed, and what others remember of that counts for nothing; they may not have heard of the removal yet. Until it says so, it waits.
//
// Who is of another store has no say: it may be that one which has a wrong folder. A member is the wrong one itself where the rest
// of those that it asks can't make a majority with it.
func DecideRejoin(self LocalState, answers []PeerAnswer) (Decision, string) {
	if self.PermanentExclusion != "" {
		return DecisionExcludePermanently, self.PermanentExclusion
	}
	stranger := func(a PeerAnswer) bool {
		return !a.Unsupported && a.StoreID != "" && self.StoreID != "" && a.StoreID != self.StoreID
	}
	var strangers []string
	for _, a := range answers {
		if stranger(a) {
			strangers = append(strangers, fmt.Sprintf("%s is of the store %s", a.From, a.StoreID))
		}
	}
	apart := ""
	if len(strangers) > 0 {
		apart = fmt.Sprintf("%s, and this folder is of the store %s: it is another store's folder, or the settings name another store's member", strings.Join(strangers, ", "), self.StoreID)
	}
	need := Majority(self.Voters) - 1
	if len(strangers) > 0 && (need == 0 || max(self.PeerCount, len(answers))-len(strangers) < need) {
		return DecisionExclude, apart
	}
	answers = slices.DeleteFunc(slices.Clone(answers), stranger)
	if self.Empty && self.Joining {
		return decideJoin(self, answers)
	}
	for _, a := range answers {
		switch {
		case a.Unsupported:
		case a.From == self.Name:
			return DecisionExclude, fmt.Sprintf("another process goes by the name %s: each member has its own", self.Name)
		case self.StoreID != "" && a.StoreID != "" && a.IsLeader && !a.IsMember:
			return DecisionExclude, fmt.Sprintf("%s says that %s was removed from the store: empty its folder, set join = true and have it added", a.From, self.Name)
		case self.InMemory:
		case a.Progress.Term > self.Progress.Term || a.Progress.logAfter(self.Progress):
			what, remedy := "an older copy", "remove it from the store, empty the folder, set join = true and have it added"
			if self.Empty {
				what = "empty"
			}
			return DecisionExcludePermanently, fmt.Sprintf("%s has answered %s for %v, and its folder has %v: it is %s; %s", self.Name, a.From, a.Progress, self.Progress, what, remedy)
		case self.Empty && a.StoreID != "" && !self.Joining && !a.IsMember:
			return DecisionExclude, fmt.Sprintf("%s has a store already, of which %s is no member: set join = true and have it added", a.From, self.Name)
		}
	}
	if len(answers) < need {
		why := fmt.Sprintf("%d of %d others have answered, %d are needed", len(answers), self.Voters-1, need)
		if apart != "" {
			why += "; " + apart
		}
		return DecisionWait, why
	}
	return DecisionStart, ""
}
