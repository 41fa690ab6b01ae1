package emulator

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
)

// queueing is one node whose callers never give up: a model of queueing theory.
func queueing(cores int, load float64, sizes Distribution, policy string, length time.Duration) World {
	make, err := NewPolicy(policy, 0)
	if err != nil {
		panic(err)
	}
	return World{Seed: 1, Duration: length, WarmUp: length / 100, Nodes: 1, Cores: cores, Speed: 1, Load: load, Balancers: 1, Balancing: RoundRobin,
		MemoryKB: 1e9, MaxConcurrencyPerCore: 1e6, NewServer: make, Classes: []Class{{Name: "x", Share: 1, Work: sizes, LatencyObjective: length, ClientTimeout: length, PriorityWeight: 1}}}
}

// erlangC is the chance that who comes has to wait (M/M/c).
func erlangC(c int, load float64) float64 {
	a := load * float64(c)
	sum, term := 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	wait := term / (1 - load)
	return wait / (sum + wait)
}

var long = flag.Bool("emulator.long", false, "hold the model against theory over runs long enough for 2% (minutes)")

// TestTheory: the model keeps to what is known of queues, and to Little's law: within 2% over the long runs that
// -emulator.long makes, within 8% over the short ones.
func TestTheory(t *testing.T) {
	length, seeds, within := 300*time.Second, uint64(1), 0.08
	if *long {
		length, seeds, within = 20000*time.Second, 4, 0.02
	}
	exp := Distribution{Mean: 0.01, Kind: "exponential"}
	wide := Distribution{Mean: 0.01, CV: 1.5, Kind: "lognormal"}
	for _, c := range []struct {
		name string
		w    World
		want float64 // mean time in the system, in seconds
	}{
		{"M/M/1 at 50%", queueing(1, 0.5, exp, "fifo", length), 0.01 / (1 - 0.5)},
		{"M/M/1 at 75%", queueing(1, 0.75, exp, "fifo", length), 0.01 / (1 - 0.75)},
		{"M/M/4 at 75%", queueing(4, 0.75, exp, "fifo", length/4), 0.01 + erlangC(4, 0.75)*0.01/(4*(1-0.75))},
		{"M/M/1 shared at 60%", queueing(1, 0.6, exp, "none", length), 0.01 / (1 - 0.6)},
		{"M/G/1 shared at 60%", queueing(1, 0.6, wide, "none", length), 0.01 / (1 - 0.6)},
		{"M/G/1 at 50% (Pollaczek-Khinchine)", queueing(1, 0.5, wide, "fifo", length), 0.01 + 0.5*0.01*(1+wide.squaredCV())/(2*(1-0.5))},
		{"M/D/1 at 60% (Pollaczek-Khinchine)", queueing(1, 0.6, Distribution{Mean: 0.01}, "fifo", length), 0.01 + 0.6*0.01/(2*(1-0.6))},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got := 0.0
			for seed := range seeds {
				c.w.Seed = seed + 1
				r, err := Run(c.w)
				if err != nil {
					t.Fatal(err)
				}
				got += r.Classes[0].Latency.Mean() / 1e6 / float64(seeds)
				if math.Abs(r.Utilization/c.w.Load-1) > within {
					t.Errorf("%.3f of the cores used at a load of %.2f", r.Utilization, c.w.Load)
				}
				if math.Abs(r.MeanInSystem/r.MeanByLittlesLaw-1) > 1e-6 {
					t.Errorf("%.6f in the system by the clock, %.6f by Little's law", r.MeanInSystem, r.MeanByLittlesLaw)
				}
			}
			off := got/c.want - 1
			t.Logf("%.3f ms in the system, %.3f by theory (%+.1f%%)", got*1e3, c.want*1e3, 100*off)
			if math.Abs(off) > within {
				t.Errorf("%.3f ms in the system, want %.3f (%+.1f%%)", got*1e3, c.want*1e3, 100*off)
			}
		})
	}
}

// clinic is a small fleet like the brief's.
func clinic(seed uint64, load float64, policy string) World {
	make, err := NewPolicy(policy, 2)
	if err != nil {
		panic(err)
	}
	return World{Seed: seed, Duration: 30 * time.Second, WarmUp: 5 * time.Second, Nodes: 4, Cores: 6, Speed: 1, Thrash: 0.3, ThrashThreshold: 3, MaxConcurrencyPerCore: 5,
		MemoryKB: 1e5, NetworkDelay: 500 * time.Microsecond, Load: load, BurstAmplitude: 0.4, BurstPeriod: 4 * time.Second, Balancers: 3, Balancing: LeastRequests, MaxRetries: 1,
		Backoff: 20 * time.Millisecond, HonorRetryAfter: true, NewServer: make, Classes: []Class{
			{Name: "slot-search", Share: 0.66, Work: Distribution{0.05, 1, "lognormal"}, LatencyObjective: 800 * time.Millisecond, ClientTimeout: 3 * time.Second, PriorityWeight: 1, WorkHintCV: 0.3},
			{Name: "book", Share: 0.34, Work: Distribution{0.08, 1, "lognormal"}, LatencyObjective: 1200 * time.Millisecond, ClientTimeout: 3 * time.Second, PriorityWeight: 3, HasIdempotencyKey: true, IdempotencyWindow: 10 * time.Second, WorkHintCV: 0.3}}}
}

// row is all that a run comes to, as text.
func row(r *Result) string {
	var b strings.Builder
	fmt.Fprint(&b, r.Events, r.Utilization, r.MeanInSystem, r.MeanByLittlesLaw)
	for _, c := range r.Classes {
		fmt.Fprint(&b, " ", c.Offered, c.WithinObjective, c.Late, c.Rejected, c.Failed, c.TimedOut, c.Attempts, c.WeightWithinObjective, c.Latency.Mean(), c.Latency.ValueAtQuantile(99))
	}
	return b.String()
}

// TestSameSeed: one seed gives one course, whatever runs beside it; arms that differ in policy alone meet the same
// requests; all that came is accounted for, and no rule is broken, on a calm, in overload and with faults.
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
			w := clinic(7, load, policy)
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

// spoilt is a server that breaks a rule.
type spoilt struct {
	Server
	site Environment
	rule string
	seen []*Attempt
}

func (s *spoilt) Submit(t *Attempt, answer func(node.Response)) {
	s.seen = append(s.seen, t)
	switch s.rule {
	case "lost":
		if len(s.seen) == 5 {
			return
		}
	case "duplicate":
		if len(s.seen) == 5 {
			first := answer
			answer = func(a node.Response) { first(a); first(a) }
		}
	case "rerun":
		if t.IdempotencyKey != "" {
			s.site.Clock.AfterFunc(time.Millisecond, func() { s.site.OnRunStarted(t) })
		}
	case "refused":
		if t.IdempotencyKey != "" {
			s.site.OnRunStarted(t)
			answer(node.Response{Status: node.StatusRejected})
			return
		}
	}
	s.Server.Submit(t, answer)
}

func (s *spoilt) Drain(left time.Duration) {
	if s.rule != "drain" {
		s.Server.Drain(left)
	}
}

// TestRulesCatch: a core that breaks a rule is caught, for each rule, with seed, time and what came before.
func TestRulesCatch(t *testing.T) {
	for _, rule := range []string{"lost", "duplicate", "rerun", "refused", "drain"} {
		w := clinic(3, 0.5, "sloehitch")
		w.Duration, w.WarmUp, w.DiscoveryDelay = 8*time.Second, 0, 4*time.Second
		w.Faults = []Fault{{At: 2 * time.Second, Node: 0, Kind: FaultDrain, Duration: 5 * time.Second}}
		make := w.NewServer
		w.NewServer = func(s Environment) Server { return &spoilt{Server: make(s), site: s, rule: rule} }
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) == 0 {
			t.Errorf("%s: not caught", rule)
			continue
		}
		if b := r.Violations[0]; b.Rule != rule || b.Seed != 3 || b.At <= 0 || len(b.RecentEvents) == 0 || !strings.Contains(b.Error(), "seed 3") {
			t.Errorf("%s: caught as %v", rule, b)
		}
	}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		change func(*World)
		want   string
	}{
		{func(w *World) { w.Nodes = 0 }, "nodes"},
		{func(w *World) { w.ArrivalRate = 5 }, "one of rate and load"},
		{func(w *World) { w.Balancing = "best" }, `no habit "best"`},
		{func(w *World) { w.Classes[1].IdempotencyWindow = 0 }, "window"},
		{func(w *World) { w.Classes[0].ClientTimeout = 1 }, "deadline"},
		{func(w *World) { w.Faults = []Fault{{Node: 9, Kind: "stall"}} }, "node 9"},
		{func(w *World) { w.Faults = []Fault{{Kind: "melt"}} }, `no fault "melt"`},
		{func(w *World) { w.WarmUp = time.Hour }, "warm-up"},
	} {
		w := clinic(1, 0.5, "fixed")
		c.change(&w)
		if _, err := Run(w); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want a word on %s", err, c.want)
		}
	}
	if _, err := NewPolicy("best", 0); err == nil || !strings.Contains(err.Error(), "sloehitch, none") {
		t.Errorf("%v", err)
	}
}

// TestFaults: each fault costs what it is for, and no more once it is over; a budget holds further tries down.
func TestFaults(t *testing.T) {
	play := func(change func(*World)) (goodput, tries float64, r *Result) {
		t.Helper()
		w := clinic(5, 0.7, "sloehitch")
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
	calm, once, _ := play(func(*World) {})
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
		got, _, _ := play(func(w *World) {
			w.Faults, w.DiscoveryDelay, w.SlowStartCapacity, w.SlowStartDuration = []Fault{c.fault}, time.Second, 0.3, 2*time.Second
		})
		if got < c.least || got > c.most {
			t.Errorf("%s: goodput %.4f, want %.3f to %.4f", c.name, got, c.least, c.most)
		}
	}
	storm := func(w *World) { w.Load, w.HonorRetryAfter = 1.5, false }
	_, unbound, _ := play(storm)
	_, bound, _ := play(func(w *World) { storm(w); w.RetryBudget = 0.1 })
	if unbound < 1.3 || bound > 1.12 {
		t.Errorf("%.2f tries a request without a budget, %.2f with one of 0.1", unbound, bound)
	}
}

// TestPlainPolicies: in overload each plain policy does what it is known for.
func TestPlainPolicies(t *testing.T) {
	got := map[string]*Result{}
	for _, policy := range []string{"fixed", "codel", "worth", "gradient"} {
		w := clinic(9, 1.5, policy)
		w.MaxRetries, w.BurstAmplitude = 0, 0
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		got[policy] = r
	}
	share := func(policy string, class int) float64 {
		c := got[policy].Classes[class]
		return float64(c.WithinObjective) / float64(c.Offered)
	}
	if b, s := share("worth", 1), share("worth", 0); b < 0.9 || b < s+0.3 {
		t.Errorf("by worth: %.2f of bookings and %.2f of searches served", b, s)
	}
	if b, s := share("fixed", 1), share("fixed", 0); math.Abs(b-s) > 0.12 {
		t.Errorf("first come, first served: %.2f of bookings and %.2f of searches", b, s)
	}
	if p99 := got["codel"].Classes[0].Latency.ValueAtQuantile(50); p99 > 1_500_000 || got["codel"].Classes[0].Rejected == 0 {
		t.Errorf("codel: half wait longer than %d us, %d refused", p99, got["codel"].Classes[0].Rejected)
	}
	if u := got["gradient"].Utilization; u < 0.9 {
		t.Errorf("gradient: %.2f of the cores used", u)
	}
}

// TestDependency: with room in the dependency its calls add their time and no more; while it is slow, or too small,
// what can't be done in time is refused or failed, the rules are kept, and it is whole again soon after.
func TestDependency(t *testing.T) {
	play := func(policy string, slots int, faults ...Fault) (*Result, float64) {
		t.Helper()
		w := clinic(4, 0.6, policy)
		w.Duration, w.WarmUp, w.BurstAmplitude, w.Faults = 20*time.Second, 2*time.Second, 0, faults
		w.Dependency = &Dependency{Slots: slots, ServiceTime: Distribution{Mean: 0.03, CV: 0.5, Kind: "lognormal"}, MaxQueued: 2 * slots}
		for i := range w.Classes {
			w.Classes[i].CallsDependency = true
		}
		r, err := Run(w)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range r.Classes {
			if sum := c.WithinObjective + c.Late + c.Rejected + c.Failed + c.TimedOut; sum != c.Offered {
				t.Errorf("%s, %d slots: %d offered, %d ended", policy, slots, c.Offered, sum)
			}
		}
		for _, b := range r.Violations {
			if policy == "sloehitch" {
				t.Fatalf("%s, %d slots: %v", policy, slots, b)
			}
		}
		return r, r.Goodput(&w)
	}
	// 238 calls a second of 30 ms want 7.2 slots.
	ample, all := play("sloehitch", 60)
	if all < 0.98 || ample.Classes[0].Latency.Mean() < 80_000 {
		t.Errorf("ample: goodput %.3f, searches take %.0f us", all, ample.Classes[0].Latency.Mean())
	}
	if _, plain := play("none", 60); plain < 0.98 {
		t.Errorf("ample, without a limit: goodput %.3f", plain)
	}
	if _, few := play("sloehitch", 4); few < 0.3 || few > 0.8 {
		t.Errorf("half of the slots that are wanted: goodput %.3f", few)
	}
	if _, slow := play("sloehitch", 60, Fault{At: 6 * time.Second, Kind: FaultSlowDependency, Duration: 4 * time.Second, Factor: 0.05}); slow < 0.7 || slow >= all {
		t.Errorf("slow for 4 of 18 s: goodput %.3f", slow)
	}
}

// TestTenants: a tenant beyond its share gives way to those within theirs.
func TestTenants(t *testing.T) {
	w := clinic(6, 1.5, "sloehitch")
	w.BurstAmplitude, w.MaxRetries = 0, 0
	rate := w.arrivalRate()
	w.Tenants = []Tenant{{Name: "greedy", Share: 3, QuotaPerSecond: rate / 6}, {Name: "modest", Share: 1, QuotaPerSecond: rate / 2}}
	served, offered := [2]int{}, [2]int{}
	whose := map[string]int{}
	w.OnStep = func(s Step) {
		switch {
		case s.Event == "come":
			whose[s.Request] = strings.Count(s.Detail, "modest")
			offered[whose[s.Request]]++
		case s.Event == "ended" && strings.HasPrefix(s.Detail, "in aim"):
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

// TestTrace: the steps of one request tell where it was when, and all of them make a file that a viewer reads.
func TestTrace(t *testing.T) {
	w := clinic(2, 1.5, "sloehitch")
	w.Duration, w.WarmUp = 3*time.Second, 0
	var steps []Step
	w.OnStep = func(s Step) { steps = append(steps, s) }
	r, err := Run(w)
	if err != nil {
		t.Fatal(err)
	}
	var life, file strings.Builder
	if err := WriteTimeline(&life, steps, "r5"); err != nil {
		t.Fatal(err)
	}
	at := 0
	for _, want := range []string{"caller", "come", "sent", "offered", "run", "served", "ended", "in aim"} {
		i := strings.Index(life.String()[at:], want)
		if i < 0 {
			t.Fatalf("no %q after byte %d of\n%s", want, at, &life)
		}
		at += i
	}
	if err := WriteTimeline(&life, steps, "r999999"); err == nil {
		t.Error("a request that never came: no error")
	}
	if err := WriteTrace(&file, steps); err != nil {
		t.Fatal(err)
	}
	var read struct {
		TraceEvents []struct {
			Name string
			Dur  float64
		}
	}
	if err := json.Unmarshal([]byte(file.String()), &read); err != nil {
		t.Fatal(err)
	}
	ended, offered := 0, r.Classes[0].Offered+r.Classes[1].Offered
	for _, e := range read.TraceEvents {
		if word := strings.Fields(e.Name); len(word) > 1 && e.Dur == 0 && !strings.Contains(word[0], ".") {
			ended++
		}
	}
	if ended < offered {
		t.Errorf("%d of %d requests end in the file", ended, offered)
	}
}

// BenchmarkPlay is how fast so many nodes are played that get 230 requests a second together, 93% of what they can do.
func BenchmarkPlay(b *testing.B) {
	for _, nodes := range []int{4, 16, 100, 1000} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			events, length := uint64(0), 60*time.Second
			for range b.N {
				w := clinic(1, 0.93, "sloehitch")
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
