package fleetrig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/testing/faulthooks"
)

func TestCheckEvents(t *testing.T) {
	holds := func(node int, at, until lease.Instant, token uint64) processEvent {
		return processEvent{node, faulthooks.Event{At: at, What: "holds", Duty: "sweep", N: token, Until: until}}
	}
	applied := func(node int, at lease.Instant, version uint64) processEvent {
		return processEvent{node, faulthooks.Event{At: at, What: "applied", N: version, Out: true}}
	}
	gives := processEvent{0, faulthooks.Event{At: 30, What: "gives", Duty: "sweep", N: 1}}
	for _, c := range []struct {
		name  string
		all   []processEvent
		most  time.Duration
		wrong string
	}{
		{"one after the other", []processEvent{holds(0, 10, 50, 1), holds(1, 60, 90, 2)}, 0, ""},
		{"renewed", []processEvent{holds(0, 10, 50, 1), holds(0, 40, 80, 1), holds(1, 81, 90, 2)}, 0, ""},
		{"given back early", []processEvent{holds(0, 10, 50, 1), gives, holds(1, 31, 90, 2)}, 0, ""},
		{"two at once", []processEvent{holds(0, 10, 50, 1), holds(1, 40, 90, 2)}, 0, "n0 believes that it holds sweep under token 1"},
		{"killed and started anew", []processEvent{holds(0, 10, 50, 1), {0, faulthooks.Event{At: 30, What: "starts"}}, holds(1, 40, 90, 2)}, 0, ""},
		{"a renewal too far", []processEvent{holds(0, 10, 50, 1), holds(0, 40, 80, 1), holds(1, 70, 90, 2)}, 0, "n0 believes"},
		{"two at once, by a wrong clock", []processEvent{holds(0, 10, 50, 1), holds(1, 40, 90, 2)}, 10, ""},
		{"two at once for too long, by a wrong clock", []processEvent{holds(0, 10, 51, 1), holds(1, 40, 90, 2)}, 10, "n0 believes"},
		{"told of after its end, by a process that stood still before it had the answer", []processEvent{holds(0, 10, 50, 1), holds(1, 60, 90, 2), holds(0, 70, 55, 1)}, 0, ""},
		{"told of after its end, which was past the next one's beginning", []processEvent{holds(0, 10, 50, 1), holds(1, 52, 90, 2), holds(0, 54, 56, 1)}, 0, "n0 believes"},
		{"an earlier token later", []processEvent{holds(1, 10, 50, 2), holds(0, 60, 90, 1)}, 0, "n0 believes"},
		{"applied in order", []processEvent{applied(0, 1, 3), applied(1, 2, 2), applied(0, 3, 7)}, 0, ""},
		{"applied twice", []processEvent{applied(0, 1, 7), applied(0, 3, 7)}, 0, "n0 applied version 7 after version 7"},
		{"applied backwards", []processEvent{applied(0, 1, 9), applied(0, 2, 3), applied(0, 3, 7)}, 0, "version 3 after version 9"},
	} {
		got := strings.Join(checkEvents(c.all, nil, c.most), "; ")
		if !strings.Contains(got, c.wrong) || c.wrong == "" && got != "" {
			t.Errorf("%s: %q, want %q", c.name, got, c.wrong)
		}
	}
	if got := checkEvents([]processEvent{applied(0, 1, 7)}, map[int]desiredState{0: {true, 7}, 1: {true, 8}}, 0); len(got) != 1 || !strings.Contains(got[0], "version 8 (out: true) is wanted") {
		t.Errorf("a wish that was not applied: %v", got)
	}
}

// TestOutOfService: a node's time out and its way back, and a release's waves, one after another.
func TestOutOfService(t *testing.T) {
	tell := func(node int, at lease.Instant, what, duty, id string) processEvent {
		return processEvent{node, faulthooks.Event{At: at, What: what, Duty: duty, ID: id}}
	}
	got := fmt.Sprint(outOfService([]processEvent{tell(0, 10, "release", "r", "running"), tell(1, 20, "begins out", "r", "p"), tell(1, 40, "enters", "", "p"), tell(1, 60, "warm", "", "p"),
		tell(0, 70, "release", "r", "running"), tell(2, 80, "begins out", "", "q"), tell(0, 90, "halts", "r", "worse")}))
	if want := "[{release r release 10ns 70ns} {n1 out out 20ns 40ns} {n1 out back 40ns 60ns} {release r release 70ns 90ns} {n2 out out 80ns 90ns}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
