package quorum

import (
	"fmt"
	"slices"
	"strings"
)

// Rule: whether a member that starts may take part.
//
// Inputs: what the member has in its data directory, and the answers so far of the members that it asks. The first that
// applies:
//
//  1. It was found before that it may never take part: it does not.
//  2. Answers of another store's members don't count. If those of the rest can't make a majority with this member, it is this
//     member that is of the wrong store: exclude it.
//  3. Its directory is empty and its settings say that it joins: a leader of the latest term heard of has to report that its
//     name has no vote. Whatever had the name before was removed then, and what others remember of it does not count; they may
//     not have learned of the removal yet.
//  4. Another process has its name, or a leader reports that it was removed: exclude it.
//  5. Others remember a later Progress of it than its directory has: the directory is an older copy. It must not vote again in
//     a term, nor forget an entry, that it has answered for, since the majority counted its vote and its log. Exclude it
//     permanently, also after a restart at which those that remember might be absent.
//  6. Its directory is empty, it does not join, and there is a store of which it is no member: exclude it.
//  7. Fewer than Majority(voters)-1 others have answered: wait. Nothing could be committed without them in any case.
//  8. Else it starts.
//
// What no responsive member remembers can't be found: docs/design/fleet.md.

// LocalState is what a member that starts knows of itself.
type LocalState struct {
	Name               string
	StoreID            string // empty: it has never taken part in a store
	Progress           Progress
	Empty              bool   // its data directory has no entries
	Joining            bool   // its settings say that it is to be added to an existing store
	Voters             int    // as it last knew them, itself included; with an empty directory as its settings list them
	PermanentExclusion string // why it may never take part, as was found before; empty: nothing was found
	PeerCount          int    // that it asks by its settings; some of them may be members no more
	InMemory           bool   // it has no data directory: it starts empty each time, by configuration
}

// PeerAnswer is the response of another member to one that starts, the requester.
type PeerAnswer struct {
	From               string   `json:"from"`
	StoreID            string   `json:"store"`  // empty: it has none yet
	IsMember           bool     `json:"member"` // the requester is a member, as far as is known
	IsVoter            bool     `json:"votes"`  // the requester is a voter
	IsLeader           bool     `json:"leads"`  // the responder leads, as far as it knows: then it does know the members
	Term               uint64   `json:"term"`   // the highest that the responder acted in
	LeaderAdminAddress string   `json:"leader"` // where operators reach the leader; empty: not known
	Progress           Progress `json:"mark"`   // of the requester, as the responder remembers it
	Unsupported        bool     `json:"-"`      // its version does not know the question
}

// Decision is what a member that starts has to do.
type Decision int

// Decisions.
const (
	DecisionWait               Decision = iota // too few have answered
	DecisionStart                              // take part
	DecisionExclude                            // take no part: what was found does not mend itself
	DecisionExcludePermanently                 // the same, also after a restart: the reason has to be stored
)

// DecideRejoin returns whether a member that starts may take part, by the answers so far, and why not.
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
		reason := fmt.Sprintf("%d of %d others have answered, %d are needed", len(answers), local.Voters-1, needed)
		if len(foreign) > 0 {
			reason += "; " + foreignStoreReason(local, foreign)
		}
		return DecisionWait, reason
	}
	return DecisionStart, ""
}

// isForeign reports whether an answer is of another store's member.
func (l LocalState) isForeign(a PeerAnswer) bool {
	return !a.Unsupported && a.StoreID != "" && l.StoreID != "" && a.StoreID != l.StoreID
}

// foreignStores says which answers are of another store's members.
func foreignStores(local LocalState, answers []PeerAnswer) (foreign []string) {
	for _, a := range answers {
		if local.isForeign(a) {
			foreign = append(foreign, fmt.Sprintf("%s is of the store %s", a.From, a.StoreID))
		}
	}
	return foreign
}

func foreignStoreReason(local LocalState, foreign []string) string {
	return fmt.Sprintf("%s, and this folder is of the store %s: it is another store's folder, or the settings name another store's member",
		strings.Join(foreign, ", "), local.StoreID)
}

// decideByAnswer returns whether one answer excludes a member that does not join with an empty directory.
func decideByAnswer(local LocalState, a PeerAnswer) (Decision, string) {
	switch {
	case a.Unsupported:
		return DecisionStart, ""
	case a.From == local.Name:
		return DecisionExclude, fmt.Sprintf("another process goes by the name %s: each member has its own", local.Name)
	case local.StoreID != "" && a.StoreID != "" && a.IsLeader && !a.IsMember:
		return DecisionExclude, fmt.Sprintf("%s says that %s was removed from the store: empty its folder, set join = true and have it added", a.From, local.Name)
	case local.InMemory:
		return DecisionStart, ""
	case a.Progress.Term > local.Progress.Term || a.Progress.logAfter(local.Progress):
		return DecisionExcludePermanently, outdatedReason(local, a)
	case local.Empty && a.StoreID != "" && !local.Joining && !a.IsMember:
		return DecisionExclude, fmt.Sprintf("%s has a store already, of which %s is no member: set join = true and have it added", a.From, local.Name)
	}
	return DecisionStart, ""
}

// outdatedReason says what the member has answered for and its directory does not have.
func outdatedReason(local LocalState, a PeerAnswer) string {
	what := "an older copy"
	if local.Empty {
		what = "empty"
	}
	return fmt.Sprintf("%s has answered %s for %v, and its folder has %v: it is %s; remove it from the store, empty the folder, set join = true and have it added",
		local.Name, a.From, a.Progress, local.Progress, what)
}

// decideJoin returns whether a member that joins with an empty directory may take part. The leader that counts is one of the
// latest term of all answers; another has gone past an older one.
func decideJoin(local LocalState, answers []PeerAnswer) (Decision, string) {
	latest := latestTerm(answers)
	for _, a := range answers {
		if a.Unsupported || a.StoreID == "" || !a.IsLeader || a.Term < latest || a.Term == 0 {
			continue
		}
		if a.IsVoter {
			return DecisionWait, fmt.Sprintf("%s says that %s has a vote, and its folder is empty: remove it from the store, and have it added anew", a.From, local.Name)
		}
		return DecisionStart, ""
	}
	if !slices.ContainsFunc(answers, func(a PeerAnswer) bool { return a.StoreID != "" }) {
		return DecisionWait, "no member of a store has answered yet"
	}
	if remembered := rememberedProgress(local, answers); remembered != "" {
		return DecisionWait, remembered + ", and no leader has said yet that it was removed"
	}
	return DecisionStart, ""
}

func latestTerm(answers []PeerAnswer) (latest uint64) {
	for _, a := range answers {
		latest = max(latest, a.Term)
	}
	return latest
}

// rememberedProgress says what the last answer of those that remember a member remembers of it; empty: none does.
func rememberedProgress(local LocalState, answers []PeerAnswer) (remembered string) {
	for _, a := range answers {
		if !a.Unsupported && a.Progress != (Progress{}) {
			remembered = fmt.Sprintf("%s remembers that %s has answered for %v", a.From, local.Name, a.Progress)
		}
	}
	return remembered
}
