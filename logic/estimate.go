package logic

// Expected run time T_m of a request, in microseconds (FEFM, section II.C, equation 1): a moving average of
// its class's run times T_e, or with a work hint h the regression line through observed hints and run times,
// since waits for disks and calls don't grow with the work and hints may be inaccurate:
//
//	T_m = α·T_e + (1-α)·T_m
//	T_m(h) = mean run time + max(0, cov(h, T_e))/var(h)·(h - mean hint)
//
// Runs that failed, skipped a call or started before the end of a stall (section II.E) are not sampled.
const (
	runTimeSampleWeight = 0.1 // α: small, as run times vary from run to run
	probeSampleWeight   = 0.5 // α of a probe: large, as probes are few and each shows a change
	maxRunTimePerHint   = 2   // maximum run time per unit of hint that is inferred from the first sample
)

// classState is the description and the learned estimate of one class.
type classState struct {
	Class
	Estimate
}

// add adds a sample to the average with the given weight, or with more while there are few samples.
func (a *Average) add(sample, weight float64) {
	a.Samples++
	a.Mean += max(weight, 1/float64(a.Samples)) * (sample - a.Mean)
}

// recordRunTime adds a run time, in microseconds, to the estimate of the request's class.
func (s *Server) recordRunTime(r *request, elapsed float64) {
	c := s.classes[r.Class]
	if r.startedAt < s.stallEndedAt {
		return
	}
	if expected := s.expectedRunTime(r); expected > 0 {
		s.runSlowdown.add(elapsed/expected, probeSampleWeight/2)
	}
	c.RunTime.add(elapsed, r.sampleWeight)
	if r.WorkHint <= 0 {
		return
	}
	hint := float64(r.WorkHint)
	if c.HintedRunTime.Samples == 0 {
		// One sample has no variance. Assume a deviation of half the hint and a run time proportional to the
		// hint, up to maxRunTimePerHint; the rest of the run time is taken to be waits.
		c.Covariance = min(hint*elapsed, maxRunTimePerHint*hint*hint) / 4
		c.HintVariance = hint * hint / 4
		c.Hint.Mean, c.HintedRunTime.Mean = hint, elapsed
	}
	deviation := hint - c.Hint.Mean
	c.Covariance += r.sampleWeight * (deviation*(elapsed-c.HintedRunTime.Mean) - c.Covariance)
	c.HintVariance += r.sampleWeight * (deviation*deviation - c.HintVariance)
	c.Hint.add(hint, r.sampleWeight)
	c.HintedRunTime.add(elapsed, r.sampleWeight)
}

// expectedRunTime returns T_m of a request, in microseconds, or 0 before the first sample of its class.
func (s *Server) expectedRunTime(r *request) float64 {
	c := s.classes[r.Class]
	if r.WorkHint > 0 && c.HintedRunTime.Samples > 0 {
		slope := max(0, c.Covariance) / max(1, c.HintVariance)
		expected := c.HintedRunTime.Mean + slope*(float64(r.WorkHint)-c.Hint.Mean)
		return max(runTimeSampleWeight*c.HintedRunTime.Mean, expected)
	}
	return c.RunTime.Mean
}
