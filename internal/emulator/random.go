// Package emulator plays a fleet in virtual time: callers with habits, machines that share their cores, and on each
// machine the daemon's real core and decisions, or a small policy to hold them against. One seed gives one course of
// events, the same on every machine; nothing in it reads a clock or sleeps (docs/design/emulator.md).
package emulator

import (
	"hash/fnv"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Streams are the random numbers of one seed, a stream for each concern: a draw more in one does not shift the others,
// so that arms that differ in policy meet the same arrivals, sizes and faults.
type Streams struct{ Seed uint64 }

// Stream is the numbers of one concern, from their beginning.
func (s Streams) Stream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(s.Seed, h.Sum64()))
}

// Distribution draws amounts of work.
type Distribution struct {
	Mean float64
	CV   float64 // standard deviation over the mean; 0: all alike
	Kind string  // "exponential" (its CV is 1), "lognormal" or "fixed"
}

// Sample is one amount.
func (s Distribution) Sample(r *rand.Rand) float64 {
	switch s.Kind {
	case "exponential":
		return distuv.Exponential{Rate: 1 / s.Mean, Src: r}.Rand()
	case "lognormal":
		variance := math.Log(1 + s.CV*s.CV)
		return distuv.LogNormal{Mu: math.Log(s.Mean) - variance/2, Sigma: math.Sqrt(variance), Src: r}.Rand()
	default:
		return s.Mean
	}
}

// squaredCV is the variance over the squared mean.
func (s Distribution) squaredCV() float64 {
	switch s.Kind {
	case "exponential":
		return 1
	case "lognormal":
		return s.CV * s.CV
	}
	return 0
}
