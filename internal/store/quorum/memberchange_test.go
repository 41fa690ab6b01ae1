package quorum

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// group parses members: "L" is the leader, "v" a voter, "l" a learner; the suffix "!" means that the member has not
// answered for a minute, "?" that it never has, "b" that it lags behind, "o" that it is excluded.
func group(text string) Group {
	g := Group{MaxSilence: time.Second, MaxLag: 10}
	for _, field := range strings.Fields(text) {
		name, kind, _ := strings.Cut(field, ":")
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

// TestChecksMemberChanges checks which changes are allowed, and the errors of those that are not.
func TestChecksMemberChanges(t *testing.T) {
	for _, c := range []struct {
		group, action, name, err string // err: a part of the error; empty: the change is allowed
	}{
		{"a:L b:v c:v", "add", "d", ""},
		{"a:L b:v c:v", "add", "b", ""}, // already a member
		{"a:L b:v c:v", "add", "", "not a word without slashes, commas and spaces"},
		{"a:L b:v c:v", "add", "x/y", "not a word without slashes, commas and spaces"},
		{"a:L b:v c:v d:v e:v f:v g:l h:l i:l", "add", "j", "maximum of 9 members"},
		{"a:L b:v c:v d:l", "promote", "d", ""},
		{"a:L b:v c:v d:v", "promote", "d", ""}, // already a voter
		{"a:L b:v c:v", "promote", "d", "add it first"},
		{"a:L b:v c:v d:lb", "promote", "d", "11 entries behind"},
		{"a:L b:v c:v d:l!", "promote", "d", "has not answered for 1m0s"},
		{"a:L b:v c:v d:l?", "promote", "d", "has not answered since"},
		{"a:L b:v c:v d:lo", "promote", "d", "an older copy"},
		{"a:L b:v! c:v! d:l", "promote", "d", "2 of 4 voters would be available, but a majority of 3"},
		{"a:L b:v c:v! d:l", "promote", "d", ""},
		{"a:L b:v c:v", "remove", "a", "transfer the leadership"},
		{"a:L", "remove", "a", "transfer the leadership"},
		{"a:L b:v c:v", "remove", "b", ""},
		{"a:L b:v c:v", "remove", "d", ""}, // not a member
		{"a:L b:v c:v!", "remove", "b", "without b, 1 of 2 voters would be available, but a majority of 2 is required: c has not answered for 1m0s"},
		{"a:L b:v c:v!", "remove", "c", ""},
		{"a:L b:v! c:v! d:l", "remove", "d", ""},
		{"a:L b:v", "remove", "b", ""},
		{"a:L b:v c:v d:l", "lead", "b", ""},
		{"a:L b:v c:v d:l", "lead", "a", ""},
		{"a:L b:v c:v d:l", "lead", "d", "promote it first"},
		{"a:L b:vb c:v", "lead", "b", "behind"},
		{"a:L b:v? c:v", "lead", "b", "has not answered"},
		{"a:L b:v c:v", "lead", "z", "not a member"},
	} {
		g := group(c.group)
		var err error
		switch c.action {
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
			t.Errorf("%s, %s %s: %v, want %q", c.group, c.action, c.name, err, c.err)
		}
	}
	g := group("a:L b:v")
	for _, c := range []struct{ name, raft, admin, err string }{
		{"b", "b:9", "b:2", "remove it first"},
		{"d", "b:1", "d:2", "has the same address as b"},
		{"d", "d:1", "a:2", "has the same address as a"},
		{"d", "d", "d:2", "raft: \"d\" is not an address"},
		{"d", "d:1", ":2", "admin: \":2\" is not an address"},
		{"d", "d:0", "d:2", "raft"},
	} {
		if err := g.CheckAdd(Member{Name: c.name, RaftAddress: c.raft, AdminAddress: c.admin}); err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("add %s %s %s: %v, want %q", c.name, c.raft, c.admin, err, c.err)
		}
	}
}

// TestChangeErrorsWrapTheirKind checks that each error is a ChangeError that wraps its kind.
func TestChangeErrorsWrapTheirKind(t *testing.T) {
	g := group("a:L b:v c:v! d:lb e:l!")
	for name, c := range map[string]struct{ err, kind error }{
		"no name":        {g.CheckAdd(Member{}), ErrInvalidMember},
		"used address":   {g.CheckAdd(Member{Name: "f", RaftAddress: "b:1", AdminAddress: "f:2"}), ErrMemberExists},
		"unknown":        {g.CheckPromote("z"), ErrUnknownMember},
		"lagging":        {g.CheckPromote("d"), ErrLagging},
		"unresponsive":   {g.CheckPromote("e"), ErrUnresponsive},
		"leader":         {g.CheckRemove("a"), ErrIsLeader},
		"no majority":    {g.CheckRemove("b"), ErrNoMajority},
		"without a vote": {g.CheckLeadershipTransfer("d"), ErrNotVoter},
		"too many":       {group("a:L b:v c:v d:v e:v f:v g:l h:l i:l").CheckAdd(Member{Name: "j", RaftAddress: "j:1", AdminAddress: "j:2"}), ErrTooManyMembers},
	} {
		var change *ChangeError
		if !errors.Is(c.err, c.kind) || !errors.As(c.err, &change) {
			t.Errorf("%s: %v is not of the kind %v", name, c.err, c.kind)
		}
	}
}
