package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// When a node counts as silent.
//
// Inputs: the versions of the nodes' reports, each time they are read, and the instant of reading on this
// process's clock. A node is
//
//	silent  if now - (instant at which its report was last seen to change) >= timeout
//	alive   if its report has been seen to change, and it is not silent; or if it has no report any more
//
// A node counts from when it is first observed, so one that has just been observed is neither silent nor alive.
//
// Why: only changes on this process's clock are compared. The times in reports are of other clocks, which may
// be wrong.

// FailureDetector keeps when nodes were last seen to report. It has no I/O and is not safe for concurrent use.
type FailureDetector struct {
	timeout time.Duration
	reports map[string]lastReport // by node
}

type lastReport struct {
	version    uint64
	observedAt lease.Instant
	changed    bool // since the node was first observed
}

// SilentNode is a node that counts as silent.
type SilentNode struct {
	Node    string
	Silence time.Duration // since its report was last seen to change
}

// NewFailureDetector returns a detector that counts a node as silent once its report has not changed for timeout.
func NewFailureDetector(timeout time.Duration) *FailureDetector {
	return &FailureDetector{timeout: timeout, reports: map[string]lastReport{}}
}

// Observe takes in all reports as they are read now. Nodes without a report are forgotten.
func (d *FailureDetector) Observe(reports []document.Document, now lease.Instant) {
	present := map[string]bool{}
	for _, report := range reports {
		node := strings.TrimPrefix(report.Key, nodeKeyPrefix)
		present[node] = true
		if last, known := d.reports[node]; !known || last.version != report.Version {
			d.reports[node] = lastReport{version: report.Version, observedAt: now, changed: known}
		}
	}
	for node := range d.reports {
		if !present[node] {
			delete(d.reports, node)
		}
	}
}

// SilentNodes returns the nodes that count as silent now, sorted by name.
func (d *FailureDetector) SilentNodes(now lease.Instant) (silent []SilentNode) {
	for node, last := range d.reports {
		if silence := time.Duration(now - last.observedAt); silence >= d.timeout {
			silent = append(silent, SilentNode{node, silence})
		}
	}
	slices.SortFunc(silent, func(a, b SilentNode) int { return cmp.Compare(a.Node, b.Node) })
	return silent
}

// Alive says whether a node counts as alive now.
func (d *FailureDetector) Alive(node string, now lease.Instant) bool {
	last, known := d.reports[node]
	return !known || last.changed && time.Duration(now-last.observedAt) < d.timeout
}
