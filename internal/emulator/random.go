package emulator

import (
	"hash/fnv"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Streams derives independent random streams from one seed, one for each purpose. A further draw from one does not shift
// the others, so that policies are compared under the same arrivals, sizes and faults.
type Streams struct{ Seed uint64 }

// Stream returns the stream of a purpose, from its start.
func (s Streams) Stream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(s.Seed, h.Sum64()))
}

// Distribution is a distribution of amounts, such as work or service times.
type Distribution struct {
	Mean float64
	CV   float64 // coefficient of variation, of a lognormal distribution
	Kind string  // "exponential" (its CV is 1), "lognormal" or "fixed"
}

// Sample draws one amount.
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

// squaredCV is the variance over the square of the mean.
func (s Distribution) squaredCV() float64 {
	switch s.Kind {
	case "exponential":
		return 1
	case "lognormal":
		return s.CV * s.CV
	}
	return 0
}
