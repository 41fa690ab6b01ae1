package release

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/control/canary"
	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/drainpermit"
	"sloehitch/internal/control/lease"
)

func node(name, zone, deployed string) drainpermit.ObservedMember {
	return drainpermit.ObservedMember{Name: name, Report: drainpermit.Report{State: "ready", Healthy: true, InServiceMS: 60000, Zone: zone, DeployedVersion: deployed}}
}

func TestPlan(t *testing.T) {
	var nodes []drainpermit.ObservedMember
	for i := range 9 {
		nodes = append(nodes, node(fmt.Sprint("n", i), string(rune('a'+i%2)), "v1"))
	}
	nodes[3].Report.DeployedVersion = "v2"
	nodes[5].Report.DeployedVersion = ""
	waves, from := PlanWaves(nodes, "v2", 2)
	if got := fmt.Sprint(waves); got != "[[n0] [n2 n4] [n6 n8] [n1 n5] [n7]]" {
		t.Errorf("waves %s", got)
	}
	if from["n0"] != "v1" || from["n5"] != "" || len(from) != 7 {
		t.Errorf("from %v", from)
	}
	for wrong, r := range map[string]Release{
		"all report":   {Name: "r", TargetVersion: "v1", ReturnTimeoutMS: 1},
		"two waves":    {Name: "r", TargetVersion: "v1", ReturnTimeoutMS: 1, Waves: [][]string{{"a"}, {"a"}}},
		"slashes":      {Name: "a/b", TargetVersion: "v1", ReturnTimeoutMS: 1, Waves: [][]string{{"a"}}},
		"to what":      {Name: "r", ReturnTimeoutMS: 1, Waves: [][]string{{"a"}}},
		"soak and lat": {Name: "r", TargetVersion: "v1", Waves: [][]string{{"a"}}},
	} {
		if err := r.Validate(); err == nil || !strings.Contains(err.Error(), wrong) {
			t.Errorf("%+v: %v, want %q", r, err, wrong)
		}
	}
}

// TestNext: what the owner of a release does next, by what it sees.
func TestNext(t *testing.T) {
	sure := canary.Verdict{Conclusive: true}
	base := Release{Name: "r", TargetVersion: "v2", State: Running, Waves: [][]string{{"n0"}, {"n1", "n2"}}, PreviousVersions: map[string]string{"n0": "v1", "n1": "v1"}, SoakMS: 1000, ReturnTimeoutMS: 5000}
	for _, c := range []struct {
		name   string
		change func(*Release, *drainpermit.View, *canary.Verdict)
		want   string
	}{
		{"the first node alone", func(*Release, *drainpermit.View, *canary.Verdict) {}, "ask n0 v2"},
		{"halted", func(_ *Release, v *drainpermit.View, _ *canary.Verdict) { v.Halted["r"] = true }, ""},
		{"all is halted", func(_ *Release, v *drainpermit.View, _ *canary.Verdict) { v.Halted[drainpermit.HaltAll] = true }, ""},
		{"asked for", func(_ *Release, v *drainpermit.View, _ *canary.Verdict) {
			v.Requests["n0"] = drainpermit.Request{ReleaseName: "r"}
		}, ""},
		{"another asks for it", func(_ *Release, v *drainpermit.View, _ *canary.Verdict) {
			v.Requests["n0"] = drainpermit.Request{RequestedBy: "ann"}
		}, ""},
		{"it failed", func(_ *Release, v *drainpermit.View, _ *canary.Verdict) {
			v.Requests["n0"] = drainpermit.Request{ReleaseName: "r", FailureReason: "replaced twice"}
		}, "halt n0: replaced twice"},
		{"worse", func(_ *Release, _ *drainpermit.View, j *canary.Verdict) {
			*j = canary.Verdict{Worse: true, Reason: "it fails"}
		}, "halt worse: it fails"},
		{"changed and warm", func(_ *Release, v *drainpermit.View, _ *canary.Verdict) { v.Members[0].Report.DeployedVersion = "v2" }, "next running 1"},
		{"changed and not to be judged", func(_ *Release, v *drainpermit.View, j *canary.Verdict) {
			v.Members[0].Report.DeployedVersion, *j = "v2", canary.Verdict{Reason: "nobody to compare with"}
		}, "next running 1 wave 1 went without a judgement: nobody to compare with"},
		{"changed and warming", func(_ *Release, v *drainpermit.View, _ *canary.Verdict) {
			v.Members[0].Report.DeployedVersion, v.Members[0].Report.InServiceMS = "v2", 5
		}, ""},
		{"changed and silent", func(_ *Release, v *drainpermit.View, _ *canary.Verdict) {
			v.Members[0].Report.DeployedVersion, v.Members[0].Liveness = "v2", disruption.Silent
		}, "halt n0 runs v2 and its figures are unknown"},
		{"out for too long", func(_ *Release, v *drainpermit.View, _ *canary.Verdict) {
			v.Requests["n0"], v.Permits["n0"] = drainpermit.Request{ReleaseName: "r"}, drainpermit.Permit{ID: "p", State: drainpermit.OutOfService}
		}, "halt n0 is not back 5s after it went out (out)"},
		{"the last wave", func(r *Release, v *drainpermit.View, _ *canary.Verdict) {
			r.CurrentWave = 1
			for i := range v.Members {
				v.Members[i].Report.DeployedVersion = "v2"
			}
		}, "next over 1"},
		{"back: the latest wave first", func(r *Release, v *drainpermit.View, _ *canary.Verdict) {
			r.State = RollingBack
			v.Members[0].Report.DeployedVersion, v.Members[1].Report.DeployedVersion = "v2", "v2"
		}, "ask n1 v1"},
		{"back: what was not begun is taken back", func(r *Release, v *drainpermit.View, _ *canary.Verdict) {
			r.State = RollingBack
			v.Requests["n2"] = drainpermit.Request{ReleaseName: "r", TargetVersion: "v2"}
		}, "drop n2"},
		{"back, while halted", func(r *Release, v *drainpermit.View, _ *canary.Verdict) {
			r.State, v.Halted["r"] = RollingBack, true
			v.Members[0].Report.DeployedVersion = "v2"
		}, ""},
		{"back, and one that can't", func(r *Release, v *drainpermit.View, _ *canary.Verdict) {
			r.State = RollingBack
			v.Members[2].Report.DeployedVersion = "v2"
		}, "next undone 0 can't go back, since nobody knows to what: n2"},
	} {
		r, j := base, sure
		v := drainpermit.View{Requests: map[string]drainpermit.Request{}, Permits: map[string]drainpermit.Permit{}, Halted: map[string]bool{}, Members: []drainpermit.ObservedMember{node("n0", "a", "v1"), node("n1", "a", "v1"), node("n2", "a", "v1")}}
		c.change(&r, &v, &j)
		o := &Controller{}
		var s Decision
		for i := range 7 { // seconds: what soaks has soaked, and what is late is late
			if s = o.Decide(r, v, j, time.Second, lease.Instant(i)*lease.Instant(time.Second)); s.HaltReason != "" || len(s.Requests) > 0 || s.Updated != nil {
				break
			}
		}
		got := ""
		switch {
		case s.HaltReason != "":
			got = "halt " + s.HaltReason
		case s.Updated != nil:
			got = strings.TrimSpace(fmt.Sprintf("next %s %d %s", s.Updated.State, s.Updated.CurrentWave, s.Updated.Note))
		case len(s.Requests) > 0 && s.Requests[0].Withdraw:
			got = "drop " + s.Requests[0].Node
		case len(s.Requests) > 0:
			got = "ask " + s.Requests[0].Node + " " + s.Requests[0].TargetVersion
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// TestWatchesFirst: how all do without the new version is seen for as long as a wave is watched, before the first node is asked for.
func TestWatchesFirst(t *testing.T) {
	r := Release{Name: "r", TargetVersion: "v2", State: Running, Waves: [][]string{{"n0"}}, SoakMS: 1000, ReturnTimeoutMS: 5000}
	v := drainpermit.View{Requests: map[string]drainpermit.Request{}, Permits: map[string]drainpermit.Permit{}, Halted: map[string]bool{}, Members: []drainpermit.ObservedMember{node("n0", "a", "v1")}}
	var o Controller
	for _, c := range []struct {
		at   time.Duration
		asks int
	}{{5 * time.Second, 0}, {5900 * time.Millisecond, 0}, {6 * time.Second, 1}} {
		if s := o.Decide(r, v, canary.Verdict{}, time.Second, lease.Instant(c.at)); len(s.Requests) != c.asks {
			t.Errorf("at %v it asks for %v, want %d", c.at, s.Requests, c.asks)
		}
	}
}
