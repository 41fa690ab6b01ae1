package canary

import (
	"fmt"
	"math"
)

// When a metric of the updated nodes is worse, and when a verdict is conclusive.
//
// Inputs, for one metric: the paired differences (differences.go) of each updated node, before and after its
// update. Each node's mean from before the update is subtracted from its differences. With the mean m of all
// differences after the update, the residual standard deviation s and the variance factor v,
//
//	margin = t(z, degrees of freedom) * s * sqrt(v * overlap)
//	worse      if m > minEffect and m > margin
//	conclusive if margin <= detectableEffect, for every metric with overlap = 1
//
// z is the one-sided normal quantile of the false alarm probability divided by the number of tests
// (Bonferroni). t is Student's quantile, because there are few intervals. A value that is computed over several
// intervals shares requests with its neighbours, so "overlap" intervals count as one.
//
// Why: the differences of a node are assumed to be independent between intervals, and the mean of many to be
// normally distributed. A version counts as sound only once a difference that matters would have been detected.
// A smoothed metric takes too long to become conclusive for a wave to wait for it.

// Options configure how certain a verdict must be.
type Options struct {
	// FalseAlarmProbability is the probability, 0 to 1, that a sound version is found worse in any of the
	// analyses of its release.
	FalseAlarmProbability float64
	// MaxAnalyses is the maximum number of analyses of a release.
	MaxAnalyses int
	// MinIntervals is how many intervals of a node are needed on either side of its update.
	MinIntervals int
	// SmoothingIntervals is how many intervals a reported percentile is computed over. With 0 or 1 it is computed
	// over its own interval only.
	SmoothingIntervals int
}

// significance returns the false alarm probability of one test: of one metric, or of the restarts, in one analysis.
func (o Options) significance() float64 {
	const restartTests = 1
	return o.FalseAlarmProbability / float64(max(1, o.MaxAnalyses)*(len(metrics)+restartTests))
}

// Verdict is the result of an analysis.
type Verdict struct {
	// Worse is set if the new version is worse, with the false alarm probability of the Options.
	Worse bool
	// Reason is why the version is worse, or why the verdict is not conclusive yet.
	Reason string
	// Conclusive is set if there was enough data: if the version is not worse, a difference that matters would
	// have been detected.
	Conclusive bool
}

// Analyze compares the updated nodes with the others. It may be called concurrently and does not modify nodes.
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
		s, tooFew := sampleOf(m, updated, nodes, o.MinIntervals)
		if tooFew > 0 && i == 0 { // checked for the first metric only: every interval with requests has it
			verdict.Conclusive = false
			verdict.Reason = fmt.Sprintf("%d of %d changed nodes have too few spans, or nobody of their zone to compare with", tooFew, len(updated))
		}
		if len(s.nodes) == 0 {
			continue
		}
		overlap := o.overlap(m)
		difference, margin := s.test(o, overlap)
		switch {
		case difference > m.minEffect && difference > margin:
			return Verdict{Worse: true, Conclusive: true, Reason: fmt.Sprintf(
				"%s of the changed nodes is %.3f%s above the others' of their zones, where %.3f would be chance",
				m.name, difference, m.unit, max(m.minEffect, margin))}
		case overlap == 1 && margin > m.detectableEffect && verdict.Conclusive:
			verdict.Conclusive = false
			verdict.Reason = fmt.Sprintf("a difference in the %s below %.3f%s could not be told from chance yet", m.name, margin, m.unit)
		}
	}
	return verdict
}

// updatedNodes returns the nodes that have been updated and are back in service.
func updatedNodes(nodes []NodeSeries) (updated []NodeSeries) {
	for _, n := range nodes {
		if n.UpdatedFrom > 0 && n.InService {
			updated = append(updated, n)
		}
	}
	return updated
}

// overlap returns how many successive intervals of a metric count as one, because its values overlap.
func (o Options) overlap(m metric) int {
	if m.smoothed {
		return max(1, o.SmoothingIntervals)
	}
	return 1
}

// sample holds the differences of all updated nodes for one metric, minus each node's mean from before the update.
type sample struct {
	after []float64
	// residuals are the differences from before the update.
	residuals []float64
	nodes     []nodeSample
}

// nodeSample is how many differences one node has before and after its update.
type nodeSample struct{ before, after int }

// sampleOf collects the differences of the updated nodes. It omits the nodes that have fewer than minIntervals
// on either side of the update, and returns their number in tooFew.
func sampleOf(m metric, updated, nodes []NodeSeries, minIntervals int) (s sample, tooFew int) {
	for _, n := range updated {
		before, after := pairedDifferences(m, n, nodes)
		if len(after) < minIntervals || len(before) < minIntervals {
			tooFew++
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
	return s, tooFew
}

// test returns the mean difference after the update, and the margin of error of that mean at the significance of
// the options.
func (s sample) test(o Options, overlap int) (difference, margin float64) {
	difference = mean(s.after)
	residuals := s.residuals
	for _, d := range s.after {
		residuals = append(residuals, d-difference)
	}
	means := len(s.nodes) + 1 // one from before the update for each node, and the common one from after
	z := math.Sqrt2 * math.Erfinv(1-2*o.significance())
	quantile := studentQuantile(z, (len(residuals)-means)/overlap)
	return difference, quantile * residualDeviation(residuals, means) * math.Sqrt(s.varianceFactor()*float64(overlap))
}

// varianceFactor returns the variance of the mean difference divided by that of a single difference. The mean
// after the update has an error, and so has each node's mean from before the update.
func (s sample) varianceFactor() float64 {
	factor := 1 / float64(len(s.after))
	for _, n := range s.nodes {
		weight := float64(n.after) / float64(len(s.after))
		factor += weight * weight / float64(n.before)
	}
	return factor
}
