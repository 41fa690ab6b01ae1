package emulator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// randomDeployment draws machines, classes, callers and load by seed.
func randomDeployment(seed uint64) World {
	r := rand.New(rand.NewPCG(seed, 24))
	between := func(a, b float64) float64 { return a + (b-a)*r.Float64() }
	w := World{Seed: seed, Duration: 12 * time.Second, WarmUp: 3 * time.Second, Nodes: 1 + r.IntN(4), Cores: 1 + r.IntN(8), Speed: between(0.5, 1.5),
		Thrash: between(0, 0.5), ThrashThreshold: between(2, 5), MaxConcurrencyPerCore: between(4, 10), MemoryKB: 1e5, NetworkDelay: time.Millisecond,
		ReadCost: between(0, 0.3), DrainGrace: time.Duration(between(1, 3) * 1e9), Load: between(0.5, 1.6), BurstAmplitude: between(0, 0.4), BurstPeriod: 4 * time.Second,
		Balancers: 1 + r.IntN(4), Balancing: []BalancingMethod{RoundRobin, LeastRequests, PowerOfTwoChoices, Random}[r.IntN(4)], RetryAfterShare: between(0, 1),
		NoWorkHints: r.IntN(2) == 0, DeadlinePropagated: r.IntN(2) == 0}
	if r.IntN(2) == 0 {
		w.TryAllNodes = true
	} else {
		w.MaxRetries, w.Backoff, w.HonorRetryAfter = r.IntN(3), 20*time.Millisecond, r.IntN(2) == 0
	}
	for i := range 1 + r.IntN(3) {
		work := 0.02 * between(1, 5)
		objective := time.Duration(work / w.Speed * between(6, 25) * 1e9)
		c := Class{Name: fmt.Sprint("c", i), Share: between(0.2, 1), Work: Distribution{Mean: work, CV: between(0.3, 1), Kind: "lognormal"}, LatencyObjective: objective,
			ClientTimeout: time.Duration(float64(objective) * between(1.2, 4)), PriorityWeight: between(0.5, 4), WorkHintCV: between(0, 0.6)}
		if c.HasIdempotencyKey = r.IntN(3) == 0; c.HasIdempotencyKey {
			c.IdempotencyWindow = time.Duration(between(1, 30) * 1e9)
		}
		w.Classes = append(w.Classes, c)
	}
	return w
}

// TestDrawnDeployments: on random deployments the invariants hold, and goodput is not below that of a fixed concurrency limit:
// by at most `noise` on each of them, and not at all in the mean.
func TestDrawnDeployments(t *testing.T) {
	const noise = 0.06
	worlds := uint64(15)
	if *long {
		worlds = 60
	}
	run := func(w World, policy string, parameter float64) float64 {
		newServer, err := NewPolicy(policy, parameter)
		if err != nil {
			t.Fatal(err)
		}
		w.NewServer = newServer
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) > 0 && policy == "sloehitch" {
			t.Fatal(r.Violations[0])
		}
		return r.Goodput(&w)
	}
	gain := 0.0
	for seed := range worlds {
		w := randomDeployment(seed)
		ours := run(w, "sloehitch", 0)
		for _, limit := range []float64{1, 3} {
			plain := run(w, "fixed", limit)
			gain += (ours - plain) / float64(worlds) / 2
			if ours < plain-noise {
				t.Errorf("seed %d: goodput %.3f, a plain limit of %v runs a core has %.3f: load %.2f, %d nodes of %d cores, reading %.2f", seed, ours, limit, plain, w.Load, w.Nodes, w.Cores, w.ReadCost)
			}
		}
	}
	t.Logf("mean gain on plain limits %.3f", gain)
	if gain < 0 {
		t.Errorf("in the mean %.3f under plain limits", -gain)
	}
}
