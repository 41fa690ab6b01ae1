package logic

import "testing"

// TestRetune: a class added while a request of an old class is in hand is decided on like any other, and the
// request in hand keeps its class; settings that would take a class away, or are bad, are turned down.
func TestRetune(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 0, 0))
	next := testSettings()
	next.Classes = append(next.Classes, Class{Name: "new", LatencyObjective: 500 * ms, ClientTimeout: 2000 * ms, PriorityWeight: 1})
	if err := d.s.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	ran := map[RequestID]bool{}
	for _, a := range append(d.step(ms, arrival(2, 3, 0)), d.step(ms, tick())...) {
		if a.Kind == ActionRun {
			ran[a.ID] = true
		}
	}
	if !ran[2] {
		t.Errorf("the request of the new class did not run on a free core: %v", ran)
	}
	fewer := testSettings()
	fewer.Classes = fewer.Classes[:1]
	if err := d.s.Reconfigure(fewer); err == nil {
		t.Error("a class in hand was taken away")
	}
	bad := next
	bad.Classes = append([]Class(nil), next.Classes...)
	bad.Classes[3].ClientTimeout = 0
	if err := d.s.Reconfigure(bad); err == nil {
		t.Error("a deadline of 0 was taken")
	}
}
