package canary

import (
	"cmp"
	"slices"
)

// Recorder divides the counts that nodes report, which start with their processes, into intervals. It is not safe
// for concurrent use.
type Recorder struct {
	capacity  int // intervals
	nodes     map[string]*nodeRecord
	intervals int // recorded and not yet dropped
}

// nodeRecord is a node's series, and its last report.
type nodeRecord struct {
	NodeSeries
	lastTotal      Interval
	processStartMS int64 // Unix milliseconds; 0 if it has not reported yet
	reported       bool  // in the last interval
}

// NewRecorder returns a recorder that keeps the last capacity intervals.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{capacity: capacity, nodes: map[string]*nodeRecord{}}
}

// NodeReport is the report of a node at the end of an interval.
type NodeReport struct {
	Name, Zone string
	// Total has the counts since the process started, and the P99MS of the interval.
	Total          Interval
	ProcessStartMS int64 // Unix milliseconds
	InService      bool  // for at least the minimum ready time
	Updated        bool  // it runs the new version
}

// Record ends an interval with the given reports. The interval is unknown for a node without a report.
func (r *Recorder) Record(reports []NodeReport) {
	r.intervals++
	present := map[string]bool{}
	for _, report := range reports {
		present[report.Name] = true
		r.record(report)
	}
	for name, n := range r.nodes {
		if !present[name] {
			n.append(Interval{}, false, false)
			n.reported, n.InService = false, false
		}
	}
	r.dropOldest()
}

// record ends the interval for one node.
func (r *Recorder) record(report NodeReport) {
	n := r.nodes[report.Name]
	if n == nil {
		earlier := r.intervals - 1
		n = &nodeRecord{NodeSeries: NodeSeries{
			Name: report.Name, Zone: report.Zone,
			Intervals: make([]Interval, earlier), Known: make([]bool, earlier), Restarted: make([]bool, earlier),
		}}
		r.nodes[report.Name] = n
	}
	known := report.InService && n.reported && report.ProcessStartMS == n.processStartMS
	restarted := n.processStartMS != 0 && report.ProcessStartMS != n.processStartMS
	if report.Updated && n.UpdatedFrom == 0 && n.reported { // the interval of the update is neither before nor after
		n.UpdatedFrom, restarted = r.intervals+1, false
	}
	n.append(report.Total.since(n.lastTotal), known, restarted)
	n.lastTotal, n.processStartMS, n.reported = report.Total, report.ProcessStartMS, true
	n.InService, n.Zone = report.InService, report.Zone
}

func (n *nodeRecord) append(interval Interval, known, restarted bool) {
	n.Intervals = append(n.Intervals, interval)
	n.Known = append(n.Known, known)
	n.Restarted = append(n.Restarted, restarted)
}

// since returns the counts since an earlier total.
func (s Interval) since(earlier Interval) Interval {
	return Interval{Served: s.Served - earlier.Served, Rejected: s.Rejected - earlier.Rejected, Failed: s.Failed - earlier.Failed, P99MS: s.P99MS}
}

// dropOldest drops the oldest intervals in excess of the recorder's capacity.
func (r *Recorder) dropOldest() {
	excess := r.intervals - r.capacity
	if excess <= 0 {
		return
	}
	r.intervals -= excess
	for _, n := range r.nodes {
		n.Intervals = slices.Delete(n.Intervals, 0, excess)
		n.Known = slices.Delete(n.Known, 0, excess)
		n.Restarted = slices.Delete(n.Restarted, 0, excess)
		if n.UpdatedFrom > 0 {
			n.UpdatedFrom = max(1, n.UpdatedFrom-excess)
		}
	}
}

// Nodes returns the recorded series, sorted by node name. They share memory with the recorder and are valid until
// the next call of Record.
func (r *Recorder) Nodes() (nodes []NodeSeries) {
	for _, n := range r.nodes {
		nodes = append(nodes, n.NodeSeries)
	}
	slices.SortFunc(nodes, func(a, b NodeSeries) int { return cmp.Compare(a.Name, b.Name) })
	return nodes
}
