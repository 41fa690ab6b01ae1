package emulator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// randomDeployment draws machines, classes, callers and load from a seed.
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

// TestRandomDeploymentsMatchFixedLimitGoodput: on random deployments the invariants hold. Goodput is at most `tolerance`
// below that of a fixed concurrency limit on each deployment, and not below it on average.
func TestRandomDeploymentsMatchFixedLimitGoodput(t *testing.T) {
	const tolerance = 0.06
	deployments := uint64(15)
	if *longRuns {
		deployments = 60
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
	meanGain := 0.0
	for seed := range deployments {
		w := randomDeployment(seed)
		daemonGoodput := run(w, "sloehitch", 0)
		for _, limit := range []float64{1, 3} {
			fixedGoodput := run(w, "fixed", limit)
			meanGain += (daemonGoodput - fixedGoodput) / float64(deployments) / 2
			if daemonGoodput < fixedGoodput-tolerance {
				t.Errorf("seed %d: goodput %.3f; with a fixed limit of %v runs for each core %.3f (load %.2f, %d nodes of %d cores, read cost %.2f)", seed, daemonGoodput, limit, fixedGoodput, w.Load, w.Nodes, w.Cores, w.ReadCost)
			}
		}
	}
	t.Logf("mean gain in goodput over fixed limits %.3f", meanGain)
	if meanGain < 0 {
		t.Errorf("mean goodput %.3f below that of fixed limits", -meanGain)
	}
}
