package canary

import "math"

// mean returns the arithmetic mean of x, which must not be empty.
func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

// residualDeviation returns the standard deviation of residuals from which the given number of means was subtracted.
func residualDeviation(residuals []float64, means int) float64 {
	sum := 0.0
	for _, v := range residuals {
		sum += v * v
	}
	return math.Sqrt(sum / float64(max(1, len(residuals)-means)))
}

// studentQuantile returns the quantile of Student's distribution with the given degrees of freedom for the
// probability at which the normal distribution has the quantile z (Abramowitz and Stegun, 26.7.5). With seven or
// more degrees its error is a few hundredths.
func studentQuantile(z float64, degrees int) float64 {
	n := float64(max(1, degrees))
	z3, z5 := z*z*z, z*z*z*z*z
	return z + (z3+z)/(4*n) + (5*z5+16*z3+3*z)/(96*n*n) + (3*z5*z*z+19*z5+17*z3-15*z)/(384*n*n*n)
}

// logBinomial returns the natural logarithm of the binomial coefficient n over k.
func logBinomial(n, k int) float64 { return logFactorial(n) - logFactorial(k) - logFactorial(n-k) }

// logFactorial returns the natural logarithm of n!.
func logFactorial(n int) float64 {
	v, _ := math.Lgamma(float64(n + 1))
	return v
}
