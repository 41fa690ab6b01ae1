// Package fleet has a node report to the store that the fleet agrees through, and take its turn at the fleet's duties. No
// request waits on any of it; with the store away a node serves as before.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/store/document"
)

// Keys of the documents that nodes write.
const (
	nodeKeyPrefix   = "node/"   // the last report of each node
	silentKeyPrefix = "silent/" // a mark on each that no longer reports
	taskKeyPrefix   = "duty/"   // how far each duty's job is
)

// FailureDetector follows when nodes were last heard of, on this process's own clock: the times that they write are of theirs. It
// has no I/O and is not safe for concurrent use.
type FailureDetector struct {
	timeout time.Duration
	reports map[string]lastReport
}

type lastReport struct {
	version    uint64
	observedAt lease.Instant
	changed    bool // since it was first looked at
}

// NewFailureDetector returns one that takes a node for silent when its report has not changed for so long. Nodes count from when they
// are first looked at.
func NewFailureDetector(after time.Duration) *FailureDetector {
	return &FailureDetector{timeout: after, reports: map[string]lastReport{}}
}

// Observe takes in the reports as they are now.
func (s *FailureDetector) Observe(reports []document.Document, now lease.Instant) {
	here := map[string]bool{}
	for _, d := range reports {
		name := strings.TrimPrefix(d.Key, nodeKeyPrefix)
		here[name] = true
		if g, known := s.reports[name]; !known || g.version != d.Version {
			s.reports[name] = lastReport{d.Version, now, known}
		}
	}
	for name := range s.reports {
		if !here[name] {
			delete(s.reports, name)
		}
	}
}

// SilentNode is a node that is silent.
type SilentNode struct {
	Node    string
	Silence time.Duration
}

// SilentNodes returns the nodes that are silent now, by name.
func (s *FailureDetector) SilentNodes(now lease.Instant) (list []SilentNode) {
	for name, g := range s.reports {
		if d := time.Duration(now - g.observedAt); d >= s.timeout {
			list = append(list, SilentNode{name, d})
		}
	}
	slices.SortFunc(list, func(a, b SilentNode) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// Alive says whether a node has reported since it was first looked at, and is not silent; or is not on the list any more.
func (s *FailureDetector) Alive(name string, now lease.Instant) bool {
	g, known := s.reports[name]
	return !known || g.changed && time.Duration(now-g.observedAt) < s.timeout
}
