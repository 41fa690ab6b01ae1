package canary

import "math"

// metric is a measure by which nodes are compared. Higher is worse.
type metric struct {
	name string
	unit string // for display
	// value returns the metric of one interval, and whether the interval has it.
	value func(Interval) (value float64, known bool)
	// minEffect is the smallest difference that matters. A smaller one is ignored, however certain it is.
	minEffect float64
	// detectableEffect is the difference that must be distinguishable from chance before a verdict is conclusive.
	detectableEffect float64
	// smoothed is set if a value is computed over Options.SmoothingIntervals intervals.
	smoothed bool
}

// minRequests is the minimum number of requests in an interval for which a fraction is computed.
const minRequests = 5

// minP99MS, in milliseconds, is the lower bound of the latency, so that its logarithm is finite.
const minP99MS = 0.01

// metrics are all metrics. The latency is compared by its logarithm, because the ratio between two versions does
// not depend on the load.
var metrics = []metric{
	{
		name: "failed share", value: fraction(func(s Interval) float64 { return s.Failed }),
		minEffect: 0.01, detectableEffect: 0.05,
	},
	{
		name: "refused share", value: fraction(func(s Interval) float64 { return s.Rejected }),
		minEffect: 0.03, detectableEffect: 0.15,
	},
	{
		name: "99th percentile of latency", unit: " (log)", value: logP99,
		minEffect: math.Log(1.3), detectableEffect: math.Log(2.5), smoothed: true,
	},
}

// fraction returns a value function for a part of all requests.
func fraction(part func(Interval) float64) func(Interval) (float64, bool) {
	return func(s Interval) (float64, bool) {
		total := s.Served + s.Rejected + s.Failed
		return part(s) / max(total, 1), total >= minRequests
	}
}

// logP99 returns the natural logarithm of the 99th percentile of latency in milliseconds.
func logP99(s Interval) (float64, bool) { return math.Log(max(s.P99MS, minP99MS)), s.P99MS > 0 }
