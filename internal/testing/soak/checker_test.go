package soak

import (
	"reflect"
	"testing"
	"time"

	"sloehitch/internal/testing/faults/linkproxy"
)

// violatedRules returns the rules that the checker reports as violated for these attempts, in a test run with one process that ran for 20 s
// and was sent SIGTERM at 10 s.
func violatedRules(t *testing.T, attempts ...*request) []string {
	t.Helper()
	run := &testRun{record: &Record{}, requests: newRequests(), counts: map[string]int{}, catalogue: &catalogue{calls: map[string]int{}}, directory: &directory{},
		plan: Plan{Site: Site{ReadDeadline: 2 * time.Second, BookDeadline: 2 * time.Second, Window: 30 * time.Second, DrainGrace: time.Second, MemoryMB: 32, Sockets: 64}}}
	run.processes = []*process{{number: 1, startedAt: 0, readyAt: time.Millisecond, terminatedAt: 10 * time.Second, endedAt: 20 * time.Second}}
	for at := time.Duration(0); at < 20*time.Second; at += time.Second {
		run.directory.reports = append(run.directory.reports, at)
	}
	run.schedulingDelays = []pause{{7 * time.Second, 8 * time.Second}}
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

// TestCheckReportsViolatedRules checks that the checker reports each violation and reports nothing for permitted histories.
func TestCheckReportsViolatedRules(t *testing.T) {
	const s = time.Second
	served := func(at time.Duration, of string) []answer { return []answer{{at, "ACK", result(of)}} }
	word := func(at time.Duration, w string) []answer { return []answer{{at, w, ""}} }
	starts := func(at ...time.Duration) (all []runStart) {
		for _, at := range at {
			all = append(all, runStart{at, 1})
		}
		return all
	}
	forwarded := func(delivered, ended time.Duration) linkproxy.Forwarded {
		zero := time.Time{}
		return linkproxy.Forwarded{Ended: zero.Add(ended), Deliveries: []linkproxy.Delivery{{Total: 4, At: zero.Add(delivered)}, {Total: 5, At: zero.Add(delivered)}, {Total: 9, At: zero.Add(ended)}}}
	}
	for _, c := range []struct {
		name     string
		attempts []*request
		want     []string
	}{
		{"served after one run",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, runs: starts(s), answers: served(2*s, "a")}}, nil},
		{"rejected without a run", []*request{{id: "a", class: "book", key: "k", written: s, due: 3 * s, answers: word(s, "NAK")}}, nil},
		{"never answered", []*request{{id: "a", class: "read", written: s, due: 3 * s}}, []string{RuleLost}},
		{"answered after the deadline and its slack",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, answers: word(4*s, "FAIL")}}, []string{RuleLost}},
		{"answered twice", []*request{{id: "a", class: "read", written: s, due: 3 * s, answers: append(word(2*s, "FAIL"), word(2*s, "NAK")...)}}, []string{RuleDuplicate}},
		{"served with the result of another request",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, runs: starts(s), answers: served(2*s, "b")}}, []string{RuleLost}},
		{"served with the result of another attempt with its key", []*request{
			{id: "a", class: "book", key: "k", written: s, due: 3 * s, runs: starts(s), answers: served(2*s, "a")},
			{id: "b", class: "book", key: "k", written: 2 * s, due: 4 * s, answers: served(3*s, "a")}}, nil},
		{"a keyed request is started twice",
			[]*request{{id: "a", class: "book", key: "k", written: s, due: 3 * s, runs: starts(s, 2*s), answers: served(2*s, "a")}},
			[]string{RuleDuplicate}},
		{"a read is started twice",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, runs: starts(s, 2*s), answers: served(2*s, "a")}}, nil},
		{"two attempts with a key run", []*request{
			{id: "a", class: "book", key: "k", written: s, due: 3 * s, runs: starts(s), answers: word(2*s, "FAIL")},
			{id: "b", class: "book", key: "k", written: 2 * s, due: 4 * s, runs: starts(2 * s), answers: served(3*s, "b")}}, []string{RuleDuplicate}},
		{"rejected although it ran",
			[]*request{{id: "a", class: "move", written: s, due: 3 * s, runs: starts(s), answers: word(2*s, "NAK")}},
			[]string{RuleDuplicate}},
		{"an attempt is rejected although its key ran", []*request{
			{id: "a", class: "book", key: "k", written: s, due: 3 * s, runs: starts(s), answers: word(2*s, "FAIL")},
			{id: "b", class: "book", key: "k", written: 2 * s, due: 4 * s, answers: word(3*s, "NAK")}}, []string{RuleDuplicate}},
		{"written after the drain grace and run",
			[]*request{{id: "a", class: "read", written: 12 * s, due: 14 * s, runs: starts(12 * s), answers: served(13*s, "a")}},
			[]string{RuleDrain}},
		{"written within the drain grace and run",
			[]*request{{id: "a", class: "read", written: 11 * s, due: 13 * s, runs: starts(11 * s), answers: served(12*s, "a")}}, nil},
		{"connection closed by the node without an answer",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByNode, endedAt: 2 * s}}, []string{RuleLost}},
		{"written just before the node closed the connection",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByNode, endedAt: s + 20*time.Millisecond}}, nil},
		{"delivered late by the rig's proxy, just before the node closed the connection",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByNode, endedAt: 2 * s, sentUpTo: 5, forwarded: forwarded(2*s-50*time.Millisecond, 2*s)}}, nil},
		{"delivered long before the node closed the connection",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByNode, endedAt: 2 * s, sentUpTo: 5, forwarded: forwarded(2*s-150*time.Millisecond, 2*s)}},
			[]string{RuleLost}},
		{"delivered long before the node closed the connection, on which more was delivered later",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByNode, endedAt: 2 * s, sentUpTo: 4, forwarded: forwarded(s, 2*s)}},
			[]string{RuleLost}},
		{"not delivered by the rig's proxy before the node closed the connection",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByNode, endedAt: 2 * s, sentUpTo: 10, forwarded: forwarded(s, 2*s)}}, nil},
		{"the rig was not scheduled between the delivery and the end of the connection",
			[]*request{{id: "a", class: "read", written: 7 * s, due: 9 * s, ended: endedByNode, endedAt: 8 * s, sentUpTo: 5, forwarded: forwarded(7*s, 8*s)}}, nil},
		{"connection closed by its client",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, ended: endedByClient, endedAt: 2 * s}}, nil},
		{"canceled by its client", []*request{{id: "a", class: "read", written: s, due: 3 * s, canceled: true}}, nil},
		{"its run received a wrong reply to a call",
			[]*request{{id: "a", class: "read", written: s, due: 3 * s, runs: starts(s), wrongReply: true, answers: served(2*s, "a")}},
			[]string{RuleLost}},
	} {
		if got := violatedRules(t, c.attempts...); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: violated rules %v, want %v", c.name, got, c.want)
		}
	}
}

// TestSignalDuringPauseIsSeenAfterIt checks that a process that is sent SIGTERM while it is paused handles it after the pause, or after a
// further pause that begins before the process can have run.
func TestSignalDuringPauseIsSeenAfterIt(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name   string
		pauses []pause
		want   time.Duration
	}{
		{"no pause", nil, 1000 * ms},
		{"a pause that ends before the signal", []pause{{500 * ms, 999 * ms}}, 1000 * ms},
		{"a signal during a pause", []pause{{500 * ms, 1100 * ms}}, 1100 * ms},
		{"further pauses before the process can run",
			[]pause{{500 * ms, 1100 * ms}, {1101 * ms, 1600 * ms}, {1601 * ms, 1700 * ms}}, 1700 * ms},
		{"a further pause after the process has run", []pause{{500 * ms, 1100 * ms}, {1100*ms + minSchedulingTurn, 1600 * ms}}, 1100 * ms},
		{"a pause that begins after the signal", []pause{{1001 * ms, 1600 * ms}}, 1000 * ms},
	} {
		run := &testRun{pauses: c.pauses}
		if got := run.signalSeenAt(&process{terminatedAt: 1000 * ms}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
