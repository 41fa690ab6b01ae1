package emulator

import (
	"flag"
	"math"
	"testing"
	"time"
)

// queueingWorld returns a world of one node whose callers never give up, as in the models of queueing theory.
func queueingWorld(cores int, load float64, sizes Distribution, policy string, length time.Duration) World {
	newServer, err := NewPolicy(policy, 0)
	if err != nil {
		panic(err)
	}
	return World{Seed: 1, Duration: length, WarmUp: length / 100, Nodes: 1, Cores: cores, Speed: 1, Load: load, Balancers: 1, Balancing: RoundRobin,
		MemoryKB: 1e9, MaxConcurrencyPerCore: 1e6, NewServer: newServer, Classes: []Class{{Name: "x", Share: 1, Work: sizes, LatencyObjective: length, ClientTimeout: length, PriorityWeight: 1}}}
}

// erlangC returns the probability that an arrival has to wait in an M/M/c queue.
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

var longRuns = flag.Bool("emulator.long", false, "run the simulations long enough to match queueing theory within 2% (takes minutes)")

// TestMatchesQueueingTheory: mean time in the system and utilization match queueing theory, within 2% in the long runs of
// -emulator.long and within 8% in the short ones, and the number of requests in the system matches Little's law.
func TestMatchesQueueingTheory(t *testing.T) {
	length, seeds, tolerance := 300*time.Second, uint64(1), 0.08
	if *longRuns {
		length, seeds, tolerance = 20000*time.Second, 4, 0.02
	}
	exp := Distribution{Mean: 0.01, Kind: "exponential"}
	highVariance := Distribution{Mean: 0.01, CV: 1.5, Kind: "lognormal"}
	for _, c := range []struct {
		name string
		w    World
		want float64 // mean time in the system, in seconds
	}{
		{"M/M/1 at 50%", queueingWorld(1, 0.5, exp, "fifo", length), 0.01 / (1 - 0.5)},
		{"M/M/1 at 75%", queueingWorld(1, 0.75, exp, "fifo", length), 0.01 / (1 - 0.75)},
		{"M/M/4 at 75%", queueingWorld(4, 0.75, exp, "fifo", length/4), 0.01 + erlangC(4, 0.75)*0.01/(4*(1-0.75))},
		{"M/M/1-PS at 60%", queueingWorld(1, 0.6, exp, "none", length), 0.01 / (1 - 0.6)},
		{"M/G/1-PS at 60%", queueingWorld(1, 0.6, highVariance, "none", length), 0.01 / (1 - 0.6)},
		{"M/G/1 at 50% (Pollaczek-Khinchine)", queueingWorld(1, 0.5, highVariance, "fifo", length), 0.01 + 0.5*0.01*(1+highVariance.squaredCV())/(2*(1-0.5))},
		{"M/D/1 at 60% (Pollaczek-Khinchine)", queueingWorld(1, 0.6, Distribution{Mean: 0.01}, "fifo", length), 0.01 + 0.6*0.01/(2*(1-0.6))},
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
				if math.Abs(r.Utilization/c.w.Load-1) > tolerance {
					t.Errorf("utilization %.3f at a load of %.2f", r.Utilization, c.w.Load)
				}
				if math.Abs(r.MeanInSystem/r.MeanByLittlesLaw-1) > 1e-6 {
					t.Errorf("mean number of requests in the system: %.6f integrated over time, %.6f by Little's law", r.MeanInSystem, r.MeanByLittlesLaw)
				}
			}
			deviation := got/c.want - 1
			t.Logf("mean time in the system %.3f ms, in theory %.3f (%+.1f%%)", got*1e3, c.want*1e3, 100*deviation)
			if math.Abs(deviation) > tolerance {
				t.Errorf("mean time in the system %.3f ms, want %.3f (%+.1f%%)", got*1e3, c.want*1e3, 100*deviation)
			}
		})
	}
}

// squaredCV returns the variance over the square of the mean.
func (d Distribution) squaredCV() float64 {
	switch d.Kind {
	case Exponential:
		return 1
	case Lognormal:
		return d.CV * d.CV
	}
	return 0
}
