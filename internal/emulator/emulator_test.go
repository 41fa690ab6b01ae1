package emulator

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// smallFleet returns a world of four nodes and two classes.
func smallFleet(seed uint64, load float64, policy string) World {
	newServer, err := NewPolicy(policy, 2)
	if err != nil {
		panic(err)
	}
	return World{Seed: seed, Duration: 30 * time.Second, WarmUp: 5 * time.Second, Nodes: 4, Cores: 6, Speed: 1, Thrash: 0.3, ThrashThreshold: 3, MaxConcurrencyPerCore: 5,
		MemoryKB: 1e5, NetworkDelay: 500 * time.Microsecond, Load: load, BurstAmplitude: 0.4, BurstPeriod: 4 * time.Second, Balancers: 3, Balancing: LeastRequests, MaxRetries: 1,
		Backoff: 20 * time.Millisecond, HonorRetryAfter: true, NewServer: newServer, Classes: []Class{
			{Name: "slot-search", Share: 0.66, Work: Distribution{0.05, 1, "lognormal"}, LatencyObjective: 800 * time.Millisecond, ClientTimeout: 3 * time.Second, PriorityWeight: 1, WorkHintCV: 0.3},
			{Name: "book", Share: 0.34, Work: Distribution{0.08, 1, "lognormal"}, LatencyObjective: 1200 * time.Millisecond, ClientTimeout: 3 * time.Second, PriorityWeight: 3, HasIdempotencyKey: true, IdempotencyWindow: 10 * time.Second, WorkHintCV: 0.3}}}
}

// resultText formats a result, so that two can be compared.
func resultText(r *Result) string {
	var b strings.Builder
	fmt.Fprint(&b, r.Events, r.Utilization, r.MeanInSystem, r.MeanByLittlesLaw)
	for _, c := range r.Classes {
		fmt.Fprint(&b, " ", c.Offered, c.WithinObjective, c.Late, c.Rejected, c.Failed, c.TimedOut, c.Attempts, c.WeightWithinObjective, c.Latency.Mean(), c.Latency.ValueAtQuantile(99))
	}
	return b.String()
}

// TestSeedDeterminesResult: a seed determines the result even if simulations run in parallel, and all policies get the
// same requests. At low load, in overload and with faults every request is counted once and no invariant is violated.
func TestSeedDeterminesResult(t *testing.T) {
	var faults []Fault
	for i, kind := range []FaultKind{FaultStall, FaultSlow, FaultMessageLoss, FaultDrain, FaultCrash} {
		faults = append(faults, Fault{At: time.Duration(6+2*i) * time.Second, Node: i % 4, Kind: kind, Duration: 2 * time.Second, Factor: 0.3, RestartDelay: time.Second})
	}
	for _, load := range []float64{0.6, 1.2, 10} {
		offered := ""
		for _, policy := range []string{"sloehitch", "none", "fixed", "codel", "worth", "gradient"} {
			if policy != "sloehitch" && load != 1.2 {
				continue
			}
			w := smallFleet(7, load, policy)
			w.Faults, w.Duration = faults, 16*time.Second
			w.DiscoveryDelay, w.SlowStartCapacity, w.SlowStartDuration, w.RetryBudget = 700*time.Millisecond, 0.2, 3*time.Second, 0.1
			if load == 10 {
				w.Duration = 9 * time.Second
			}
			results, offeredCounts := make(chan string, 2), make(chan string, 2)
			for range 2 {
				go func() {
					r, err := Run(w)
					if err != nil {
						t.Error(err)
					}
					for _, v := range r.Violations {
						if policy == "sloehitch" { // the other policies don't guarantee the invariants
							t.Error(v)
							break
						}
					}
					for _, c := range r.Classes {
						if sum := c.WithinObjective + c.Late + c.Rejected + c.Failed + c.TimedOut; sum != c.Offered {
							t.Errorf("policy %s, load %.1f: %d requests offered, %d ended", policy, load, c.Offered, sum)
						}
					}
					results <- resultText(r)
					offeredCounts <- fmt.Sprint(r.Classes[0].Offered, " ", r.Classes[1].Offered)
				}()
			}
			a, b := <-results, <-results
			if a != b {
				t.Errorf("policy %s, load %.1f: two results from one seed:\n%s\n%s", policy, load, a, b)
			}
			if counts := <-offeredCounts; offered == "" {
				offered = counts
			} else if counts != offered {
				t.Errorf("policy %s, load %.1f: requests by class %s, under another policy %s", policy, load, counts, offered)
			}
		}
	}
}

// TestFaultsLowerGoodputWithinBounds: each fault lowers goodput by no more than its share of the simulated time, and a retry
// budget bounds the attempts in overload.
func TestFaultsLowerGoodputWithinBounds(t *testing.T) {
	run := func(change func(*World)) (goodput, attemptsPerRequest float64, r *Result) {
		t.Helper()
		w := smallFleet(5, 0.7, "sloehitch")
		w.Duration, w.WarmUp, w.BurstAmplitude, w.MaxRetries = 20*time.Second, 2*time.Second, 0, 3
		change(&w)
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) > 0 {
			t.Fatal(r.Violations[0])
		}
		attempts, offered := 0, 0
		for _, c := range r.Classes {
			attempts, offered = attempts+c.Attempts, offered+c.Offered
		}
		return r.Goodput(&w), float64(attempts) / float64(offered), r
	}
	baseline, baselineAttempts, _ := run(func(*World) {})
	if baseline < 0.99 || baselineAttempts > 1.01 {
		t.Fatalf("without faults: goodput %.3f, %.2f attempts per request", baseline, baselineAttempts)
	}
	for _, c := range []struct {
		name                   string
		fault                  Fault
		minGoodput, maxGoodput float64
	}{
		{"a node is stalled for 3 of 18 s", Fault{Kind: FaultStall, Duration: 3 * time.Second}, 0.9, 0.999},
		{"a node runs at half speed for 3 s", Fault{Kind: FaultSlow, Duration: 3 * time.Second, Factor: 0.5}, 0.93, 0.9999},
		{"a tenth of a node's messages is lost for 5 s", Fault{Kind: FaultMessageLoss, Duration: 5 * time.Second, Factor: 0.1}, 0.97, 0.9995},
		{"a node crashes and does not restart: the others are near capacity", Fault{Kind: FaultCrash}, 0.95, 0.9999},
		{"a node drains and restarts", Fault{Kind: FaultDrain, Duration: 3 * time.Second, RestartDelay: time.Second}, 0.93, 0.9999},
	} {
		c.fault.At = 6 * time.Second
		got, _, _ := run(func(w *World) {
			w.Faults, w.DiscoveryDelay, w.SlowStartCapacity, w.SlowStartDuration = []Fault{c.fault}, time.Second, 0.3, 2*time.Second
		})
		if got < c.minGoodput || got > c.maxGoodput {
			t.Errorf("%s: goodput %.4f, want %.3f to %.4f", c.name, got, c.minGoodput, c.maxGoodput)
		}
	}
	overload := func(w *World) { w.Load, w.HonorRetryAfter = 1.5, false }
	_, unbounded, _ := run(overload)
	_, bounded, _ := run(func(w *World) { overload(w); w.RetryBudget = 0.1 })
	if unbounded < 1.3 || bounded > 1.12 {
		t.Errorf("attempts per request: %.2f without a retry budget, %.2f with a budget of 0.1", unbounded, bounded)
	}
}

// TestTenantOverQuotaIsShedFirst: a tenant over its quota is shed before one within its quota.
func TestTenantOverQuotaIsShedFirst(t *testing.T) {
	w := smallFleet(6, 1.5, "sloehitch")
	w.BurstAmplitude, w.MaxRetries = 0, 0
	rate := w.arrivalRate()
	w.Tenants = []Tenant{{Name: "greedy", Share: 3, QuotaPerSecond: rate / 6}, {Name: "modest", Share: 1, QuotaPerSecond: rate / 2}}
	served, offered := [2]int{}, [2]int{}
	tenantOf := map[string]int{}
	w.OnStep = func(s Step) {
		switch {
		case s.Event == EventArrived:
			tenantOf[s.Request] = strings.Count(s.Detail, "modest")
			offered[tenantOf[s.Request]]++
		case s.Event == EventEnded && strings.HasPrefix(s.Detail, "in aim"):
			served[tenantOf[s.Request]]++
		}
	}
	if _, err := Run(w); err != nil {
		t.Fatal(err)
	}
	greedy, modest := float64(served[0])/float64(offered[0]), float64(served[1])/float64(offered[1])
	if offered[0] < 2*offered[1] || modest < 0.9 || modest < greedy+0.15 {
		t.Errorf("%d requests of tenant greedy and %d of tenant modest offered; shares served in time %.2f and %.2f", offered[0], offered[1], greedy, modest)
	}
}

// BenchmarkRun simulates fleets that get 230 requests a second in total, a load of 93%.
func BenchmarkRun(b *testing.B) {
	for _, nodes := range []int{4, 16, 100, 1000} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			events, length := uint64(0), 60*time.Second
			for range b.N {
				w := smallFleet(1, 0.93, "sloehitch")
				w.Speed = 230 / (w.arrivalRate() / float64(w.Nodes) * float64(nodes))
				for i := range w.Classes { // scale objectives and timeouts with the speed of the cores
					w.Classes[i].LatencyObjective, w.Classes[i].ClientTimeout = time.Duration(float64(w.Classes[i].LatencyObjective)/w.Speed), time.Duration(float64(w.Classes[i].ClientTimeout)/w.Speed)
				}
				w.Nodes, w.Duration = nodes, length
				r, err := Run(w)
				if err != nil {
					b.Fatal(err)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(length.Seconds()*float64(b.N)/b.Elapsed().Seconds(), "x-real-time")
		})
	}
}
