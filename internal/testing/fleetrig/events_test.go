package fleetrig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/testing/faulthooks"
)

func TestCheckEventsReportsOverlapsAndDisorder(t *testing.T) {
	holds := func(node int, at, until lease.Instant, token uint64) processEvent {
		return processEvent{node, faulthooks.Event{At: at, What: "holds", Duty: "sweep", N: token, Until: until}}
	}
	applied := func(node int, at lease.Instant, version uint64) processEvent {
		return processEvent{node, faulthooks.Event{At: at, What: "applied", N: version, Out: true}}
	}
	released := processEvent{0, faulthooks.Event{At: 30, What: "gives", Duty: "sweep", N: 1}}
	for _, c := range []struct {
		name  string
		all   []processEvent
		most  time.Duration
		wrong string
	}{
		{"second holder after the lease of the first", []processEvent{holds(0, 10, 50, 1), holds(1, 60, 90, 2)}, 0, ""},
		{"second holder after a renewed lease", []processEvent{holds(0, 10, 50, 1), holds(0, 40, 80, 1), holds(1, 81, 90, 2)}, 0, ""},
		{"second holder after the first released the lease", []processEvent{holds(0, 10, 50, 1), released, holds(1, 31, 90, 2)}, 0, ""},
		{"two holders at the same time",
			[]processEvent{holds(0, 10, 50, 1), holds(1, 40, 90, 2)}, 0, "n0 believes that it holds sweep under token 1"},
		{"second holder after the first process was restarted",
			[]processEvent{holds(0, 10, 50, 1), {0, faulthooks.Event{At: 30, What: "starts"}}, holds(1, 40, 90, 2)}, 0, ""},
		{"second holder before the end of a renewed lease",
			[]processEvent{holds(0, 10, 50, 1), holds(0, 40, 80, 1), holds(1, 70, 90, 2)}, 0, "n0 believes"},
		{"two holders for no longer than a wrong clock permits", []processEvent{holds(0, 10, 50, 1), holds(1, 40, 90, 2)}, 10, ""},
		{"two holders for longer than a wrong clock permits", []processEvent{holds(0, 10, 51, 1), holds(1, 40, 90, 2)}, 10, "n0 believes"},
		{"a grant recorded after its lease ended, by a process that was paused before it read the answer",
			[]processEvent{holds(0, 10, 50, 1), holds(1, 60, 90, 2), holds(0, 70, 55, 1)}, 0, ""},
		{"a grant recorded after the second holder's, whose lease ends after that",
			[]processEvent{holds(0, 10, 50, 1), holds(1, 52, 90, 2), holds(0, 54, 56, 1)}, 0, "n0 believes"},
		{"an earlier token after a later one", []processEvent{holds(1, 10, 50, 2), holds(0, 60, 90, 1)}, 0, "n0 believes"},
		{"desired states applied in order", []processEvent{applied(0, 1, 3), applied(1, 2, 2), applied(0, 3, 7)}, 0, ""},
		{"a desired state applied twice", []processEvent{applied(0, 1, 7), applied(0, 3, 7)}, 0, "n0 applied version 7 after version 7"},
		{"desired states applied out of order",
			[]processEvent{applied(0, 1, 9), applied(0, 2, 3), applied(0, 3, 7)}, 0, "version 3 after version 9"},
	} {
		got := strings.Join(checkEvents(c.all, nil, c.most), "; ")
		if !strings.Contains(got, c.wrong) || c.wrong == "" && got != "" {
			t.Errorf("%s: violations %q, want %q", c.name, got, c.wrong)
		}
	}
	if got := checkEvents([]processEvent{applied(0, 1, 7)}, map[int]desiredState{0: {true, 7}, 1: {true, 8}}, 0); len(got) != 1 || !strings.Contains(got[0], "its desired state is version 8 (out: true)") {
		t.Errorf("violations for a desired state that was not applied: %v, want one for n1", got)
	}
}

// TestOutOfServiceListsDrainsAndReleaseWaves checks the periods of a node's drain and of its warm-up, and those of a release's waves.
func TestOutOfServiceListsDrainsAndReleaseWaves(t *testing.T) {
	event := func(node int, at lease.Instant, what, duty, id string) processEvent {
		return processEvent{node, faulthooks.Event{At: at, What: what, Duty: duty, ID: id}}
	}
	got := fmt.Sprint(outOfService([]processEvent{event(0, 10, "release", "r", "running"), event(1, 20, "begins out", "r", "p"),
		event(1, 40, "enters", "", "p"), event(1, 60, "warm", "", "p"),
		event(0, 70, "release", "r", "running"), event(2, 80, "begins out", "", "q"), event(0, 90, "halts", "r", "worse")}))
	if want := "[{release r release 10ns 70ns} {n1 out out 20ns 40ns} {n1 out back 40ns 60ns} {release r release 70ns 90ns} {n2 out out 80ns 90ns}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
