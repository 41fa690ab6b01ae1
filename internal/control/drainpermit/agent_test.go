package drainpermit

import (
	"testing"
	"time"

	"sloehitch/internal/control/lease"
)

// TestABeginningThatWasNotThisProcesss: a process that starts sees its node's permit as it was before the process before it began to go out
// by it. Its own beginning fails, and then it sees that one. The node may have been out until a moment ago: the permit is given back once
// it has been in and well for long enough, and not before.
func TestABeginningThatWasNotThisProcesss(t *testing.T) {
	const settle = 300 * time.Millisecond
	for _, made := range []bool{false, true} { // refused; or made, and known too late
		a := NewAgent(AgentOptions{DeployedVersion: "v1", Terms: lease.Terms{Duration: time.Second}, MinReady: settle, MaxReplaceAttempts: 2})
		now := lease.Instant(time.Hour)
		ask := &Request{ID: "ask", RequestedBy: "me", ReleaseName: "r", TargetVersion: "v2"}
		s := Observation{Request: ask, Permit: &Permit{ID: "p", RequestID: "ask", State: Granted}, Revision: 5, Healthy: true}
		if x := a.NextAction(s, now); x.Kind != ActionStart {
			t.Fatalf("%+v, want to begin", x)
		}
		now += lease.Instant(2 * time.Second)
		if a.HandleStartResult(made, 6, now) {
			t.Fatal("goes out by it")
		}
		s.Permit, s.Revision = &Permit{ID: "p", RequestID: "ask", State: Started}, 7
		if x := a.NextAction(s, now); x.Kind != ActionUpdatePermit || x.Permit.State != Returning {
			t.Fatalf("made %v: %+v, want the note that it comes back", made, x)
		}
		a.HandleWriteResult(true, 8)
		s.Permit, s.Revision = &Permit{ID: "p", RequestID: "ask", State: Returning}, 8
		s.Healthy = false
		if x := a.NextAction(s, now); x.Kind != ActionNone {
			t.Fatalf("made %v: %+v while it is not well", made, x)
		}
		s.Healthy = true
		if x := a.NextAction(s, now); x.Kind != ActionNone {
			t.Fatalf("made %v: %+v as it gets well", made, x)
		}
		now += lease.Instant(settle - time.Millisecond)
		if x := a.NextAction(s, now); x.Kind != ActionNone {
			t.Fatalf("made %v: %+v a moment before its time", made, x)
		}
		now += lease.Instant(time.Millisecond)
		if x := a.NextAction(s, now); x.Kind != ActionReturnPermit || x.NeverUsed || x.RequestDone {
			t.Fatalf("made %v: %+v, want the permit given back and the ask left", made, x)
		}
	}
}
