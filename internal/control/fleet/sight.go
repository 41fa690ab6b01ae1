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
	nodes  = "node/"   // the last report of each node
	silent = "silent/" // a mark on each that no longer reports
	duties = "duty/"   // how far each duty's job is
)

// Sight follows when nodes were last heard of, on this process's own clock: the times that they write are of theirs. It
// has no I/O and is not safe for concurrent use.
type Sight struct {
	after time.Duration
	seen  map[string]glimpse
}

type glimpse struct {
	version uint64
	at      lease.Instant
	changed bool // since it was first looked at
}

// NewSight returns one that takes a node for silent when its report has not changed for so long. Nodes count from when they
// are first looked at.
func NewSight(after time.Duration) *Sight { return &Sight{after: after, seen: map[string]glimpse{}} }

// Look takes in the reports as they are now.
func (s *Sight) Look(reports []document.Document, now lease.Instant) {
	here := map[string]bool{}
	for _, d := range reports {
		name := strings.TrimPrefix(d.Key, nodes)
		here[name] = true
		if g, known := s.seen[name]; !known || g.version != d.Version {
			s.seen[name] = glimpse{d.Version, now, known}
		}
	}
	for name := range s.seen {
		if !here[name] {
			delete(s.seen, name)
		}
	}
}

// Quiet is a node that is silent.
type Quiet struct {
	Node string
	For  time.Duration
}

// Silent returns the nodes that are silent now, by name.
func (s *Sight) Silent(now lease.Instant) (list []Quiet) {
	for name, g := range s.seen {
		if d := time.Duration(now - g.at); d >= s.after {
			list = append(list, Quiet{name, d})
		}
	}
	slices.SortFunc(list, func(a, b Quiet) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// Heard says whether a node has reported since it was first looked at, and is not silent; or is not on the list any more.
func (s *Sight) Heard(name string, now lease.Instant) bool {
	g, known := s.seen[name]
	return !known || g.changed && time.Duration(now-g.at) < s.after
}
