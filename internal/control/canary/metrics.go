package canary

import "math"

// metric is a figure of a node that is compared. Higher is worse.
type metric struct {
	name string
	unit string // as it is shown
	// value returns the figure of one interval, and whether the interval has it.
	value func(Interval) (value float64, known bool)
	// minEffect is the least difference that matters, however certain a smaller one is.
	minEffect float64
	// detectableEffect is the difference that must be distinguishable from chance before a verdict is conclusive.
	detectableEffect float64
	// smoothed says that a value is computed over Options.SmoothingIntervals intervals.
	smoothed bool
}

// minRequests is the fewest requests (in one interval) of which a fraction is computed.
const minRequests = 5

// minP99MS (milliseconds) is what a shorter latency counts as, so that its logarithm is finite.
const minP99MS = 0.01

// The latency is compared by its logarithm: a factor between two versions is the same at any load.
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

// fraction returns the value function of a part of all requests.
func fraction(part func(Interval) float64) func(Interval) (float64, bool) {
	return func(s Interval) (float64, bool) {
		all := s.Served + s.Rejected + s.Failed
		return part(s) / max(all, 1), all >= minRequests
	}
}

// logP99 returns the natural logarithm of the 99th percentile of latency in milliseconds.
func logP99(s Interval) (float64, bool) { return math.Log(max(s.P99MS, minP99MS)), s.P99MS > 0 }
