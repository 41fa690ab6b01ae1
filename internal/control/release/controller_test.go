package release

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// node returns a node that has been in service for a minute, with version v1.
func node(name, zone string) fleetstate.ObservedMember {
	return fleetstate.ObservedMember{Name: name, Report: fleetstate.NodeReport{State: "ready", Healthy: true, InServiceMS: 60000, Zone: zone, DeployedVersion: "v1"}}
}

func viewOf(members ...fleetstate.ObservedMember) fleetstate.View {
	return fleetstate.View{Requests: map[string]fleetstate.DrainRequest{}, Permits: map[string]fleetstate.Permit{}, Halted: map[string]bool{}, Members: members}
}

// situation is what a controller decides by.
type situation struct {
	release Release
	view    fleetstate.View
	verdict canary.Verdict
}

// newSituation returns a release to v2 of three nodes in two waves, none of them updated, and a verdict
// without findings.
func newSituation() *situation {
	return &situation{
		release: Release{Name: "r", TargetVersion: "v2", State: Running, Waves: [][]string{{"n0"}, {"n1", "n2"}}, PreviousVersions: map[string]string{"n0": "v1", "n1": "v1"}, SoakMS: 1000, ReturnTimeoutMS: 5000},
		view:    viewOf(node("n0", "a"), node("n1", "a"), node("n2", "a")),
		verdict: canary.Verdict{Conclusive: true},
	}
}

// decide has a new controller decide once a second until there is something to change: by then what soaks has
// soaked, and what is overdue is so.
func (s *situation) decide() Decision {
	c := &Controller{}
	for second := range 7 {
		if d := c.Decide(s.release, s.view, s.verdict, time.Second, lease.Instant(second)*lease.Instant(time.Second)); !d.Empty() {
			return d
		}
	}
	return Decision{}
}

// describe returns a decision as the cases have it.
func describe(d Decision) string {
	switch {
	case d.HaltReason != "":
		return "halt " + d.HaltReason
	case d.Updated != nil:
		return strings.TrimSpace(fmt.Sprintf("next %s %d %s", d.Updated.State, d.Updated.CurrentWave, d.Updated.Note))
	case len(d.Requests) == 0:
		return ""
	case d.Requests[0].Withdraw:
		return "withdraw " + d.Requests[0].Node
	}
	return "request " + d.Requests[0].Node + " " + d.Requests[0].TargetVersion
}

var decideCases = []struct {
	name   string
	change func(*situation)
	want   string
}{
	{"the first node alone", func(*situation) {}, "request n0 v2"},
	{"halted", func(s *situation) { s.view.Halted["r"] = true }, ""},
	{"all is halted", func(s *situation) { s.view.Halted[fleetstate.HaltAll] = true }, ""},
	{"asked for", func(s *situation) {
		s.view.Requests["n0"] = fleetstate.DrainRequest{ReleaseName: "r"}
	}, ""},
	{"another asks for it", func(s *situation) {
		s.view.Requests["n0"] = fleetstate.DrainRequest{RequestedBy: "ann"}
	}, ""},
	{"it failed", func(s *situation) {
		s.view.Requests["n0"] = fleetstate.DrainRequest{ReleaseName: "r", FailureReason: "replaced twice"}
	}, "halt n0: replaced twice"},
	{"worse", func(s *situation) {
		s.verdict = canary.Verdict{Worse: true, Reason: "it fails"}
	}, "halt worse: it fails"},
	{"changed and warm", func(s *situation) { s.view.Members[0].Report.DeployedVersion = "v2" }, "next running 1"},
	{"changed and not to be judged", func(s *situation) {
		s.view.Members[0].Report.DeployedVersion, s.verdict = "v2", canary.Verdict{Reason: "nobody to compare with"}
	}, "next running 1 wave 1 went without a judgement: nobody to compare with"},
	{"changed and warming", func(s *situation) {
		s.view.Members[0].Report.DeployedVersion, s.view.Members[0].Report.InServiceMS = "v2", 5
	}, ""},
	{"changed and silent", func(s *situation) {
		s.view.Members[0].Report.DeployedVersion, s.view.Members[0].Liveness = "v2", disruption.Silent
	}, "halt n0 runs v2 and its figures are unknown"},
	{"out for too long", func(s *situation) {
		s.view.Requests["n0"], s.view.Permits["n0"] = fleetstate.DrainRequest{ReleaseName: "r"}, fleetstate.Permit{ID: "p", State: fleetstate.PermitOutOfService}
	}, "halt n0 is not back 5s after it went out (out)"},
	{"the last wave", func(s *situation) {
		s.release.CurrentWave = 1
		for i := range s.view.Members {
			s.view.Members[i].Report.DeployedVersion = "v2"
		}
	}, "next over 1"},
	{"back: the latest wave first", func(s *situation) {
		s.release.State = RollingBack
		s.view.Members[0].Report.DeployedVersion, s.view.Members[1].Report.DeployedVersion = "v2", "v2"
	}, "request n1 v1"},
	{"back: what was not begun is taken back", func(s *situation) {
		s.release.State = RollingBack
		s.view.Requests["n2"] = fleetstate.DrainRequest{ReleaseName: "r", TargetVersion: "v2"}
	}, "withdraw n2"},
	{"back, while halted", func(s *situation) {
		s.release.State, s.view.Halted["r"] = RollingBack, true
		s.view.Members[0].Report.DeployedVersion = "v2"
	}, ""},
	{"back, and one that can't", func(s *situation) {
		s.release.State = RollingBack
		s.view.Members[2].Report.DeployedVersion = "v2"
	}, "next undone 0 can't go back, since nobody knows to what: n2"},
}

// TestDecide: what a controller decides, by what it sees.
func TestDecide(t *testing.T) {
	for _, c := range decideCases {
		s := newSituation()
		c.change(s)
		if got := describe(s.decide()); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// TestBaselineIsWatchedFirst: the first node is requested only after the fleet has been watched without the
// new version for as long as a wave is.
func TestBaselineIsWatchedFirst(t *testing.T) {
	r := Release{Name: "r", TargetVersion: "v2", State: Running, Waves: [][]string{{"n0"}}, SoakMS: 1000, ReturnTimeoutMS: 5000}
	view := viewOf(node("n0", "a"))
	var controller Controller
	for _, c := range []struct {
		at       time.Duration
		requests int
	}{{5 * time.Second, 0}, {5900 * time.Millisecond, 0}, {6 * time.Second, 1}} {
		if d := controller.Decide(r, view, canary.Verdict{}, time.Second, lease.Instant(c.at)); len(d.Requests) != c.requests {
			t.Errorf("at %v it requests %v, want %d", c.at, d.Requests, c.requests)
		}
	}
}
