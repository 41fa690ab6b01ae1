package emulator

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// smallFleet is a world of four nodes and two classes.
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

// row is a result as text.
func row(r *Result) string {
	var b strings.Builder
	fmt.Fprint(&b, r.Events, r.Utilization, r.MeanInSystem, r.MeanByLittlesLaw)
	for _, c := range r.Classes {
		fmt.Fprint(&b, " ", c.Offered, c.WithinObjective, c.Late, c.Rejected, c.Failed, c.TimedOut, c.Attempts, c.WeightWithinObjective, c.Latency.Mean(), c.Latency.ValueAtQuantile(99))
	}
	return b.String()
}

// TestSameSeed: a seed determines the result, whatever runs in parallel; all policies meet the same requests; every request is
// counted once, and no invariant is violated, at low load, in overload and with faults.
func TestSameSeed(t *testing.T) {
	var faulty []Fault
	for i, kind := range []FaultKind{FaultStall, FaultSlow, FaultMessageLoss, FaultDrain, FaultCrash} {
		faulty = append(faulty, Fault{At: time.Duration(6+2*i) * time.Second, Node: i % 4, Kind: kind, Duration: 2 * time.Second, Factor: 0.3, RestartDelay: time.Second})
	}
	for _, load := range []float64{0.6, 1.2, 10} {
		offered := ""
		for _, policy := range []string{"sloehitch", "none", "fixed", "codel", "worth", "gradient"} {
			if policy != "sloehitch" && load != 1.2 {
				continue
			}
			w := smallFleet(7, load, policy)
			w.Faults, w.Duration = faulty, 16*time.Second
			w.DiscoveryDelay, w.SlowStartCapacity, w.SlowStartDuration, w.RetryBudget = 700*time.Millisecond, 0.2, 3*time.Second, 0.1
			if load == 10 {
				w.Duration = 9 * time.Second
			}
			rows, came := make(chan string, 2), make(chan string, 2)
			for range 2 {
				go func() {
					r, err := Run(w)
					if err != nil {
						t.Error(err)
					}
					for _, b := range r.Violations {
						if policy == "sloehitch" { // the others keep no rules
							t.Error(b)
							break
						}
					}
					for _, c := range r.Classes {
						if sum := c.WithinObjective + c.Late + c.Rejected + c.Failed + c.TimedOut; sum != c.Offered {
							t.Errorf("%s at %.1f: %d offered, %d ended", policy, load, c.Offered, sum)
						}
					}
					rows <- row(r)
					came <- fmt.Sprint(r.Classes[0].Offered, " ", r.Classes[1].Offered)
				}()
			}
			a, b := <-rows, <-rows
			if a != b {
				t.Errorf("%s at %.1f: one seed, two courses:\n%s\n%s", policy, load, a, b)
			}
			if c := <-came; offered == "" {
				offered = c
			} else if c != offered {
				t.Errorf("%s at %.1f: %s requests, another policy met %s", policy, load, c, offered)
			}
		}
	}
}

// TestFaults: each fault lowers goodput by no more than its part of the run; a retry budget bounds the attempts.
func TestFaults(t *testing.T) {
	run := func(change func(*World)) (goodput, tries float64, r *Result) {
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
		n, offered := 0, 0
		for _, c := range r.Classes {
			n, offered = n+c.Attempts, offered+c.Offered
		}
		return r.Goodput(&w), float64(n) / float64(offered), r
	}
	calm, once, _ := run(func(*World) {})
	if calm < 0.99 || once > 1.01 {
		t.Fatalf("calm: goodput %.3f, %.2f tries", calm, once)
	}
	for _, c := range []struct {
		name        string
		fault       Fault
		least, most float64 // goodput
	}{
		{"a node stands still for 3 of 18 s", Fault{Kind: FaultStall, Duration: 3 * time.Second}, 0.9, 0.999},
		{"a node goes at half speed for 3 s", Fault{Kind: FaultSlow, Duration: 3 * time.Second, Factor: 0.5}, 0.93, 0.9999},
		{"a tenth of a node's messages is lost for 5 s", Fault{Kind: FaultMessageLoss, Duration: 5 * time.Second, Factor: 0.1}, 0.97, 0.9995},
		{"a node dies for good: the others are near full", Fault{Kind: FaultCrash}, 0.95, 0.9999},
		{"a node leaves and comes back", Fault{Kind: FaultDrain, Duration: 3 * time.Second, RestartDelay: time.Second}, 0.93, 0.9999},
	} {
		c.fault.At = 6 * time.Second
		got, _, _ := run(func(w *World) {
			w.Faults, w.DiscoveryDelay, w.SlowStartCapacity, w.SlowStartDuration = []Fault{c.fault}, time.Second, 0.3, 2*time.Second
		})
		if got < c.least || got > c.most {
			t.Errorf("%s: goodput %.4f, want %.3f to %.4f", c.name, got, c.least, c.most)
		}
	}
	storm := func(w *World) { w.Load, w.HonorRetryAfter = 1.5, false }
	_, unbound, _ := run(storm)
	_, bound, _ := run(func(w *World) { storm(w); w.RetryBudget = 0.1 })
	if unbound < 1.3 || bound > 1.12 {
		t.Errorf("%.2f tries a request without a budget, %.2f with one of 0.1", unbound, bound)
	}
}

// TestTenants: a tenant over its quota is shed before one within its quota.
func TestTenants(t *testing.T) {
	w := smallFleet(6, 1.5, "sloehitch")
	w.BurstAmplitude, w.MaxRetries = 0, 0
	rate := w.arrivalRate()
	w.Tenants = []Tenant{{Name: "greedy", Share: 3, QuotaPerSecond: rate / 6}, {Name: "modest", Share: 1, QuotaPerSecond: rate / 2}}
	served, offered := [2]int{}, [2]int{}
	whose := map[string]int{}
	w.OnStep = func(s Step) {
		switch {
		case s.Event == EventArrived:
			whose[s.Request] = strings.Count(s.Detail, "modest")
			offered[whose[s.Request]]++
		case s.Event == EventEnded && strings.HasPrefix(s.Detail, "in aim"):
			served[whose[s.Request]]++
		}
	}
	if _, err := Run(w); err != nil {
		t.Fatal(err)
	}
	greedy, modest := float64(served[0])/float64(offered[0]), float64(served[1])/float64(offered[1])
	if offered[0] < 2*offered[1] || modest < 0.9 || modest < greedy+0.15 {
		t.Errorf("%d and %d offered; of the greedy one's %.2f served, of the modest one's %.2f", offered[0], offered[1], greedy, modest)
	}
}

// BenchmarkRun simulates fleets that get 230 requests a second in total, 93% of their capacity.
func BenchmarkRun(b *testing.B) {
	for _, nodes := range []int{4, 16, 100, 1000} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			events, length := uint64(0), 60*time.Second
			for range b.N {
				w := smallFleet(1, 0.93, "sloehitch")
				w.Speed = 230 / (w.arrivalRate() / float64(w.Nodes) * float64(nodes))
				for i := range w.Classes { // as slow as the cores are, as patient are the callers
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
