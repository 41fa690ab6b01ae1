package drainpermit

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/control/disruption"
	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// upstreamFleet is a controller and its view of three nodes. The nodes report two upstream servers, one of which
// may be unavailable.
type upstreamFleet struct {
	view       fleetstate.View
	controller Controller
}

func newUpstreamFleet() *upstreamFleet {
	maxUnavailable := 1
	f := &upstreamFleet{
		view: fleetstate.View{Budgets: disruption.Budgets{{Scope: "service", MaxUnavailable: &maxUnavailable}}, Requests: map[string]fleetstate.DrainRequest{},
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

// report sets the status of the upstream server a:1 in a node's report.
func (f *upstreamFleet) report(node int, status fleetstate.UpstreamStatus) {
	f.view.Members[node].Report.Upstreams["a:1"] = status
}

// decide returns the controller's decision at the given number of seconds after the start.
func (f *upstreamFleet) decide(seconds int) Decision {
	return f.controller.Decide(f.view.WithUpstreams("uwsgi"), lease.Instant(seconds)*lease.Instant(time.Second))
}

// drainConfirmation formats the results of DrainConfirmed for a server.
func (f *upstreamFleet) drainConfirmation(name string) string {
	for _, m := range f.view.WithUpstreams("uwsgi").Members {
		if m.Name == name {
			return fmt.Sprint(m.DrainConfirmed())
		}
	}
	return "none"
}

// TestUpstreamDrainWithinBudgetUntilMinReady: an upstream server goes out of service within its service's budget,
// is out of service once every node has confirmed it, and its permit is removed once every node has used it for
// MinReady.
func TestUpstreamDrainWithinBudgetUntilMinReady(t *testing.T) {
	f := newUpstreamFleet()
	a, b := fleetstate.UpstreamName("a:1"), fleetstate.UpstreamName("b:1")
	f.view.Requests[a], f.view.RequestOrder[a] = fleetstate.DrainRequest{ID: "1"}, 1
	f.view.Requests[b], f.view.RequestOrder[b] = fleetstate.DrainRequest{ID: "2"}, 2
	permit := expectGrant(t, f, a)
	f.view.Permits[a] = permit
	expectConfirmation(t, f, a)
	if d := f.decide(1); !d.Empty() {
		t.Errorf("after the grant: %+v, want no changes", d)
	}
	delete(f.view.Requests, a)
	if d := f.decide(2); fmt.Sprint(d.MarkReturning) != "["+a+"]" || len(d.Grant) != 0 {
		t.Fatalf("after the request was withdrawn: %+v, want the permit marked as returning and no grant", d)
	}
	permit.State = fleetstate.PermitReturning
	f.view.Permits[a] = permit
	expectRemovalAfterMinReady(t, f)
	delete(f.view.Permits, a)
	for node := range 2 { // two of three nodes find a:1 unhealthy, so it counts against the budget
		f.report(node, fleetstate.UpstreamStatus{Routable: true})
	}
	if d := f.decide(9); len(d.Grant) != 0 || len(d.Rejected) != 1 {
		t.Errorf("while a:1 is unhealthy: %+v, want the other request rejected", d)
	}
}

// expectGrant checks that the controller grants a permit to the named server alone, and returns the permit.
func expectGrant(t *testing.T, f *upstreamFleet, name string) fleetstate.Permit {
	t.Helper()
	d := f.decide(0)
	if fmt.Sprint(d.Grant) != "["+name+"]" || len(d.Rejected) != 1 {
		t.Fatalf("decision %+v, want one grant and one rejection", d)
	}
	transactions := d.Transactions(f.view, fleetstate.Versions{}, "permits", 1, "k", func() string { return "id" })
	permit, err := fleetstate.Decode[fleetstate.Permit](transactions[0].Operations[1].Value)
	if err != nil || permit.State != fleetstate.PermitOutOfService {
		t.Fatalf("permit %+v, %v, want it out of service", permit, err)
	}
	return permit
}

// expectConfirmation checks that the server counts as out of service once no node uses it, has requests there or
// is silent.
func expectConfirmation(t *testing.T, f *upstreamFleet, name string) {
	t.Helper()
	f.report(0, fleetstate.UpstreamStatus{InFlight: 1})
	f.report(1, fleetstate.UpstreamStatus{})
	f.view.Members[2].Liveness = disruption.Silent
	if got := f.drainConfirmation(name); got != "false [n0] [n2]" {
		t.Errorf("while n0 has a request there and n2 is silent: %s, want false [n0] [n2]", got)
	}
	f.report(0, fleetstate.UpstreamStatus{})
	f.view.Members[2].Liveness = disruption.Available
	f.report(2, fleetstate.UpstreamStatus{})
	if got := f.drainConfirmation(name); got != "true [] []" {
		t.Errorf("after all nodes have reported: %s, want true [] []", got)
	}
}

// expectRemovalAfterMinReady checks that the permit is removed once all nodes have used the server for MinReady
// (1 s), and that no permit is granted before.
func expectRemovalAfterMinReady(t *testing.T, f *upstreamFleet) {
	t.Helper()
	for second, used := range []bool{false, true, true, true} {
		for node := range 3 {
			f.report(node, fleetstate.UpstreamStatus{Routable: used, Healthy: true})
		}
		d := f.decide(second)
		if removed := len(d.Remove) == 1; removed != (second > 1) || len(d.Grant) != 0 {
			t.Errorf("after %ds: %+v, want the permit removed from second 2 on and no grant", second, d)
		}
	}
}
