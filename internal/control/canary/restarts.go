package canary

import (
	"fmt"
	"math"
)

// When the updated nodes restart too often.
//
// Inputs: restarts (processes) and watched time (intervals) of nodes before and after their update. With n
// restarts in all, k of them of updated nodes, and the fraction p of the watched time that is theirs,
//
//	worse if P(Binomial(n, p) >= k) < significance
//
// Source: Przyborowski and Wilenski, "Homogeneity of results in testing samples from Poisson series", 1940.
// Why: a process that ends once, for whatever reason, says nothing about its version.

// restartCounts are what is counted on one side of the comparison.
type restartCounts struct{ restarts, intervals int }

// excessRestarts describes the restarts of updated nodes if they are significantly more frequent than the
// others', and returns "" if they are not.
func excessRestarts(o Options, nodes []NodeSeries) string {
	unchanged, updated := countRestarts(nodes)
	if unchanged.intervals == 0 || updated.intervals == 0 || updated.restarts == 0 {
		return ""
	}
	all := unchanged.restarts + updated.restarts
	p := float64(updated.intervals) / float64(unchanged.intervals+updated.intervals)
	if binomialTail(all, updated.restarts, p) >= o.significance() {
		return ""
	}
	return fmt.Sprintf("changed nodes were started anew %d times in %d spans, the others %d times in %d",
		updated.restarts, updated.intervals, unchanged.restarts, unchanged.intervals)
}

// countRestarts counts restarts and known intervals, before and after the nodes' updates.
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

// binomialTail is the probability of k or more successes in n trials of probability p.
func binomialTail(n, k int, p float64) float64 {
	tail := 0.0
	for i := k; i <= n; i++ {
		tail += math.Exp(logBinomial(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log(1-p))
	}
	return tail
}
