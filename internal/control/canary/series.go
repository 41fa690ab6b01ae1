package canary

// Interval is what a node counted in one interval of time, in requests.
type Interval struct {
	Served, Rejected, Failed float64
	P99MS                    float64 // 99th percentile of latency, milliseconds; 0: not known
}

// NodeSeries is one node's intervals, oldest first. Intervals[i] is of the same time in the series of every node.
type NodeSeries struct {
	Name, Zone string
	Intervals  []Interval
	// Known says of each interval whether its counts are known. They are not while the node was out of service
	// or silent.
	Known []bool
	// Restarted says of each interval whether the node's process was restarted in it, for another reason than
	// its update.
	Restarted []bool
	// UpdatedFrom is the index of the first interval that counts as after the update. 0: the node is not updated.
	UpdatedFrom int
	// InService says that the node is back in service since its update, so that it takes part in the analysis.
	InService bool
}

// updatedIn says whether interval i counts as after the node's update.
func (n NodeSeries) updatedIn(i int) bool { return n.UpdatedFrom > 0 && i >= n.UpdatedFrom }

// unchangedIn says whether interval i is wholly from before the node's update. The interval in which it was
// updated is neither.
func (n NodeSeries) unchangedIn(i int) bool { return n.UpdatedFrom == 0 || i < n.UpdatedFrom-1 }
