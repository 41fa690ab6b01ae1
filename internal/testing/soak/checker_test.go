package soak

import (
	"reflect"
	"testing"
	"time"
)

// violatedRules returns the rules that the checker finds violated in a test run of one process that was up for 20 s and sent SIGTERM at 10 s, with these attempts.
func violatedRules(t *testing.T, attempts ...*request) []string {
	t.Helper()
	run := &testRun{record: newRecord(), requests: newRequests(), counts: map[string]int{}, catalogue: &catalogue{calls: map[string]int{}}, directory: &directory{},
		plan: Plan{Site: Site{ReadDeadline: 2 * time.Second, BookDeadline: 2 * time.Second, Window: 30 * time.Second, DrainGrace: time.Second, MemoryMB: 32, Sockets: 64}}}
	run.processes = []*process{{number: 1, startedAt: 0, readyAt: time.Millisecond, terminatedAt: 10 * time.Second, endedAt: 20 * time.Second}}
	for at := time.Duration(0); at < 20*time.Second; at += time.Second {
		run.directory.reports = append(run.directory.reports, at)
	}
	for _, q := range attempts {
		q.process = 1
		run.requests.byID[q.id] = q
		run.requests.list = append(run.requests.list, q)
	}
	var rules []string
	for _, b := range run.check().Violations {
		rules = append(rules, b.Rule)
	}
	return rules
}

// TestChecker: what breaks a rule is found, and what does not is not.
func TestChecker(t *testing.T) {
	const s = time.Second
	served := func(at time.Duration, of string) []answer { return []answer{{at, "ACK", result(of)}} }
	word := func(at time.Duration, w string) []answer { return []answer{{at, w, ""}} }
	starts := func(at ...time.Duration) (all []runStart) {
		for _, at := range at {
			all = append(all, runStart{at, 1})
		}
		return all
	}
	for _, c := range []struct {
		name     string
		attempts []*request
		want     []string
	}{
		{"served", []*request{{id: "a", class: "read", written: s, due: 3 * s, runs: starts(s), answers: served(2*s, "a")}}, nil},
		{"refused unrun", []*request{{id: "a", class: "book", key: "k", written: s, due: 3 * s, answers: word(s, "NAK")}}, nil},
		{"never answered", []*request{{id: "a", class: "read", written: s, due: 3 * s}}, []string{RuleLost}},
		{"answered too late", []*request{{id: "a", class: "read", written: s, due: 3 * s, answers: word(4*s, "FAIL")}}, []string{RuleLost}},
		{"answered twice", []*request{{id: "a", class: "read", written: s, due: 3 * s, answers: append(word(2*s, "FAIL"), word(2*s, "NAK")...)}}, []string{RuleDuplicate}},
		{"another's result", []*request{{id: "a", class: "read", written: s, due: 3 * s, runs: starts(s), answers: served(2*s, "b")}}, []string{RuleLost}},
		{"the result of another try of its key", []*request{
			{id: "a", class: "book", key: "k", written: s, due: 3 * s, runs: starts(s), answers: served(2*s, "a")},
			{id: "b", class: "book", key: "k", written: 2 * s, due: 4 * s, answers: served(3*s, "a")}}, nil},
		{"a keyed run started twice", []*request{{id: "a", class: "book", key: "k", written: s, due: 3 * s, runs: starts(s, 2*s), answers: served(2*s, "a")}}, []string{RuleDuplicate}},
		{"a read started twice", []*request{{id: "a", class: "read", written: s, due: 3 * s, runs: starts(s, 2*s), answers: served(2*s, "a")}}, nil},
		{"a key run by two tries", []*request{
			{id: "a", class: "book", key: "k", written: s, due: 3 * s, runs: starts(s), answers: word(2*s, "FAIL")},
			{id: "b", class: "book", key: "k", written: 2 * s, due: 4 * s, runs: starts(2 * s), answers: served(3*s, "b")}}, []string{RuleDuplicate}},
		{"refused though it ran", []*request{{id: "a", class: "move", written: s, due: 3 * s, runs: starts(s), answers: word(2*s, "NAK")}}, []string{RuleDuplicate}},
		{"a try refused though its key ran", []*request{
			{id: "a", class: "book", key: "k", written: s, due: 3 * s, runs: starts(s), answers: word(2*s, "FAIL")},
			{id: "b", class: "book", key: "k", written: 2 * s, due: 4 * s, answers: word(3*s, "NAK")}}, []string{RuleDuplicate}},
		{"run after the grace", []*request{{id: "a", class: "read", written: 12 * s, due: 14 * s, runs: starts(12 * s), answers: served(13*s, "a")}}, []string{RuleDrain}},
		{"run within the grace", []*request{{id: "a", class: "read", written: 11 * s, due: 13 * s, runs: starts(11 * s), answers: served(12*s, "a")}}, nil},
		{"closed without an answer", []*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByNode, endedAt: 2 * s}}, []string{RuleLost}},
		{"crossed the close", []*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByNode, endedAt: s + 20*time.Millisecond}}, nil},
		{"its client left", []*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByClient, endedAt: 2 * s}}, nil},
		{"given up", []*request{{id: "a", class: "read", written: s, due: 3 * s, canceled: true}}, nil},
		{"a wrong reply to its call", []*request{{id: "a", class: "read", written: s, due: 3 * s, runs: starts(s), wrongReply: true, answers: served(2*s, "a")}}, []string{RuleLost}},
	} {
		if got := violatedRules(t, c.attempts...); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestSignalSeenAt: a process that is sent SIGTERM while it is paused notices as it goes on. One that is paused again before it can
// have run notices after that.
func TestSignalSeenAt(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		pauses []pause
		want   time.Duration
	}{
		{"no pause", nil, 1000 * ms},
		{"before", []pause{{500 * ms, 999 * ms}}, 1000 * ms},
		{"within", []pause{{500 * ms, 1100 * ms}}, 1100 * ms},
		{"and at once again", []pause{{500 * ms, 1100 * ms}, {1101 * ms, 1600 * ms}, {1601 * ms, 1700 * ms}}, 1700 * ms},
		{"and again after a turn", []pause{{500 * ms, 1100 * ms}, {1100*ms + minSchedulingTurn, 1600 * ms}}, 1100 * ms},
		{"a moment later", []pause{{1001 * ms, 1600 * ms}}, 1000 * ms},
	} {
		run := &testRun{pauses: c.pauses}
		if got := run.signalSeenAt(&process{terminatedAt: 1000 * ms}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
