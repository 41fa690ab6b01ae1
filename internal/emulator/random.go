package emulator

import (
	"hash/fnv"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

// Streams derives independent random streams from one seed, one for each purpose. Draws from one stream don't affect the
// others, so that all policies are compared under the same arrivals, sizes and faults.
type Streams struct{ Seed uint64 }

// Stream returns the stream of the given name, at its first value.
func (s Streams) Stream(name string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name))
	return rand.New(rand.NewPCG(s.Seed, h.Sum64()))
}

// Distribution is a distribution of amounts, such as work or service times.
type Distribution struct {
	Mean float64
	CV   float64 // coefficient of variation, of a lognormal distribution
	Kind DistributionKind
}

// DistributionKind is the family of a distribution. Its values are those of experiment files.
type DistributionKind string

// The kinds of distributions.
const (
	Exponential DistributionKind = "exponential" // its CV is 1
	Lognormal   DistributionKind = "lognormal"
	Fixed       DistributionKind = "fixed" // always the mean; unknown kinds are treated as Fixed
)

// Sample draws one value.
func (d Distribution) Sample(r *rand.Rand) float64 {
	switch d.Kind {
	case Exponential:
		return distuv.Exponential{Rate: 1 / d.Mean, Src: r}.Rand()
	case Lognormal:
		variance := math.Log(1 + d.CV*d.CV)
		return distuv.LogNormal{Mu: math.Log(d.Mean) - variance/2, Sigma: math.Sqrt(variance), Src: r}.Rand()
	default:
		return d.Mean
	}
}
