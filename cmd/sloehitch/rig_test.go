package main

import (
	"io"
	"os/exec"
	"testing"
	"time"

	"sloehitch/internal/emulator"
	"sloehitch/internal/testing/loadrig"
)

// TestLoadRigAccountsForAllRequests checks that the load rig sends the emulator's load to daemons, that each request is answered
// and counted, and that no key runs twice. The result does not depend on the speed of the machine.
func TestLoadRigAccountsForAllRequests(t *testing.T) {
	w := emulator.World{Seed: 1, Duration: 2 * time.Second, Nodes: 2, Cores: 2, Speed: 1, Thrash: 0.3, ThrashThreshold: 3, MaxConcurrencyPerCore: 5, MemoryKB: 1e5, Load: 0.8,
		Balancers: 2, Balancing: emulator.LeastRequests, MaxRetries: 1, Backoff: 10 * time.Millisecond, HonorRetryAfter: true, Classes: []emulator.Class{
			{Name: "read", Share: 1, Work: emulator.Distribution{Mean: 0.02, CV: 1, Kind: "lognormal"}, LatencyObjective: time.Second, ClientTimeout: 2 * time.Second, PriorityWeight: 1},
			{Name: "book", Share: 1, Work: emulator.Distribution{Mean: 0.02}, LatencyObjective: time.Second, ClientTimeout: 2 * time.Second, PriorityWeight: 3, HasIdempotencyKey: true, IdempotencyWindow: 10 * time.Second}},
		Faults: []emulator.Fault{{At: time.Second, Node: 0, Kind: emulator.FaultStall, Duration: 200 * time.Millisecond}}}
	policy, err := emulator.NewPolicy("none", 0) // not used
	if err != nil {
		t.Fatal(err)
	}
	w.NewServer = policy
	r, err := loadrig.Play(w, loadrig.Options{Dir: t.TempDir(), Log: io.Discard, Command: func(config, deploy string) *exec.Cmd {
		return command("serve", "--config", config, "--deploy", deploy)
	}})
	if err != nil {
		t.Fatal(err)
	}
	for i, c := range r.Classes {
		if sum := c.WithinObjective + c.Late + c.Rejected + c.Failed + c.TimedOut; sum != c.Offered || c.WithinObjective+c.Late == 0 || c.Attempts < c.Offered {
			t.Errorf("class %d: %d offered, %d ended, %d served in time, %d attempts", i, c.Offered, sum, c.WithinObjective, c.Attempts)
		}
	}
	for _, b := range r.Violations {
		if b.Rule == "rerun" || b.Rule == "duplicate" {
			t.Error(b)
		}
	}
	w.Nodes = loadrig.MostNodes + 1
	if _, err := loadrig.Play(w, loadrig.Options{}); err == nil {
		t.Error("no error for more daemons than MostNodes")
	}
}
