package quorum

import (
	"strings"
	"testing"
	"time"
)

// group reads members: "L" leads, "v" votes, "l" learns; then "!" has not answered for long, "?" never did, "b" is behind, "o" is
// kept out.
func group(text string) Group {
	g := Group{Fresh: time.Second, Near: 10}
	for _, w := range strings.Fields(text) {
		name, kind, _ := strings.Cut(w, ":")
		m := Member{Name: name, Raft: name + ":1", Admin: name + ":2", Voter: kind[0] != 'l', Leader: kind[0] == 'L'}
		switch kind[1:] {
		case "!":
			m.Heard = time.Minute
		case "?":
			m.Heard = -1
		case "b":
			m.Behind = 11
		case "o":
			m.Out = "an older copy"
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
			err = g.Add(Member{Name: c.name, Raft: c.name + ":1", Admin: c.name + ":2"})
		case "promote":
			err = g.Promote(c.name)
		case "remove":
			err = g.Remove(c.name)
		case "lead":
			err = g.Lead(c.name)
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
		if err := g.Add(Member{Name: c.name, Raft: c.raft, Admin: c.admin}); err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("add %s %s %s: %v, want %q", c.name, c.raft, c.admin, err, c.err)
		}
	}
}

func TestReturns(t *testing.T) {
	known := Answer{From: "b", Store: "S", Member: true, Mark: Mark{3, 2, 20}}
	whole := Self{Name: "a", Store: "S", Mark: Mark{3, 2, 20}, Voters: 3, Others: 2}
	blank := Self{Name: "a", Blank: true, Voters: 3}
	joins := blank
	joins.Joins = true
	memory := blank
	memory.Memory = true
	with := func(a Answer, change func(*Answer)) Answer { change(&a); return a }
	for _, c := range []struct {
		what    string
		self    Self
		answers []Answer
		verdict Verdict
		why     string
	}{
		{"comes back whole", whole, []Answer{known}, Enter, ""},
		{"nobody answers", whole, nil, Wait, "0 of 2 others have answered, 1 are needed"},
		{"alone", Self{Name: "a", Voters: 1}, nil, Enter, ""},
		{"one of five", Self{Name: "a", Store: "S", Voters: 5, Mark: Mark{9, 9, 90}}, []Answer{known}, Wait, "1 of 4"},
		{"the first start", blank, []Answer{{From: "b"}}, Enter, ""},
		{"another's version", whole, []Answer{{From: "b", Silent: true}}, Enter, ""},
		{"an older copy by its entries", whole, []Answer{with(known, func(a *Answer) { a.Mark.Index = 21 })}, Never, "it is an older copy"},
		{"an older copy by its vote", whole, []Answer{known, with(known, func(a *Answer) { a.Mark.Term = 4 })}, Never, "term 4"},
		{"entries replaced by a later leader's", Self{Name: "a", Store: "S", Mark: Mark{4, 4, 12}, Voters: 3}, []Answer{known}, Enter, ""},
		{"a lost folder", blank, []Answer{known}, Never, "it is empty"},
		{"in memory", memory, []Answer{known}, Enter, ""},
		{"new, and one has not heard that the name was removed", Self{Name: "a", Blank: true, Joins: true, Voters: 3}, []Answer{with(known, func(a *Answer) { a.Term = 3 }), {From: "c", Store: "S", Member: true, Leads: true, Term: 4}}, Enter, ""},
		{"new, by the word of a leader of before", Self{Name: "a", Blank: true, Joins: true, Voters: 3}, []Answer{with(known, func(a *Answer) { a.Term = 5 }), {From: "c", Store: "S", Member: true, Leads: true, Term: 4}}, Wait, "no leader has said yet"},
		{"new, and it has a vote", Self{Name: "a", Blank: true, Joins: true, Voters: 3}, []Answer{with(known, func(a *Answer) { a.Term = 3 }), {From: "c", Store: "S", Member: true, Votes: true, Leads: true, Term: 4}}, Wait, "c says that a has a vote"},
		{"another store's", whole, []Answer{with(known, func(a *Answer) { a.Store = "T" }), with(known, func(a *Answer) { a.From, a.Store = "c", "T" })}, Stay, "b is of the store T, c is of the store T, and this folder is of the store S"},
		{"one other with another store's folder", whole, []Answer{with(known, func(a *Answer) { a.Store = "T" })}, Wait, "0 of 2 others have answered, 1 are needed; b is of the store T"},
		{"one other with another store's folder, and one that knows", whole, []Answer{with(known, func(a *Answer) { a.Store = "T" }), with(known, func(a *Answer) { a.From = "c" })}, Enter, ""},
		{"in memory, another store's", Self{Name: "a", Memory: true, Store: "S", Voters: 2, Others: 1}, []Answer{with(known, func(a *Answer) { a.Store = "T" })}, Stay, "another store's"},
		{"was removed", whole, []Answer{with(known, func(a *Answer) { a.Member, a.Leads = false, true })}, Stay, "was removed"},
		{"was added, and a follower has not heard", whole, []Answer{with(known, func(a *Answer) { a.Member = false })}, Enter, ""},
		{"a name twice", whole, []Answer{with(known, func(a *Answer) { a.From = "a" })}, Stay, "another process goes by the name a"},
		{"a new one that nobody knows", blank, []Answer{{From: "b", Store: "S"}}, Stay, "set join = true"},
		{"a new one that joins", joins, []Answer{{From: "b", Store: "S"}}, Enter, ""},
		{"a new one that joins, too soon", joins, []Answer{{From: "b"}}, Wait, "no member of a store"},
		{"one that joins on the folder of one that was there", joins, []Answer{known}, Wait, "no leader has said yet"},
	} {
		got, why := Returns(c.self, c.answers)
		if got != c.verdict || !strings.Contains(why, c.why) || c.why == "" && why != "" {
			t.Errorf("%s: %v %q, want %v %q", c.what, got, why, c.verdict, c.why)
		}
	}
}
