package canary

// Interval has the requests that a node counted in one interval of time.
type Interval struct {
	Served, Rejected, Failed float64
	P99MS                    float64 // 99th percentile of latency, milliseconds; 0 if not known
}

// NodeSeries has the intervals of one node, oldest first. The same index is the same time in the series of all
// nodes.
type NodeSeries struct {
	Name, Zone string
	Intervals  []Interval
	// Known is, for each interval, whether its counts are known. They are not known for the time in which the node
	// was out of service or silent.
	Known []bool
	// Restarted is, for each interval, whether the node's process was restarted in it for another reason than its
	// update.
	Restarted []bool
	// UpdatedFrom is the index of the first interval that counts as after the update. It is 0 if the node is not
	// updated.
	UpdatedFrom int
	// InService is set if the node is in service again after its update, so that the analysis includes it.
	InService bool
}

// updatedIn reports whether interval i counts as after the node's update.
func (n NodeSeries) updatedIn(i int) bool { return n.UpdatedFrom > 0 && i >= n.UpdatedFrom }

// unchangedIn reports whether interval i is entirely from before the node's update. The interval of the update
// itself is neither before nor after.
func (n NodeSeries) unchangedIn(i int) bool { return n.UpdatedFrom == 0 || i < n.UpdatedFrom-1 }
