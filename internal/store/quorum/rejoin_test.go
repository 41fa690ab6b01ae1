package quorum

import (
	"strings"
	"testing"
)

// TestDecideRejoin: what a member that starts may do, by its data directory and the answers of the others.
func TestDecideRejoin(t *testing.T) {
	known := PeerAnswer{From: "b", StoreID: "S", IsMember: true, Progress: Progress{3, 2, 20}}
	intact := LocalState{Name: "a", StoreID: "S", Progress: Progress{3, 2, 20}, Voters: 3, PeerCount: 2}
	empty := LocalState{Name: "a", Empty: true, Voters: 3}
	joins := empty
	joins.Joining = true
	memory := empty
	memory.InMemory = true
	with := func(a PeerAnswer, change func(*PeerAnswer)) PeerAnswer { change(&a); return a }
	for _, c := range []struct {
		name     string
		local    LocalState
		answers  []PeerAnswer
		decision Decision
		reason   string
	}{
		{"an intact directory", intact, []PeerAnswer{known}, DecisionStart, ""},
		{"nobody answers", intact, nil, DecisionWait, "0 of 2 others have answered, 1 are needed"},
		{"alone", LocalState{Name: "a", Voters: 1}, nil, DecisionStart, ""},
		{"one of five", LocalState{Name: "a", StoreID: "S", Voters: 5, Progress: Progress{9, 9, 90}}, []PeerAnswer{known}, DecisionWait, "1 of 4"},
		{"the first start", empty, []PeerAnswer{{From: "b"}}, DecisionStart, ""},
		{"another's version", intact, []PeerAnswer{{From: "b", Unsupported: true}}, DecisionStart, ""},
		{"an older copy by its entries", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Progress.Index = 21 })}, DecisionExcludePermanently, "it is an older copy"},
		{"an older copy by its term", intact, []PeerAnswer{known, with(known, func(a *PeerAnswer) { a.Progress.Term = 4 })}, DecisionExcludePermanently, "term 4"},
		{"entries replaced by a later leader's", LocalState{Name: "a", StoreID: "S", Progress: Progress{4, 4, 12}, Voters: 3}, []PeerAnswer{known}, DecisionStart, ""},
		{"a lost directory", empty, []PeerAnswer{known}, DecisionExcludePermanently, "it is empty"},
		{"in memory", memory, []PeerAnswer{known}, DecisionStart, ""},
		{"new, and one has not heard that the name was removed", LocalState{Name: "a", Empty: true, Joining: true, Voters: 3}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Term = 3 }), {From: "c", StoreID: "S", IsMember: true, IsLeader: true, Term: 4}}, DecisionStart, ""},
		{"new, by a deposed leader's answer", LocalState{Name: "a", Empty: true, Joining: true, Voters: 3}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Term = 5 }), {From: "c", StoreID: "S", IsMember: true, IsLeader: true, Term: 4}}, DecisionWait, "no leader has said yet"},
		{"new, and it has a vote", LocalState{Name: "a", Empty: true, Joining: true, Voters: 3}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Term = 3 }), {From: "c", StoreID: "S", IsMember: true, IsVoter: true, IsLeader: true, Term: 4}}, DecisionWait, "c says that a has a vote"},
		{"another store's", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" }), with(known, func(a *PeerAnswer) { a.From, a.StoreID = "c", "T" })}, DecisionExclude, "b is of the store T, c is of the store T, and this folder is of the store S"},
		{"one other with another store's folder", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" })}, DecisionWait, "0 of 2 others have answered, 1 are needed; b is of the store T"},
		{"one other with another store's folder, and one that knows", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" }), with(known, func(a *PeerAnswer) { a.From = "c" })}, DecisionStart, ""},
		{"in memory, another store's", LocalState{Name: "a", InMemory: true, StoreID: "S", Voters: 2, PeerCount: 1}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" })}, DecisionExclude, "another store's"},
		{"was removed", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.IsMember, a.IsLeader = false, true })}, DecisionExclude, "was removed"},
		{"was added, and a follower has not heard", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.IsMember = false })}, DecisionStart, ""},
		{"a name twice", intact, []PeerAnswer{with(known, func(a *PeerAnswer) { a.From = "a" })}, DecisionExclude, "another process goes by the name a"},
		{"a new one that nobody knows", empty, []PeerAnswer{{From: "b", StoreID: "S"}}, DecisionExclude, "set join = true"},
		{"a new one that joins", joins, []PeerAnswer{{From: "b", StoreID: "S"}}, DecisionStart, ""},
		{"a new one that joins, too soon", joins, []PeerAnswer{{From: "b"}}, DecisionWait, "no member of a store"},
		{"one that joins on the folder of one that was there", joins, []PeerAnswer{known}, DecisionWait, "no leader has said yet"},
	} {
		decision, reason := DecideRejoin(c.local, c.answers)
		if decision != c.decision || !strings.Contains(reason, c.reason) || c.reason == "" && reason != "" {
			t.Errorf("%s: %v %q, want %v %q", c.name, decision, reason, c.decision, c.reason)
		}
	}
}
