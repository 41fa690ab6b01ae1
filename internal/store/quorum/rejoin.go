package quorum

import (
	"fmt"
	"slices"
	"strings"
)

// Rules for whether a member that starts may participate.
//
// The inputs are the content of the member's data directory and the answers received so far from the members that it
// asks. The first rule that applies decides:
//
//  1. The member was permanently excluded before: exclude it.
//  2. Answers from members of another store are ignored. If the remaining members can't form a majority with this one,
//     it is this member that belongs to the wrong store: exclude it.
//  3. Its data directory is empty and its settings say that it joins: it starts if a leader of the latest term seen in
//     the answers reports that its name has no vote, or if members of a store answer, none of them is such a leader,
//     and none remembers progress for the name. Otherwise it waits. If the name has no vote, a previous member of that
//     name was removed, and the progress that others remember for it is ignored: they may not have learned of the
//     removal yet.
//  4. Another process uses its name, or a leader reports that it was removed: exclude it.
//  5. Others remember a later Progress for it than its directory contains: the directory is an older copy. The member
//     must not vote again in a term, nor drop an entry, that it acknowledged, because a majority counted its vote and
//     its log. Exclude it permanently: after a restart, the members that remember its progress might be absent.
//  6. Its directory is empty, it does not join, and it is not a member of the existing store: exclude it.
//  7. Fewer than Majority(voters)-1 others have answered: wait. Nothing could be committed without them in any case.
//  8. Otherwise it starts.
//
// An outdated directory goes undetected if no responsive member remembers its progress: docs/design/fleet.md.

// LocalState is what a starting member knows about itself.
type LocalState struct {
	Name               string
	StoreID            string // empty: it has never participated in a store
	Progress           Progress
	Empty              bool   // its data directory has no entries
	Joining            bool   // its settings say that it is to be added to an existing store
	Voters             int    // last known number, itself included; with an empty directory, the number in its settings
	PermanentExclusion string // stored reason why it may never participate; empty: none
	PeerCount          int    // other members in its settings, which it asks; some may have been removed
	InMemory           bool   // it is configured without a data directory and starts empty each time
}

// PeerAnswer is another member's response to a starting member, the requester.
type PeerAnswer struct {
	From               string   `json:"from"`
	StoreID            string   `json:"store"`  // empty: not known yet
	IsMember           bool     `json:"member"` // the requester is a member, as far as the responder knows
	IsVoter            bool     `json:"votes"`  // the requester is a voter
	IsLeader           bool     `json:"leads"`  // the responder is the leader, as far as it knows, so it knows the members
	Term               uint64   `json:"term"`   // the highest term in which the responder acted
	LeaderAdminAddress string   `json:"leader"` // the leader's address for operators; empty: not known
	Progress           Progress `json:"mark"`   // the requester's progress, as the responder remembers it
	// Readmission is how far the responder's own readmission is, if it lost its data directory.
	Readmission   Readmission `json:"readmit,omitempty"`
	ReadmissionID string      `json:"readmit_id,omitempty"` // with ReadmissionStarted: the id under which it has to be recorded
	Unsupported   bool        `json:"-"`                    // the responder's version does not support the request
}

// Readmission is how far the readmission of a member is that lost its data directory. The zero value means that it lost none.
type Readmission string

// The steps of a readmission.
const (
	ReadmissionAwaited Readmission = "awaited" // it does not participate until its vote was taken away
	ReadmissionStarted Readmission = "started" // it participates as a learner, until it has its vote again
)

// Decision is what a starting member has to do.
type Decision int

// The decisions of DecideRejoin.
const (
	DecisionWait               Decision = iota // too few members have answered
	DecisionStart                              // participate
	DecisionExclude                            // do not participate: the condition does not resolve itself
	DecisionExcludePermanently                 // the same, also after a restart: the caller has to store the reason
)

// DecideRejoin returns whether a starting member may participate, given the answers so far, and if not, why.
func DecideRejoin(local LocalState, answers []PeerAnswer) (Decision, string) {
	if local.PermanentExclusion != "" {
		return DecisionExcludePermanently, local.PermanentExclusion
	}
	foreign := foreignStores(local, answers)
	needed := Majority(local.Voters) - 1
	if len(foreign) > 0 && (needed == 0 || max(local.PeerCount, len(answers))-len(foreign) < needed) {
		return DecisionExclude, foreignStoreReason(local, foreign)
	}
	answers = slices.DeleteFunc(slices.Clone(answers), local.isForeign)
	if local.Empty && local.Joining {
		return decideJoin(local, answers)
	}
	for _, a := range answers {
		if decision, reason := decideByAnswer(local, a); decision != DecisionStart {
			return decision, reason
		}
	}
	if len(answers) < needed {
		reason := fmt.Sprintf("%d of %d other members have answered, %d are needed", len(answers), local.Voters-1, needed)
		if len(foreign) > 0 {
			reason += "; " + foreignStoreReason(local, foreign)
		}
		return DecisionWait, reason
	}
	return DecisionStart, ""
}

// isForeign reports whether an answer is from a member of another store.
func (l LocalState) isForeign(a PeerAnswer) bool {
	return !a.Unsupported && a.StoreID != "" && l.StoreID != "" && a.StoreID != l.StoreID
}

// foreignStores describes the answers from members of another store.
func foreignStores(local LocalState, answers []PeerAnswer) (foreign []string) {
	for _, a := range answers {
		if local.isForeign(a) {
			foreign = append(foreign, fmt.Sprintf("%s belongs to store %s", a.From, a.StoreID))
		}
	}
	return foreign
}

func foreignStoreReason(local LocalState, foreign []string) string {
	return fmt.Sprintf("%s, but this data directory belongs to store %s: "+
		"it is another store's directory, or the settings name another store's member",
		strings.Join(foreign, ", "), local.StoreID)
}

// decideByAnswer returns whether a single answer excludes the member. It is not used for a member that joins with an
// empty directory.
func decideByAnswer(local LocalState, a PeerAnswer) (Decision, string) {
	switch {
	case a.Unsupported:
		return DecisionStart, ""
	case a.From == local.Name:
		return DecisionExclude, fmt.Sprintf("another process uses the name %s: each member needs its own", local.Name)
	case local.StoreID != "" && a.StoreID != "" && a.IsLeader && !a.IsMember:
		return DecisionExclude, fmt.Sprintf("%s reports that %s was removed from the store: "+
			"empty its data directory, set join = true and add it again", a.From, local.Name)
	case local.InMemory:
		return DecisionStart, ""
	case a.Progress.Term > local.Progress.Term || a.Progress.logAfter(local.Progress):
		return DecisionExcludePermanently, outdatedReason(local, a)
	case local.Empty && a.StoreID != "" && !local.Joining && !a.IsMember:
		return DecisionExclude, fmt.Sprintf("%s already has a store of which %s is not a member: "+
			"set join = true and add it", a.From, local.Name)
	}
	return DecisionStart, ""
}

// outdatedReason describes what the member has acknowledged and its data directory does not contain.
func outdatedReason(local LocalState, a PeerAnswer) string {
	state := "an older copy"
	if local.Empty {
		state = "empty"
	}
	return fmt.Sprintf("%s has acknowledged to %s %v, but its data directory has %v: it is %s; "+
		"remove it from the store, empty the directory, set join = true and add it again",
		local.Name, a.From, a.Progress, local.Progress, state)
}

// decideJoin returns whether a member that joins with an empty directory may participate. Only a leader of the latest
// term in all answers counts: one of an earlier term has been superseded.
func decideJoin(local LocalState, answers []PeerAnswer) (Decision, string) {
	latest := latestTerm(answers)
	for _, a := range answers {
		if a.Unsupported || a.StoreID == "" || !a.IsLeader || a.Term < latest || a.Term == 0 {
			continue
		}
		if a.IsVoter {
			return DecisionWait, fmt.Sprintf("%s reports that %s has a vote, but its data directory is empty: "+
				"remove it from the store and add it again", a.From, local.Name)
		}
		return DecisionStart, ""
	}
	if !slices.ContainsFunc(answers, func(a PeerAnswer) bool { return a.StoreID != "" }) {
		return DecisionWait, "no member of a store has answered yet"
	}
	if remembered := rememberedProgress(local, answers); remembered != "" {
		return DecisionWait, remembered + ", and no leader has confirmed yet that it was removed"
	}
	return DecisionStart, ""
}

func latestTerm(answers []PeerAnswer) (latest uint64) {
	for _, a := range answers {
		latest = max(latest, a.Term)
	}
	return latest
}

// rememberedProgress describes the progress that another member remembers for this one, or returns "" if none does. If
// several do, it describes what the last of them remembers.
func rememberedProgress(local LocalState, answers []PeerAnswer) (remembered string) {
	for _, a := range answers {
		if !a.Unsupported && a.Progress != (Progress{}) {
			remembered = fmt.Sprintf("%s remembers that %s has acknowledged %v", a.From, local.Name, a.Progress)
		}
	}
	return remembered
}
