package logic

import "testing"

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no cores":             func(c *Settings) { c.Cores = 0 },
		"no memory":            func(c *Settings) { c.MemoryKB = 0 },
		"no classes":           func(c *Settings) { c.Classes = nil },
		"negative duration":    func(c *Settings) { c.ResponseGrace = -1 },
		"negative window":      func(c *Settings) { c.Classes[1].IdempotencyWindow = -1 },
		"no latency objective": func(c *Settings) { c.Classes[0].LatencyObjective = 0 },
	} {
		cfg := testSettings()
		invalidate(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}

// TestReconfigureAddsClassesAndRejectsRemoval adds a class while a request of an old class is in flight and checks that
// a request of the new class runs. Settings that remove a class or are invalid must be rejected.
func TestReconfigureAddsClassesAndRejectsRemoval(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 0, 0))
	next := testSettings()
	next.Classes = append(next.Classes, Class{Name: "new", LatencyObjective: 500 * ms, ClientTimeout: 2000 * ms, PriorityWeight: 1})
	if err := d.s.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	ran := map[RequestID]bool{}
	for _, a := range append(d.step(ms, arrival(2, 3, 0)), d.step(ms, timerEvent())...) {
		if a.Kind == ActionRun {
			ran[a.ID] = true
		}
	}
	if !ran[2] {
		t.Errorf("the request of the new class did not start on a free core; started: %v", ran)
	}
	classRemoved := testSettings()
	classRemoved.Classes = classRemoved.Classes[:1]
	if err := d.s.Reconfigure(classRemoved); err == nil {
		t.Error("Reconfigure accepted settings that lack a class")
	}
	invalid := next
	invalid.Classes = append([]Class(nil), next.Classes...)
	invalid.Classes[3].ClientTimeout = 0
	if err := d.s.Reconfigure(invalid); err == nil {
		t.Error("Reconfigure accepted a client timeout of 0")
	}
}
