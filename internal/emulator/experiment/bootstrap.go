package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Interval is a mean over seeds with its 95% confidence interval.
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// bootstrapResamples is large enough that an interval's ends vary by only about a hundredth of its width.
const bootstrapResamples = 2000

// Bootstrap returns the mean of values with its percentile bootstrap interval (Efron and Tibshirani, An Introduction to
// the Bootstrap, section 13.3). The same values always give the same interval; without values it is zero.
func Bootstrap(values []float64) Interval {
	if len(values) == 0 {
		return Interval{}
	}
	r := rand.New(rand.NewPCG(1, 2))
	means := make([]float64, bootstrapResamples)
	for i := range means {
		sum := 0.0
		for range values {
			sum += values[r.IntN(len(values))]
		}
		means[i] = sum / float64(len(values))
	}
	slices.Sort(means)
	return Interval{stat.Mean(values, nil), stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)}
}

func (i Interval) text() string {
	return fmt.Sprintf("%.3f [%.3f, %.3f]", i.Mean, i.Low, i.High)
}

// excludesZero reports whether an interval of differences is significant.
func (i Interval) excludesZero() bool { return i.Low > 0 || i.High < 0 }
