// Package canary judges whether nodes that run another version are worse than those that do not yet, at the same time. It has no I/O and no
// clock; counts of spans of time go in.
//
// Each changed node is compared, span by span, with the unchanged nodes of its zone, and its difference to them with what that was before
// it was changed: a rise of load and a sick service below are the same on both sides, and a machine that was slow all along was so
// before. Nodes of one zone that are not changed must be left to compare with; without any there is no verdict, and that is said.
//
// The differences of a node are taken for independent from span to span, and a mean of many of them for normal (a one-sided test on
// paired differences; Bonferroni over all looks and figures of a release; Student's distribution, for few spans). A difference below a
// figure's least is no matter, however certain; and where one of its most could not have been seen yet, a version is not called sound.
package canary

import (
	"fmt"
	"math"
	"slices"
)

// Interval is what a node counted in one stretch of time.
type Interval struct {
	Served, Rejected, Failed float64
	P99MS                    float64 // 0: not known
}

// metric is one that is compared.
type metric struct {
	name             string
	value            func(Interval) (value float64, known bool)
	minEffect        float64 // a difference below this is no matter
	detectableEffect float64 // one of this much is to be seen, before a version is called no worse
	unit             string

	smoothed bool // over Terms.Smooth spans
}

func fraction(part func(Interval) float64) func(Interval) (float64, bool) {
	return func(s Interval) (float64, bool) {
		all := s.Served + s.Rejected + s.Failed
		return part(s) / max(all, 1), all >= 5
	}
}

var metrics = []metric{
	{"failed share", fraction(func(s Interval) float64 { return s.Failed }), 0.01, 0.05, "", false},
	{"refused share", fraction(func(s Interval) float64 { return s.Rejected }), 0.03, 0.15, "", false},
	{"99th percentile of latency", func(s Interval) (float64, bool) { return math.Log(max(s.P99MS, 0.01)), s.P99MS > 0 }, math.Log(1.3), math.Log(2.5), " (log)", true},
}

// Options are how certain a verdict is to be.
type Options struct {
	FalseAlarmProbability float64 // chance that a release of a good version is called worse, over all looks at it: 0.01
	MaxAnalyses           int     // at most, over the release
	MinIntervals          int     // spans of a node on either side of its change that are wanted
	// SmoothingIntervals is over how many spans a reported percentile is taken: values closer to one another than that are not independent, and count
	// for one. 0 and 1: each is of its own span.
	SmoothingIntervals int
}

// NodeSeries is one node's spans, oldest first, of the same stretches for all nodes: Spans[i] is of the same time in each. Known says which of them
// are; a node that was out or silent has none then.
type NodeSeries struct {
	Name, Zone  string
	Intervals   []Interval
	Known       []bool
	Restarted   []bool // its process was started anew in that span, but for its change
	UpdatedFrom int    // the first span that counts as after its change; 0: not changed
	InService   bool   // it is to be judged: it has come back
}

// Verdict is what came of a look.
type Verdict struct {
	Worse      bool
	Reason     string // of a worse one, or why nothing can be said yet
	Conclusive bool   // there was enough to call it no worse
}

// significance is the chance of a false alarm of one figure, restarts among them, at one look.
func (t Options) significance() float64 {
	return t.FalseAlarmProbability / float64(max(1, t.MaxAnalyses)*(len(metrics)+1))
}

// excessRestarts says whether processes of changed nodes are started anew more often than those of unchanged ones, for the time that each was
// watched; empty: not for certain. Given how many there were in all, those of the changed nodes are binomial by their part of that time
// (Przyborowski and Wilenski 1940): a process that ends once, for whatever reason, is no verdict on its version.
func excessRestarts(t Options, nodes []NodeSeries) string {
	var began, watched [2]int // of unchanged nodes, of changed ones
	for _, n := range nodes {
		for i, known := range n.Known {
			side := 0
			if n.UpdatedFrom > 0 && i >= n.UpdatedFrom {
				side = 1
			}
			if known {
				watched[side]++
			}
			if i < len(n.Restarted) && n.Restarted[i] {
				began[side]++
			}
		}
	}
	if watched[0] == 0 || watched[1] == 0 || began[1] == 0 {
		return ""
	}
	all := began[0] + began[1]
	part := float64(watched[1]) / float64(watched[0]+watched[1])
	chance := 0.0
	for k := began[1]; k <= all; k++ {
		chance += math.Exp(logBinomial(all, k) + float64(k)*math.Log(part) + float64(all-k)*math.Log(1-part))
	}
	if chance >= t.significance() {
		return ""
	}
	return fmt.Sprintf("changed nodes were started anew %d times in %d spans, the others %d times in %d", began[1], watched[1], began[0], watched[0])
}

// logBinomial is the logarithm of the number of ways to take k of n.
func logBinomial(n, k int) float64 {
	log := func(n int) float64 { v, _ := math.Lgamma(float64(n + 1)); return v }
	return log(n) - log(k) - log(n-k)
}

// Analyze looks at all nodes.
func Analyze(t Options, nodes []NodeSeries) Verdict {
	z := math.Sqrt2 * math.Erfinv(1-2*t.significance())
	var changed []NodeSeries
	for _, n := range nodes {
		if n.UpdatedFrom > 0 && n.InService {
			changed = append(changed, n)
		}
	}
	if len(changed) == 0 {
		return Verdict{Reason: "nothing is changed yet"}
	}
	if why := excessRestarts(t, nodes); why != "" {
		return Verdict{Worse: true, Conclusive: true, Reason: why}
	}
	j := Verdict{Conclusive: true}
	for _, f := range metrics {
		var all, rest []float64 // differences of all changed nodes, each less its own mean from before; what is left without the means
		mine := map[string][2]int{}
		short := 0
		for _, n := range changed {
			before, after := pairedDifferences(f, n, nodes)
			if len(after) < t.MinIntervals || len(before) < t.MinIntervals {
				short++
				continue
			}
			was := mean(before)
			for _, d := range before {
				rest = append(rest, d-was)
			}
			for _, d := range after {
				all = append(all, d-was)
			}
			mine[n.Name] = [2]int{len(before), len(after)}
		}
		if short > 0 && f.name == metrics[0].name {
			j.Conclusive, j.Reason = false, fmt.Sprintf("%d of %d changed nodes have too few spans, or nobody of their zone to compare with", short, len(changed))
		}
		if len(mine) == 0 {
			continue
		}
		m := mean(all)
		for _, d := range all {
			rest = append(rest, d-m)
		}
		// The mean of all has an error of its own, and so has each node's from before.
		share := 1 / float64(len(all))
		for _, n := range mine {
			part := float64(n[1]) / float64(len(all))
			share += part * part / float64(n[0])
		}
		alike := 1
		if f.smoothed {
			alike = max(1, t.SmoothingIntervals)
		}
		chance := studentQuantile(z, (len(rest)-len(mine)-1)/alike) * residualDeviation(rest, len(mine)+1) * math.Sqrt(share*float64(alike))
		switch {
		case m > f.minEffect && m > chance:
			return Verdict{Worse: true, Conclusive: true, Reason: fmt.Sprintf("%s of the changed nodes is %.3f%s above the others' of their zones, where %.3f would be chance", f.name, m, f.unit, max(f.minEffect, chance))}
		case alike == 1 && chance > f.detectableEffect && j.Conclusive: // what is smoothed takes too long to wait for
			j.Conclusive, j.Reason = false, fmt.Sprintf("a difference in the %s below %.3f%s could not be told from chance yet", f.name, chance, f.unit)
		}
	}
	return j
}

// studentQuantile is the quantile of Student's distribution that a normal one has at z, for so many degrees of freedom (Abramowitz and Stegun,
// 26.7.5; from seven on within some hundredths at the z that are used here).
func studentQuantile(z float64, free int) float64 {
	n := float64(max(1, free))
	z3, z5 := z*z*z, z*z*z*z*z
	return z + (z3+z)/(4*n) + (5*z5+16*z3+3*z)/(96*n*n) + (3*z5*z*z+19*z5+17*z3-15*z)/(384*n*n*n)
}

// pairedDifferences are the differences of a node to the unchanged ones of its zone, before and after its change. Spans in which it was not in, or nobody
// was there to compare with, are left out.
func pairedDifferences(f metric, n NodeSeries, nodes []NodeSeries) (before, after []float64) {
	for i, s := range n.Intervals {
		if !n.Known[i] {
			continue
		}
		own, known := f.value(s)
		if !known {
			continue
		}
		sum, count := 0.0, 0
		for _, o := range nodes {
			if o.Name == n.Name || o.Zone != n.Zone || i >= len(o.Intervals) || !o.Known[i] || o.UpdatedFrom > 0 && i >= o.UpdatedFrom-1 {
				continue
			}
			if v, known := f.value(o.Intervals[i]); known {
				sum, count = sum+v, count+1
			}
		}
		switch {
		case count == 0:
		case n.UpdatedFrom > 0 && i >= n.UpdatedFrom:
			after = append(after, own-sum/float64(count))
		case i < n.UpdatedFrom-1 || n.UpdatedFrom == 0:
			before = append(before, own-sum/float64(count))
		}
	}
	return before, after
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

// residualDeviation is that of what is left after so many means were taken off.
func residualDeviation(x []float64, means int) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v * v
	}
	return math.Sqrt(sum / float64(max(1, len(x)-means)))
}

// Recorder takes the nodes' counts as they report them, and makes spans of them. It is not safe for concurrent use.
type Recorder struct {
	capacity  int
	nodes     map[string]*nodeRecord
	intervals int
}

type nodeRecord struct {
	NodeSeries
	lastTotal      Interval
	processStartMS int64 // when its process began
	reported       bool
}

// NewRecorder returns one that keeps so many spans.
func NewRecorder(keep int) *Recorder {
	return &Recorder{capacity: keep, nodes: map[string]*nodeRecord{}}
}

// NodeReport is what a node's counts are now.
type NodeReport struct {
	Name, Zone     string
	Total          Interval // since its process began
	ProcessStartMS int64    // when that was
	InService      bool     // it is in service, and has been for long enough
	Updated        bool     // it runs what it is to be changed to
}

// Record ends a span with the reports as they are.
func (r *Recorder) Record(reports []NodeReport) {
	r.intervals++
	here := map[string]bool{}
	for _, x := range reports {
		here[x.Name] = true
		n := r.nodes[x.Name]
		if n == nil {
			n = &nodeRecord{NodeSeries: NodeSeries{Name: x.Name, Zone: x.Zone, Intervals: make([]Interval, r.intervals-1), Known: make([]bool, r.intervals-1), Restarted: make([]bool, r.intervals-1)}}
			r.nodes[x.Name] = n
		}
		known := x.InService && n.reported && x.ProcessStartMS == n.processStartMS
		began := n.processStartMS != 0 && x.ProcessStartMS != n.processStartMS
		if x.Updated && n.UpdatedFrom == 0 && n.reported { // what it did while it was out and came back counts as neither
			n.UpdatedFrom, began = r.intervals+1, false
		}
		d := Interval{Served: x.Total.Served - n.lastTotal.Served, Rejected: x.Total.Rejected - n.lastTotal.Rejected, Failed: x.Total.Failed - n.lastTotal.Failed, P99MS: x.Total.P99MS}
		n.Intervals, n.Known, n.Restarted = append(n.Intervals, d), append(n.Known, known), append(n.Restarted, began)
		n.lastTotal, n.processStartMS, n.reported, n.InService, n.Zone = x.Total, x.ProcessStartMS, true, x.InService, x.Zone
	}
	for name, n := range r.nodes {
		if !here[name] {
			n.Intervals, n.Known, n.Restarted, n.reported, n.InService = append(n.Intervals, Interval{}), append(n.Known, false), append(n.Restarted, false), false, false
		}
	}
	if over := r.intervals - r.capacity; over > 0 {
		r.intervals -= over
		for _, n := range r.nodes {
			n.Intervals, n.Known, n.Restarted = slices.Delete(n.Intervals, 0, over), slices.Delete(n.Known, 0, over), slices.Delete(n.Restarted, 0, over)
			if n.UpdatedFrom > 0 {
				n.UpdatedFrom = max(1, n.UpdatedFrom-over)
			}
		}
	}
}

// Nodes are what was recorded, by name.
func (r *Recorder) Nodes() (list []NodeSeries) {
	for _, n := range r.nodes {
		list = append(list, n.NodeSeries)
	}
	slices.SortFunc(list, func(a, b NodeSeries) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}
