package quorum

import (
	"strings"
	"testing"
	"time"
)

// group reads members: "L" leads, "v" votes, "l" learns; then "!" has not answered for long, "?" never did, "b" is behind, "o" is
// kept out.
func group(text string) Group {
	g := Group{MaxSilence: time.Second, MaxLag: 10}
	for _, w := range strings.Fields(text) {
		name, kind, _ := strings.Cut(w, ":")
		m := Member{Name: name, RaftAddress: name + ":1", AdminAddress: name + ":2", Voter: kind[0] != 'l', Leader: kind[0] == 'L'}
		switch kind[1:] {
		case "!":
			m.SinceContact = time.Minute
		case "?":
			m.SinceContact = -1
		case "b":
			m.Lag = 11
		case "o":
			m.ExclusionReason = "an older copy"
		}
		g.Members = append(g.Members, m)
	}
	return g
}

func TestChanges(t *testing.T) {
	for _, c := range []struct {
		group, ask, name, err string // err: a part of it; empty: it is allowed
	}{
		{"a:L b:v c:v", "add", "d", ""},
		{"a:L b:v c:v", "add", "b", ""}, // again
		{"a:L b:v c:v", "add", "", "a word"},
		{"a:L b:v c:v", "add", "x/y", "a word"},
		{"a:L b:v c:v d:v e:v f:v g:l h:l i:l", "add", "j", "9 members at most"},
		{"a:L b:v c:v d:l", "promote", "d", ""},
		{"a:L b:v c:v d:v", "promote", "d", ""}, // again
		{"a:L b:v c:v", "promote", "d", "add it first"},
		{"a:L b:v c:v d:lb", "promote", "d", "11 entries behind"},
		{"a:L b:v c:v d:l!", "promote", "d", "has not answered for 1m0s"},
		{"a:L b:v c:v d:l?", "promote", "d", "has not answered since"},
		{"a:L b:v c:v d:lo", "promote", "d", "an older copy"},
		{"a:L b:v! c:v! d:l", "promote", "d", "2 of 4 voters would be there, and 3"},
		{"a:L b:v c:v! d:l", "promote", "d", ""},
		{"a:L b:v c:v", "remove", "a", "give the lead"},
		{"a:L", "remove", "a", "give the lead"},
		{"a:L b:v c:v", "remove", "b", ""},
		{"a:L b:v c:v", "remove", "d", ""}, // again
		{"a:L b:v c:v!", "remove", "b", "without b 1 of 2 voters would be there, and 2 are needed to agree on anything: c has not answered for 1m0s"},
		{"a:L b:v c:v!", "remove", "c", ""},
		{"a:L b:v! c:v! d:l", "remove", "d", ""},
		{"a:L b:v", "remove", "b", ""},
		{"a:L b:v c:v d:l", "lead", "b", ""},
		{"a:L b:v c:v d:l", "lead", "a", ""},
		{"a:L b:v c:v d:l", "lead", "d", "promote it first"},
		{"a:L b:vb c:v", "lead", "b", "behind"},
		{"a:L b:v? c:v", "lead", "b", "has not answered"},
		{"a:L b:v c:v", "lead", "z", "no member"},
	} {
		g := group(c.group)
		var err error
		switch c.ask {
		case "add":
			err = g.CheckAdd(Member{Name: c.name, RaftAddress: c.name + ":1", AdminAddress: c.name + ":2"})
		case "promote":
			err = g.CheckPromote(c.name)
		case "remove":
			err = g.CheckRemove(c.name)
		case "lead":
			err = g.CheckLeadershipTransfer(c.name)
		}
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s, %s %s: %v, want %q", c.group, c.ask, c.name, err, c.err)
		}
	}
	g := group("a:L b:v")
	for _, c := range []struct{ name, raft, admin, err string }{
		{"b", "b:9", "b:2", "remove it first"},
		{"d", "b:1", "d:2", "has an address of b"},
		{"d", "d:1", "a:2", "has an address of a"},
		{"d", "d", "d:2", "raft: \"d\": an address"},
		{"d", "d:1", ":2", "admin: \":2\": an address"},
		{"d", "d:0", "d:2", "raft"},
	} {
		if err := g.CheckAdd(Member{Name: c.name, RaftAddress: c.raft, AdminAddress: c.admin}); err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("add %s %s %s: %v, want %q", c.name, c.raft, c.admin, err, c.err)
		}
	}
}

func TestReturns(t *testing.T) {
	known := PeerAnswer{From: "b", StoreID: "S", IsMember: true, Progress: Progress{3, 2, 20}}
	whole := LocalState{Name: "a", StoreID: "S", Progress: Progress{3, 2, 20}, Voters: 3, PeerCount: 2}
	blank := LocalState{Name: "a", Empty: true, Voters: 3}
	joins := blank
	joins.Joining = true
	memory := blank
	memory.InMemory = true
	with := func(a PeerAnswer, change func(*PeerAnswer)) PeerAnswer { change(&a); return a }
	for _, c := range []struct {
		what    string
		self    LocalState
		answers []PeerAnswer
		verdict Decision
		why     string
	}{
		{"comes back whole", whole, []PeerAnswer{known}, DecisionStart, ""},
		{"nobody answers", whole, nil, DecisionWait, "0 of 2 others have answered, 1 are needed"},
		{"alone", LocalState{Name: "a", Voters: 1}, nil, DecisionStart, ""},
		{"one of five", LocalState{Name: "a", StoreID: "S", Voters: 5, Progress: Progress{9, 9, 90}}, []PeerAnswer{known}, DecisionWait, "1 of 4"},
		{"the first start", blank, []PeerAnswer{{From: "b"}}, DecisionStart, ""},
		{"another's version", whole, []PeerAnswer{{From: "b", Unsupported: true}}, DecisionStart, ""},
		{"an older copy by its entries", whole, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Progress.Index = 21 })}, DecisionExcludePermanently, "it is an older copy"},
		{"an older copy by its vote", whole, []PeerAnswer{known, with(known, func(a *PeerAnswer) { a.Progress.Term = 4 })}, DecisionExcludePermanently, "term 4"},
		{"entries replaced by a later leader's", LocalState{Name: "a", StoreID: "S", Progress: Progress{4, 4, 12}, Voters: 3}, []PeerAnswer{known}, DecisionStart, ""},
		{"a lost folder", blank, []PeerAnswer{known}, DecisionExcludePermanently, "it is empty"},
		{"in memory", memory, []PeerAnswer{known}, DecisionStart, ""},
		{"new, and one has not heard that the name was removed", LocalState{Name: "a", Empty: true, Joining: true, Voters: 3}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Term = 3 }), {From: "c", StoreID: "S", IsMember: true, IsLeader: true, Term: 4}}, DecisionStart, ""},
		{"new, by the word of a leader of before", LocalState{Name: "a", Empty: true, Joining: true, Voters: 3}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Term = 5 }), {From: "c", StoreID: "S", IsMember: true, IsLeader: true, Term: 4}}, DecisionWait, "no leader has said yet"},
		{"new, and it has a vote", LocalState{Name: "a", Empty: true, Joining: true, Voters: 3}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.Term = 3 }), {From: "c", StoreID: "S", IsMember: true, IsVoter: true, IsLeader: true, Term: 4}}, DecisionWait, "c says that a has a vote"},
		{"another store's", whole, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" }), with(known, func(a *PeerAnswer) { a.From, a.StoreID = "c", "T" })}, DecisionExclude, "b is of the store T, c is of the store T, and this folder is of the store S"},
		{"one other with another store's folder", whole, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" })}, DecisionWait, "0 of 2 others have answered, 1 are needed; b is of the store T"},
		{"one other with another store's folder, and one that knows", whole, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" }), with(known, func(a *PeerAnswer) { a.From = "c" })}, DecisionStart, ""},
		{"in memory, another store's", LocalState{Name: "a", InMemory: true, StoreID: "S", Voters: 2, PeerCount: 1}, []PeerAnswer{with(known, func(a *PeerAnswer) { a.StoreID = "T" })}, DecisionExclude, "another store's"},
		{"was removed", whole, []PeerAnswer{with(known, func(a *PeerAnswer) { a.IsMember, a.IsLeader = false, true })}, DecisionExclude, "was removed"},
		{"was added, and a follower has not heard", whole, []PeerAnswer{with(known, func(a *PeerAnswer) { a.IsMember = false })}, DecisionStart, ""},
		{"a name twice", whole, []PeerAnswer{with(known, func(a *PeerAnswer) { a.From = "a" })}, DecisionExclude, "another process goes by the name a"},
		{"a new one that nobody knows", blank, []PeerAnswer{{From: "b", StoreID: "S"}}, DecisionExclude, "set join = true"},
		{"a new one that joins", joins, []PeerAnswer{{From: "b", StoreID: "S"}}, DecisionStart, ""},
		{"a new one that joins, too soon", joins, []PeerAnswer{{From: "b"}}, DecisionWait, "no member of a store"},
		{"one that joins on the folder of one that was there", joins, []PeerAnswer{known}, DecisionWait, "no leader has said yet"},
	} {
		got, why := DecideRejoin(c.self, c.answers)
		if got != c.verdict || !strings.Contains(why, c.why) || c.why == "" && why != "" {
			t.Errorf("%s: %v %q, want %v %q", c.what, got, why, c.verdict, c.why)
		}
	}
}
