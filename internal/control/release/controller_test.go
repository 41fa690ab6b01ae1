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

// newNode returns a node that has been in service for a minute and runs version v1.
func newNode(name, zone string) fleetstate.ObservedMember {
	return fleetstate.ObservedMember{Name: name, Report: fleetstate.NodeReport{State: "ready", Healthy: true, InServiceMS: 60000, Zone: zone, DeployedVersion: "v1"}}
}

func newView(members ...fleetstate.ObservedMember) fleetstate.View {
	return fleetstate.View{Requests: map[string]fleetstate.DrainRequest{}, Permits: map[string]fleetstate.Permit{}, Halted: map[string]bool{}, Members: members}
}

// decisionInput is the input of a controller.
type decisionInput struct {
	release Release
	view    fleetstate.View
	verdict canary.Verdict
}

// newDecisionInput returns a release to v2 of three nodes in two waves, none of them updated, and a verdict
// without findings.
func newDecisionInput() *decisionInput {
	return &decisionInput{
		release: Release{Name: "r", TargetVersion: "v2", State: Running, Waves: [][]string{{"n0"}, {"n1", "n2"}}, PreviousVersions: map[string]string{"n0": "v1", "n1": "v1"}, SoakMS: 1000, ReturnTimeoutMS: 5000},
		view:    newView(newNode("n0", "a"), newNode("n1", "a"), newNode("n2", "a")),
		verdict: canary.Verdict{Conclusive: true},
	}
}

// decide calls a new controller once a second until it changes something. The seven seconds are longer than the
// soak time and the return timeout.
func (s *decisionInput) decide() Decision {
	c := &Controller{}
	for second := range 7 {
		if d := c.Decide(s.release, s.view, s.verdict, time.Second, lease.Instant(second)*lease.Instant(time.Second)); !d.Empty() {
			return d
		}
	}
	return Decision{}
}

// formatDecision formats a decision for comparison with the wanted one of a case.
func formatDecision(d Decision) string {
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
	change func(*decisionInput)
	want   string
}{
	{"the first wave is requested", func(*decisionInput) {}, "request n0 v2"},
	{"nothing while the release is halted", func(s *decisionInput) { s.view.Halted["r"] = true }, ""},
	{"nothing while the whole fleet is halted", func(s *decisionInput) { s.view.Halted[fleetstate.HaltAll] = true }, ""},
	{"nothing while the node is requested", func(s *decisionInput) {
		s.view.Requests["n0"] = fleetstate.DrainRequest{ReleaseName: "r"}
	}, ""},
	{"nothing while an operator drains the node", func(s *decisionInput) {
		s.view.Requests["n0"] = fleetstate.DrainRequest{RequestedBy: "ann"}
	}, ""},
	{"a failed request halts the release", func(s *decisionInput) {
		s.view.Requests["n0"] = fleetstate.DrainRequest{ReleaseName: "r", FailureReason: "replaced twice"}
	}, "halt n0: replaced twice"},
	{"a worse version halts the release", func(s *decisionInput) {
		s.verdict = canary.Verdict{Worse: true, Reason: "it fails"}
	}, "halt worse: it fails"},
	{"the next wave begins after the soak time", func(s *decisionInput) { s.view.Members[0].Report.DeployedVersion = "v2" }, "next running 1"},
	{"the next wave begins without a conclusive verdict", func(s *decisionInput) {
		s.view.Members[0].Report.DeployedVersion, s.verdict = "v2", canary.Verdict{Reason: "nobody to compare with"}
	}, "next running 1 wave 1 went without a judgement: nobody to compare with"},
	{"nothing while the updated node is warming up", func(s *decisionInput) {
		s.view.Members[0].Report.DeployedVersion, s.view.Members[0].Report.InServiceMS = "v2", 5
	}, ""},
	{"a silent updated node halts the release", func(s *decisionInput) {
		s.view.Members[0].Report.DeployedVersion, s.view.Members[0].Liveness = "v2", disruption.Silent
	}, "halt n0 runs v2 and its figures are unknown"},
	{"a node out of service for too long halts the release", func(s *decisionInput) {
		s.view.Requests["n0"], s.view.Permits["n0"] = fleetstate.DrainRequest{ReleaseName: "r"}, fleetstate.Permit{ID: "p", State: fleetstate.PermitOutOfService}
	}, "halt n0 is not back 5s after it went out (out)"},
	{"the release completes after the last wave", func(s *decisionInput) {
		s.release.CurrentWave = 1
		for i := range s.view.Members {
			s.view.Members[i].Report.DeployedVersion = "v2"
		}
	}, "next over 1"},
	{"a rollback starts with the latest wave", func(s *decisionInput) {
		s.release.State = RollingBack
		s.view.Members[0].Report.DeployedVersion, s.view.Members[1].Report.DeployedVersion = "v2", "v2"
	}, "request n1 v1"},
	{"a rollback withdraws requests for the target version", func(s *decisionInput) {
		s.release.State = RollingBack
		s.view.Requests["n2"] = fleetstate.DrainRequest{ReleaseName: "r", TargetVersion: "v2"}
	}, "withdraw n2"},
	{"nothing while a rollback is halted", func(s *decisionInput) {
		s.release.State, s.view.Halted["r"] = RollingBack, true
		s.view.Members[0].Report.DeployedVersion = "v2"
	}, ""},
	{"a rollback ends with a note on nodes without a previous version", func(s *decisionInput) {
		s.release.State = RollingBack
		s.view.Members[2].Report.DeployedVersion = "v2"
	}, "next undone 0 can't go back, since nobody knows to what: n2"},
}

// TestControllerDecide checks the first decision that a controller makes for each input.
func TestControllerDecide(t *testing.T) {
	for _, c := range decideCases {
		s := newDecisionInput()
		c.change(s)
		if got := formatDecision(s.decide()); got != c.want {
			t.Errorf("%s: decision %q, want %q", c.name, got, c.want)
		}
	}
}

// TestFirstNodeIsRequestedAfterBaselineSoak: the first node is requested only after the fleet has been observed
// without the new version for the soak time, so that the canary analysis has intervals to compare with.
func TestFirstNodeIsRequestedAfterBaselineSoak(t *testing.T) {
	r := Release{Name: "r", TargetVersion: "v2", State: Running, Waves: [][]string{{"n0"}}, SoakMS: 1000, ReturnTimeoutMS: 5000}
	view := newView(newNode("n0", "a"))
	var controller Controller
	for _, c := range []struct {
		at       time.Duration
		requests int
	}{{5 * time.Second, 0}, {5900 * time.Millisecond, 0}, {6 * time.Second, 1}} {
		if d := controller.Decide(r, view, canary.Verdict{}, time.Second, lease.Instant(c.at)); len(d.Requests) != c.requests {
			t.Errorf("at %v: requests %v, want %d of them", c.at, d.Requests, c.requests)
		}
	}
}
