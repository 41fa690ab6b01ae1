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

func node(name, zone, deployed string) drainpermit.Seen {
	return drainpermit.Seen{Name: name, Report: drainpermit.Report{State: "ready", Well: true, InMS: 60000, Zone: zone, Release: deployed}}
}

func TestPlan(t *testing.T) {
	var nodes []drainpermit.Seen
	for i := range 9 {
		nodes = append(nodes, node(fmt.Sprint("n", i), string(rune('a'+i%2)), "v1"))
	}
	nodes[3].Report.Release = "v2"
	nodes[5].Report.Release = ""
	waves, from := Plan(nodes, "v2", 2)
	if got := fmt.Sprint(waves); got != "[[n0] [n2 n4] [n6 n8] [n1 n5] [n7]]" {
		t.Errorf("waves %s", got)
	}
	if from["n0"] != "v1" || from["n5"] != "" || len(from) != 7 {
		t.Errorf("from %v", from)
	}
	for wrong, r := range map[string]Release{
		"all report":   {Name: "r", To: "v1", LateMS: 1},
		"two waves":    {Name: "r", To: "v1", LateMS: 1, Waves: [][]string{{"a"}, {"a"}}},
		"slashes":      {Name: "a/b", To: "v1", LateMS: 1, Waves: [][]string{{"a"}}},
		"to what":      {Name: "r", LateMS: 1, Waves: [][]string{{"a"}}},
		"soak and lat": {Name: "r", To: "v1", Waves: [][]string{{"a"}}},
	} {
		if err := r.Check(); err == nil || !strings.Contains(err.Error(), wrong) {
			t.Errorf("%+v: %v, want %q", r, err, wrong)
		}
	}
}

// TestNext: what the owner of a release does next, by what it sees.
func TestNext(t *testing.T) {
	sure := canary.Judgement{Sure: true}
	base := Release{Name: "r", To: "v2", State: Running, Waves: [][]string{{"n0"}, {"n1", "n2"}}, From: map[string]string{"n0": "v1", "n1": "v1"}, SoakMS: 1000, LateMS: 5000}
	for _, c := range []struct {
		name   string
		change func(*Release, *drainpermit.View, *canary.Judgement)
		want   string
	}{
		{"the first node alone", func(*Release, *drainpermit.View, *canary.Judgement) {}, "ask n0 v2"},
		{"halted", func(_ *Release, v *drainpermit.View, _ *canary.Judgement) { v.Halted["r"] = true }, ""},
		{"all is halted", func(_ *Release, v *drainpermit.View, _ *canary.Judgement) { v.Halted[drainpermit.All] = true }, ""},
		{"asked for", func(_ *Release, v *drainpermit.View, _ *canary.Judgement) {
			v.Asks["n0"] = drainpermit.Ask{Release: "r"}
		}, ""},
		{"another asks for it", func(_ *Release, v *drainpermit.View, _ *canary.Judgement) { v.Asks["n0"] = drainpermit.Ask{By: "ann"} }, ""},
		{"it failed", func(_ *Release, v *drainpermit.View, _ *canary.Judgement) {
			v.Asks["n0"] = drainpermit.Ask{Release: "r", Failed: "replaced twice"}
		}, "halt n0: replaced twice"},
		{"worse", func(_ *Release, _ *drainpermit.View, j *canary.Judgement) {
			*j = canary.Judgement{Worse: true, Why: "it fails"}
		}, "halt worse: it fails"},
		{"changed and warm", func(_ *Release, v *drainpermit.View, _ *canary.Judgement) { v.Members[0].Report.Release = "v2" }, "next running 1"},
		{"changed and not to be judged", func(_ *Release, v *drainpermit.View, j *canary.Judgement) {
			v.Members[0].Report.Release, *j = "v2", canary.Judgement{Why: "nobody to compare with"}
		}, "next running 1 wave 1 went without a judgement: nobody to compare with"},
		{"changed and warming", func(_ *Release, v *drainpermit.View, _ *canary.Judgement) {
			v.Members[0].Report.Release, v.Members[0].Report.InMS = "v2", 5
		}, ""},
		{"changed and silent", func(_ *Release, v *drainpermit.View, _ *canary.Judgement) {
			v.Members[0].Report.Release, v.Members[0].Quiet = "v2", disruption.Silent
		}, "halt n0 runs v2 and its figures are unknown"},
		{"out for too long", func(_ *Release, v *drainpermit.View, _ *canary.Judgement) {
			v.Asks["n0"], v.Permits["n0"] = drainpermit.Ask{Release: "r"}, drainpermit.Permit{ID: "p", State: drainpermit.Out}
		}, "halt n0 is not back 5s after it went out (out)"},
		{"the last wave", func(r *Release, v *drainpermit.View, _ *canary.Judgement) {
			r.Wave = 1
			for i := range v.Members {
				v.Members[i].Report.Release = "v2"
			}
		}, "next over 1"},
		{"back: the latest wave first", func(r *Release, v *drainpermit.View, _ *canary.Judgement) {
			r.State = Back
			v.Members[0].Report.Release, v.Members[1].Report.Release = "v2", "v2"
		}, "ask n1 v1"},
		{"back: what was not begun is taken back", func(r *Release, v *drainpermit.View, _ *canary.Judgement) {
			r.State = Back
			v.Asks["n2"] = drainpermit.Ask{Release: "r", To: "v2"}
		}, "drop n2"},
		{"back, while halted", func(r *Release, v *drainpermit.View, _ *canary.Judgement) {
			r.State, v.Halted["r"] = Back, true
			v.Members[0].Report.Release = "v2"
		}, ""},
		{"back, and one that can't", func(r *Release, v *drainpermit.View, _ *canary.Judgement) {
			r.State = Back
			v.Members[2].Report.Release = "v2"
		}, "next undone 0 can't go back, since nobody knows to what: n2"},
	} {
		r, j := base, sure
		v := drainpermit.View{Asks: map[string]drainpermit.Ask{}, Permits: map[string]drainpermit.Permit{}, Halted: map[string]bool{}, Members: []drainpermit.Seen{node("n0", "a", "v1"), node("n1", "a", "v1"), node("n2", "a", "v1")}}
		c.change(&r, &v, &j)
		o := &Owner{}
		var s Step
		for i := range 7 { // seconds: what soaks has soaked, and what is late is late
			if s = o.Next(r, v, j, time.Second, lease.Instant(i)*lease.Instant(time.Second)); s.Halt != "" || len(s.Asks) > 0 || s.Next != nil {
				break
			}
		}
		got := ""
		switch {
		case s.Halt != "":
			got = "halt " + s.Halt
		case s.Next != nil:
			got = strings.TrimSpace(fmt.Sprintf("next %s %d %s", s.Next.State, s.Next.Wave, s.Next.Note))
		case len(s.Asks) > 0 && s.Asks[0].Drop:
			got = "drop " + s.Asks[0].Node
		case len(s.Asks) > 0:
			got = "ask " + s.Asks[0].Node + " " + s.Asks[0].To
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// TestWatchesFirst: how all do without the new version is seen for as long as a wave is watched, before the first node is asked for.
func TestWatchesFirst(t *testing.T) {
	r := Release{Name: "r", To: "v2", State: Running, Waves: [][]string{{"n0"}}, SoakMS: 1000, LateMS: 5000}
	v := drainpermit.View{Asks: map[string]drainpermit.Ask{}, Permits: map[string]drainpermit.Permit{}, Halted: map[string]bool{}, Members: []drainpermit.Seen{node("n0", "a", "v1")}}
	var o Owner
	for _, c := range []struct {
		at   time.Duration
		asks int
	}{{5 * time.Second, 0}, {5900 * time.Millisecond, 0}, {6 * time.Second, 1}} {
		if s := o.Next(r, v, canary.Judgement{}, time.Second, lease.Instant(c.at)); len(s.Asks) != c.asks {
			t.Errorf("at %v it asks for %v, want %d", c.at, s.Asks, c.asks)
		}
	}
}
