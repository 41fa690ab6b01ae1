package canary

import (
	"fmt"
	"math"
)

// When the updated nodes restart too often.
//
// Inputs: the number of restarts and the observed time in intervals, of nodes before and after their update. With
// n restarts in total, k of them on updated nodes, and the updated nodes' fraction p of the observed time,
//
//	worse if P(Binomial(n, p) >= k) < significance
//
// Source: Przyborowski and Wilenski, "Homogeneity of results in testing samples from Poisson series", 1940.
// Why: a single restart, for whatever reason, is no evidence against a version.

// restartCounts are the counts of one side of the comparison.
type restartCounts struct{ restarts, intervals int }

// excessRestarts describes the restarts of updated nodes if they are significantly more frequent than those of
// the others. Otherwise it returns "".
func excessRestarts(o Options, nodes []NodeSeries) string {
	unchanged, updated := countRestarts(nodes)
	if unchanged.intervals == 0 || updated.intervals == 0 || updated.restarts == 0 {
		return ""
	}
	total := unchanged.restarts + updated.restarts
	p := float64(updated.intervals) / float64(unchanged.intervals+updated.intervals)
	if binomialTail(total, updated.restarts, p) >= o.significance() {
		return ""
	}
	return fmt.Sprintf("changed nodes were started anew %d times in %d spans, the others %d times in %d",
		updated.restarts, updated.intervals, unchanged.restarts, unchanged.intervals)
}

// countRestarts counts the restarts and known intervals before and after the nodes' updates.
func countRestarts(nodes []NodeSeries) (unchanged, updated restartCounts) {
	for _, n := range nodes {
		for i, known := range n.Known {
			side := &unchanged
			if n.updatedIn(i) {
				side = &updated
			}
			if known {
				side.intervals++
			}
			if i < len(n.Restarted) && n.Restarted[i] {
				side.restarts++
			}
		}
	}
	return unchanged, updated
}

// binomialTail returns the probability of k or more successes in n trials with success probability p.
func binomialTail(n, k int, p float64) float64 {
	tail := 0.0
	for i := k; i <= n; i++ {
		tail += math.Exp(logBinomial(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log(1-p))
	}
	return tail
}
