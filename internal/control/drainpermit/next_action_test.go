package drainpermit

import (
	"testing"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// TestPermitStartedByPreviousProcess: a process that starts may observe its node's permit as it was before
// the process before it started it. Its own start is rejected, and then it observes that one; or its own
// start is committed, and it learns that too late. The node may have been out of service until a moment ago,
// so the permit is returned once the node has been in service and healthy for long enough, and not before.
func TestPermitStartedByPreviousProcess(t *testing.T) {
	const minReady = 300 * time.Millisecond
	for _, committed := range []bool{false, true} {
		a := NewAgent(AgentOptions{DeployedVersion: "v1", Terms: lease.Terms{Duration: time.Second}, MinReady: minReady, MaxReplaceAttempts: 2})
		now := lease.Instant(time.Hour)
		request := &fleetstate.DrainRequest{ID: "ask", RequestedBy: "me", ReleaseName: "r", TargetVersion: "v2"}
		o := Observation{Request: request, Permit: &fleetstate.Permit{ID: "p", RequestID: "ask", State: fleetstate.PermitGranted}, Revision: 5, Healthy: true}
		if x := a.NextAction(o, now); x.Kind != ActionStart {
			t.Fatalf("%+v, want to start the permit", x)
		}
		now += lease.Instant(2 * time.Second)
		if a.HandleStartResult(committed, 6, now) {
			t.Fatal("goes out of service")
		}
		o.Permit, o.Revision = &fleetstate.Permit{ID: "p", RequestID: "ask", State: fleetstate.PermitStarted}, 7
		if x := a.NextAction(o, now); x.Kind != ActionUpdatePermit || x.Permit.State != fleetstate.PermitReturning {
			t.Fatalf("committed %v: %+v, want the permit written as returning", committed, x)
		}
		a.HandleWriteResult(true, 8)
		o.Permit, o.Revision = &fleetstate.Permit{ID: "p", RequestID: "ask", State: fleetstate.PermitReturning}, 8
		o.Healthy = false
		if x := a.NextAction(o, now); x.Kind != ActionNone {
			t.Fatalf("committed %v: %+v while it is not healthy", committed, x)
		}
		o.Healthy = true
		if x := a.NextAction(o, now); x.Kind != ActionNone {
			t.Fatalf("committed %v: %+v as it becomes healthy", committed, x)
		}
		now += lease.Instant(minReady - time.Millisecond)
		if x := a.NextAction(o, now); x.Kind != ActionNone {
			t.Fatalf("committed %v: %+v a moment before its time", committed, x)
		}
		now += lease.Instant(time.Millisecond)
		if x := a.NextAction(o, now); x.Kind != ActionReturnPermit || x.NeverUsed || x.RequestDone {
			t.Fatalf("committed %v: %+v, want the permit returned and the request left", committed, x)
		}
	}
}
