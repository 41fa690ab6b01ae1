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
// Inputs: the versions of the nodes' reports at each reading, and the instant of the reading on this process's
// clock. A node is
//
//	silent  if now - (instant at which its report was last observed to change) >= timeout
//	alive   if its report has been observed to change and it is not silent, or if it has no report any more
//
// The first observation of a node starts its timeout. Until its report changes or the timeout ends, the node is
// neither silent nor alive.
//
// Why: only changes observed on this process's clock are compared. The times in reports are of other clocks, which
// may be wrong.

// FailureDetector records when the reports of nodes last changed. It has no I/O and is not safe for concurrent use.
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
	Silence time.Duration // since its report was last observed to change
}

// NewFailureDetector returns a detector that counts a node as silent once its report has not changed for timeout.
func NewFailureDetector(timeout time.Duration) *FailureDetector {
	return &FailureDetector{timeout: timeout, reports: map[string]lastReport{}}
}

// Observe records all reports that a reading at now returned. It forgets nodes without a report.
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

// Alive reports whether a node counts as alive now.
func (d *FailureDetector) Alive(node string, now lease.Instant) bool {
	last, known := d.reports[node]
	return !known || last.changed && time.Duration(now-last.observedAt) < d.timeout
}
