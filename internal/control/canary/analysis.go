package canary

import (
	"fmt"
	"math"
)

// When a metric of the updated nodes is worse, and when a verdict is conclusive.
//
// Inputs, for one metric: the paired differences (differences.go) of each updated node, before and after its
// update. Each node's mean from before is taken off its differences. With the mean m of all differences after
// the update, the residual standard deviation s and the variance factor v,
//
//	chance = t(z, degrees of freedom) * s * sqrt(v * alike)
//	worse      if m > minEffect and m > chance
//	conclusive if chance <= detectableEffect, for every metric with alike = 1
//
// z is the one-sided normal quantile of the false alarm probability divided by the number of tests
// (Bonferroni), t is Student's quantile, because there are few intervals. A value that is computed over
// several intervals has requests in common with its neighbours, so "alike" intervals count as one.
//
// Why: differences of a node are taken as independent from interval to interval, and a mean of many as
// normal. A version is sound only once a difference that matters would have been seen. A smoothed metric
// takes too long for a wave to wait for it.

// Options say how certain a verdict must be.
type Options struct {
	// FalseAlarmProbability is the probability, 0 to 1, that the release of a sound version is found worse,
	// over all its analyses.
	FalseAlarmProbability float64
	// MaxAnalyses is how many analyses a release has at most.
	MaxAnalyses int
	// MinIntervals is how many intervals of a node are needed on either side of its update.
	MinIntervals int
	// SmoothingIntervals is how many intervals a reported percentile is computed over. 0 and 1: its own only.
	SmoothingIntervals int
}

// significance returns the false alarm probability of one test: of one metric, or of the restarts, in one analysis.
func (o Options) significance() float64 {
	const restartTests = 1
	return o.FalseAlarmProbability / float64(max(1, o.MaxAnalyses)*(len(metrics)+restartTests))
}

// Verdict is the result of an analysis.
type Verdict struct {
	// Worse says that the new version is worse, with the false alarm probability of the Options.
	Worse bool
	// Reason says why it is worse, or why the verdict is not conclusive yet.
	Reason string
	// Conclusive says that there was enough to compare: if the version is not worse, a difference that matters
	// would have been seen.
	Conclusive bool
}

// Analyze compares the updated nodes with the others. It may be called concurrently; it does not change nodes.
func Analyze(o Options, nodes []NodeSeries) Verdict {
	updated := updatedNodes(nodes)
	if len(updated) == 0 {
		return Verdict{Reason: "nothing is changed yet"}
	}
	if reason := excessRestarts(o, nodes); reason != "" {
		return Verdict{Worse: true, Conclusive: true, Reason: reason}
	}
	verdict := Verdict{Conclusive: true}
	for i, m := range metrics {
		s, short := sampleOf(m, updated, nodes, o.MinIntervals)
		if short > 0 && i == 0 { // the first metric stands for all: each interval with requests has it
			verdict.Conclusive = false
			verdict.Reason = fmt.Sprintf("%d of %d changed nodes have too few spans, or nobody of their zone to compare with", short, len(updated))
		}
		if len(s.nodes) == 0 {
			continue
		}
		alike := o.alike(m)
		difference, chance := s.test(o, alike)
		switch {
		case difference > m.minEffect && difference > chance:
			return Verdict{Worse: true, Conclusive: true, Reason: fmt.Sprintf(
				"%s of the changed nodes is %.3f%s above the others' of their zones, where %.3f would be chance",
				m.name, difference, m.unit, max(m.minEffect, chance))}
		case alike == 1 && chance > m.detectableEffect && verdict.Conclusive:
			verdict.Conclusive = false
			verdict.Reason = fmt.Sprintf("a difference in the %s below %.3f%s could not be told from chance yet", m.name, chance, m.unit)
		}
	}
	return verdict
}

// updatedNodes returns the nodes that are updated and back in service.
func updatedNodes(nodes []NodeSeries) (updated []NodeSeries) {
	for _, n := range nodes {
		if n.UpdatedFrom > 0 && n.InService {
			updated = append(updated, n)
		}
	}
	return updated
}

// alike returns how many intervals of a metric count as one.
func (o Options) alike(m metric) int {
	if m.smoothed {
		return max(1, o.SmoothingIntervals)
	}
	return 1
}

// sample is the differences of all updated nodes for one metric, each less its node's mean from before the update.
type sample struct {
	after []float64
	// residuals of the differences from before.
	residuals []float64
	nodes     []nodeSample
}

// nodeSample is how many differences one node has before and after its update.
type nodeSample struct{ before, after int }

// sampleOf collects the differences of the updated nodes. short counts the nodes that have fewer than
// minIntervals on a side; they are left out.
func sampleOf(m metric, updated, nodes []NodeSeries, minIntervals int) (s sample, short int) {
	for _, n := range updated {
		before, after := pairedDifferences(m, n, nodes)
		if len(after) < minIntervals || len(before) < minIntervals {
			short++
			continue
		}
		baseline := mean(before)
		for _, d := range before {
			s.residuals = append(s.residuals, d-baseline)
		}
		for _, d := range after {
			s.after = append(s.after, d-baseline)
		}
		s.nodes = append(s.nodes, nodeSample{len(before), len(after)})
	}
	return s, short
}

// test returns the mean difference after the update, and the difference that chance explains at the
// significance of the options.
func (s sample) test(o Options, alike int) (difference, chance float64) {
	difference = mean(s.after)
	residuals := s.residuals
	for _, d := range s.after {
		residuals = append(residuals, d-difference)
	}
	means := len(s.nodes) + 1 // one from before for each node, and the one after
	z := math.Sqrt2 * math.Erfinv(1-2*o.significance())
	quantile := studentQuantile(z, (len(residuals)-means)/alike)
	return difference, quantile * residualDeviation(residuals, means) * math.Sqrt(s.varianceFactor()*float64(alike))
}

// varianceFactor is the variance of the mean difference by that of one difference: the mean after the update
// has an error of its own, and so has each node's mean from before.
func (s sample) varianceFactor() float64 {
	factor := 1 / float64(len(s.after))
	for _, n := range s.nodes {
		weight := float64(n.after) / float64(len(s.after))
		factor += weight * weight / float64(n.before)
	}
	return factor
}
