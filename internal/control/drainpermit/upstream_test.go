package drainpermit

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// upstreamFleet is three nodes that report two upstream servers, of which one may be out of service, and a
// controller.
type upstreamFleet struct {
	view       fleetstate.View
	controller Controller
}

func newUpstreamFleet() *upstreamFleet {
	one := 1
	f := &upstreamFleet{
		view: fleetstate.View{Budgets: disruption.Budgets{{Scope: "service", MaxUnavailable: &one}}, Requests: map[string]fleetstate.DrainRequest{},
			RequestOrder: map[string]uint64{}, Permits: map[string]fleetstate.Permit{}, Halted: map[string]bool{}},
		controller: Controller{Terms: lease.Terms{Duration: time.Second}, MinReady: time.Second},
	}
	for i := range 3 {
		upstreams := map[string]fleetstate.UpstreamStatus{"a:1": {Routable: true, InFlight: 2, Healthy: true}, "b:1": {Routable: true, Healthy: true}}
		report := fleetstate.NodeReport{State: "ready", Healthy: true, InServiceMS: 1e6, Upstreams: upstreams}
		f.view.Members = append(f.view.Members, fleetstate.ObservedMember{Name: fmt.Sprint("n", i), Report: report})
	}
	return f
}

// report has a node report a status of the upstream server a:1.
func (f *upstreamFleet) report(node int, status fleetstate.UpstreamStatus) {
	f.view.Members[node].Report.Upstreams["a:1"] = status
}

// decide has the controller decide, so many seconds after the start.
func (f *upstreamFleet) decide(seconds int) Decision {
	return f.controller.Decide(f.view.WithUpstreams("uwsgi"), lease.Instant(seconds)*lease.Instant(time.Second))
}

// confirmed is DrainConfirmed of a server.
func (f *upstreamFleet) confirmed(name string) string {
	for _, m := range f.view.WithUpstreams("uwsgi").Members {
		if m.Name == name {
			return fmt.Sprint(m.DrainConfirmed())
		}
	}
	return "none"
}

// TestUpstreamDrain: an upstream server goes out of service by its service's budget, is out once every node
// has confirmed it, and comes back once every node has used it for long enough.
func TestUpstreamDrain(t *testing.T) {
	f := newUpstreamFleet()
	a, b := fleetstate.UpstreamName("a:1"), fleetstate.UpstreamName("b:1")
	f.view.Requests[a], f.view.RequestOrder[a] = fleetstate.DrainRequest{ID: "1"}, 1
	f.view.Requests[b], f.view.RequestOrder[b] = fleetstate.DrainRequest{ID: "2"}, 2
	permit := grantedUpstream(t, f, a)
	f.view.Permits[a] = permit
	expectConfirmation(t, f, a)
	if d := f.decide(1); !d.Empty() {
		t.Errorf("%+v", d)
	}
	delete(f.view.Requests, a)
	if d := f.decide(2); fmt.Sprint(d.MarkReturning) != "["+a+"]" || len(d.Grant) != 0 {
		t.Fatalf("%+v", d)
	}
	permit.State = fleetstate.PermitReturning
	f.view.Permits[a] = permit
	expectRemovalAfterMinReady(t, f)
	delete(f.view.Permits, a)
	for node := range 2 { // two of three find a:1 unhealthy: it uses the budget up
		f.report(node, fleetstate.UpstreamStatus{Routable: true})
	}
	if d := f.decide(9); len(d.Grant) != 0 || len(d.Rejected) != 1 {
		t.Errorf("%+v", d)
	}
}

// grantedUpstream has the controller decide, and returns the permit that it writes for the named server alone.
func grantedUpstream(t *testing.T, f *upstreamFleet, name string) fleetstate.Permit {
	t.Helper()
	d := f.decide(0)
	if fmt.Sprint(d.Grant) != "["+name+"]" || len(d.Rejected) != 1 {
		t.Fatalf("%+v", d)
	}
	transactions := d.Transactions(f.view, fleetstate.Versions{}, "permits", 1, "k", func() string { return "id" })
	permit, err := fleetstate.Decode[fleetstate.Permit](transactions[0].Operations[1].Value)
	if err != nil || permit.State != fleetstate.PermitOutOfService {
		t.Fatalf("%+v, %v", permit, err)
	}
	return permit
}

// expectConfirmation: the server is out of service once no node uses it, has requests there or is silent.
func expectConfirmation(t *testing.T, f *upstreamFleet, name string) {
	t.Helper()
	f.report(0, fleetstate.UpstreamStatus{InFlight: 1})
	f.report(1, fleetstate.UpstreamStatus{})
	f.view.Members[2].Liveness = disruption.Silent
	if got := f.confirmed(name); got != "false [n0] [n2]" {
		t.Errorf("confirmed: %s", got)
	}
	f.report(0, fleetstate.UpstreamStatus{})
	f.view.Members[2].Liveness = disruption.Available
	f.report(2, fleetstate.UpstreamStatus{})
	if got := f.confirmed(name); got != "true [] []" {
		t.Errorf("confirmed: %s", got)
	}
}

// expectRemovalAfterMinReady: the permit is removed once all nodes have used the server for a second, and
// nothing is granted meanwhile.
func expectRemovalAfterMinReady(t *testing.T, f *upstreamFleet) {
	t.Helper()
	for second, used := range []bool{false, true, true, true} {
		for node := range 3 {
			f.report(node, fleetstate.UpstreamStatus{Routable: used, Healthy: true})
		}
		d := f.decide(second)
		if removed := len(d.Remove) == 1; removed != (second > 1) || len(d.Grant) != 0 {
			t.Errorf("after %ds: %+v", second, d)
		}
	}
}
