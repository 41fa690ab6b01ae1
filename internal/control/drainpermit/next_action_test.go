package drainpermit

import (
	"testing"
	"time"

	"sloehitch/internal/control/fleetstate"
	"sloehitch/internal/control/lease"
)

// TestReturnsPermitStartedByPreviousProcessAfterMinReady: a new process may read its node's permit as it was
// before the previous process started it. Its own start transaction is then rejected, or is committed but answered
// too late. The node may have been out of service until the restart, so the permit must not be returned before the
// node has been in service and healthy for MinReady.
func TestReturnsPermitStartedByPreviousProcessAfterMinReady(t *testing.T) {
	const minReady = 300 * time.Millisecond
	for _, committed := range []bool{false, true} {
		agent := NewAgent(AgentOptions{DeployedVersion: "v1", Terms: lease.Terms{Duration: time.Second}, MinReady: minReady, MaxReplaceAttempts: 2})
		now := lease.Instant(time.Hour)
		request := &fleetstate.DrainRequest{ID: "ask", RequestedBy: "me", ReleaseName: "r", TargetVersion: "v2"}
		o := Observation{Request: request, Permit: &fleetstate.Permit{ID: "p", RequestID: "ask", State: fleetstate.PermitGranted}, Revision: 5, Healthy: true}
		if action := agent.NextAction(o, now); action.Kind != ActionStart {
			t.Fatalf("action %+v, want ActionStart", action)
		}
		now += lease.Instant(2 * time.Second)
		if agent.HandleStartResult(committed, 6, now) {
			t.Fatal("the node goes out of service although the answer came after the start window")
		}
		o.Permit, o.Revision = &fleetstate.Permit{ID: "p", RequestID: "ask", State: fleetstate.PermitStarted}, 7
		if action := agent.NextAction(o, now); action.Kind != ActionUpdatePermit || action.Permit.State != fleetstate.PermitReturning {
			t.Fatalf("committed %v: action %+v, want the permit written as returning", committed, action)
		}
		agent.HandleWriteResult(true, 8)
		o.Permit, o.Revision = &fleetstate.Permit{ID: "p", RequestID: "ask", State: fleetstate.PermitReturning}, 8
		o.Healthy = false
		if action := agent.NextAction(o, now); action.Kind != ActionNone {
			t.Fatalf("committed %v: action %+v while the node is unhealthy, want none", committed, action)
		}
		o.Healthy = true
		if action := agent.NextAction(o, now); action.Kind != ActionNone {
			t.Fatalf("committed %v: action %+v as the node becomes healthy, want none", committed, action)
		}
		now += lease.Instant(minReady - time.Millisecond)
		if action := agent.NextAction(o, now); action.Kind != ActionNone {
			t.Fatalf("committed %v: action %+v just before MinReady, want none", committed, action)
		}
		now += lease.Instant(time.Millisecond)
		if action := agent.NextAction(o, now); action.Kind != ActionReturnPermit || action.NeverUsed || action.RequestDone {
			t.Fatalf("committed %v: action %+v after MinReady, want the permit returned and the request kept", committed, action)
		}
	}
}
