package quorum

import (
	"strings"
	"testing"
)

// TestDecideRejoin checks the decision for a starting member, given its data directory and the answers of the others.
func TestDecideRejoin(t *testing.T) {
	known := PeerAnswer{From: "b", StoreID: "S", IsMember: true, Progress: Progress{3, 2, 20}}
	intact := LocalState{Name: "a", StoreID: "S", Progress: Progress{3, 2, 20}, Voters: 3, PeerCount: 2}
	empty := LocalState{Name: "a", Empty: true, Voters: 3}
	joining := empty
	joining.Joining = true
	inMemory := empty
	inMemory.InMemory = true
	with := func(a PeerAnswer, change func(*PeerAnswer)) PeerAnswer { change(&a); return a }
	for _, c := range []struct {
		name     string
		local    LocalState
		answers  []PeerAnswer
		decision Decision
		reason   string
	}{
		{"an intact directory", intact, []PeerAnswer{known}, DecisionStart, ""},
		{"no answers", intact, nil, DecisionWait, "0 of 2 other members have answered, 1 are needed"},
		{"the only member", LocalState{Name: "a", Voters: 1}, nil, DecisionStart, ""},
		{"one answer of four", LocalState{Name: "a", StoreID: "S", Voters: 5, Progress: Progress{9, 9, 90}}, []PeerAnswer{known}, DecisionWait, "1 of 4"},
		{"the first start", empty, []PeerAnswer{{From: "b"}}, DecisionStart, ""},
		{"the peer's version does not support the request", intact, []PeerAnswer{{From: "b", Unsupported: true}}, DecisionStart, ""},
		{"an older copy by its entries", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Progress.Index = 21 })}, DecisionExcludePermanently, "it is an older copy"},
		{"an older copy by its term", intact, []PeerAnswer{known, with(known, func(a *PeerAnswer) { a.Progress.Term = 4 })}, DecisionExcludePermanently, "term 4"},
		{"entries replaced by a later leader", LocalState{Name: "a", StoreID: "S", Progress: Progress{4, 4, 12}, Voters: 3}, []PeerAnswer{known}, DecisionStart, ""},
		{"a lost directory", empty, []PeerAnswer{known}, DecisionExcludePermanently, "it is empty"},
		{"in memory", inMemory, []PeerAnswer{known}, DecisionStart, ""},
		{"joining, and a peer does not know of the name's removal", LocalState{Name: "a", Empty: true, Joining: true, Voters: 3}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Term = 3 }), {From: "c", StoreID: "S", IsMember: true, IsLeader: true, Term: 4}}, DecisionStart, ""},
		{"joining, and the only leader that answers is deposed", LocalState{Name: "a", Empty: true, Joining: true, Voters: 3}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Term = 5 }), {From: "c", StoreID: "S", IsMember: true, IsLeader: true, Term: 4}}, DecisionWait, "no leader has confirmed yet"},
		{"joining, and the name has a vote", LocalState{Name: "a", Empty: true, Joining: true, Voters: 3}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Term = 3 }), {From: "c", StoreID: "S", IsMember: true, IsVoter: true, IsLeader: true, Term: 4}}, DecisionWait, "c reports that a has a vote"},
		{"all others are of another store", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" }), with(known, func(a *PeerAnswer) { a.From, a.StoreID = "c", "T" })}, DecisionExclude, "b belongs to store T, c belongs to store T, but this data directory belongs to store S"},
		{"one other of another store", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" })}, DecisionWait, "0 of 2 other members have answered, 1 are needed; b belongs to store T"},
		{"one other of another store, and one of this store", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" }), with(known, func(a *PeerAnswer) { a.From = "c" })}, DecisionStart, ""},
		{"in memory, and the other is of another store", LocalState{Name: "a", InMemory: true, StoreID: "S", Voters: 2, PeerCount: 1}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" })}, DecisionExclude, "another store's"},
		{"removed, by the leader's answer", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.IsMember, a.IsLeader = false, true })}, DecisionExclude, "was removed"},
		{"added, and a follower does not know", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.IsMember = false })}, DecisionStart, ""},
		{"a name used twice", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.From = "a" })}, DecisionExclude, "another process uses the name a"},
		{"empty, not a member, not joining", empty, []PeerAnswer{{From: "b", StoreID: "S"}}, DecisionExclude, "set join = true"},
		{"joining", joining, []PeerAnswer{{From: "b", StoreID: "S"}}, DecisionStart, ""},
		{"joining, and there is no store yet", joining, []PeerAnswer{{From: "b"}}, DecisionWait, "no member of a store"},
		{"joining, and the name's progress is remembered", joining, []PeerAnswer{known}, DecisionWait, "no leader has confirmed yet"},
	} {
		decision, reason := DecideRejoin(c.local, c.answers)
		if decision != c.decision || !strings.Contains(reason, c.reason) || c.reason == "" && reason != "" {
			t.Errorf("%s: %v %q, want %v %q", c.name, decision, reason, c.decision, c.reason)
		}
	}
}
