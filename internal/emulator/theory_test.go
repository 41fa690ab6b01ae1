package emulator

import (
	"flag"
	"math"
	"testing"
	"time"
)

// queueingWorld is one node whose callers never give up: a model of queueing theory.
func queueingWorld(cores int, load float64, sizes Distribution, policy string, length time.Duration) World {
	newServer, err := NewPolicy(policy, 0)
	if err != nil {
		panic(err)
	}
	return World{Seed: 1, Duration: length, WarmUp: length / 100, Nodes: 1, Cores: cores, Speed: 1, Load: load, Balancers: 1, Balancing: RoundRobin,
		MemoryKB: 1e9, MaxConcurrencyPerCore: 1e6, NewServer: newServer, Classes: []Class{{Name: "x", Share: 1, Work: sizes, LatencyObjective: length, ClientTimeout: length, PriorityWeight: 1}}}
}

// erlangC is the probability that an arrival has to wait (M/M/c).
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
		{"M/M/1 at 50%", queueingWorld(1, 0.5, exp, "fifo", length), 0.01 / (1 - 0.5)},
		{"M/M/1 at 75%", queueingWorld(1, 0.75, exp, "fifo", length), 0.01 / (1 - 0.75)},
		{"M/M/4 at 75%", queueingWorld(4, 0.75, exp, "fifo", length/4), 0.01 + erlangC(4, 0.75)*0.01/(4*(1-0.75))},
		{"M/M/1 shared at 60%", queueingWorld(1, 0.6, exp, "none", length), 0.01 / (1 - 0.6)},
		{"M/G/1 shared at 60%", queueingWorld(1, 0.6, wide, "none", length), 0.01 / (1 - 0.6)},
		{"M/G/1 at 50% (Pollaczek-Khinchine)", queueingWorld(1, 0.5, wide, "fifo", length), 0.01 + 0.5*0.01*(1+wide.squaredCV())/(2*(1-0.5))},
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

// squaredCV is the variance over the square of the mean.
func (d Distribution) squaredCV() float64 {
	switch d.Kind {
	case Exponential:
		return 1
	case Lognormal:
		return d.CV * d.CV
	}
	return 0
}
