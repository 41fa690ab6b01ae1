package fleetrig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/lease"
)

// Span is a stretch of a run, for people and charts.
type Span struct {
	Row      string        `json:"row"`  // a node and what it holds, or a fault
	Kind     string        `json:"kind"` // "duty", "lead" or "fault"
	From, To time.Duration // since the first of them
}

// charted is who held what when, and the faults, since the first of them.
func (f *processes) charted(all []told) (list []Span) {
	begun := lease.Instant(0)
	if len(all) > 0 {
		begun = all[0].At
	}
	since := func(i lease.Instant) time.Duration { return max(0, time.Duration(i-begun)) }
	for _, s := range spans(all) {
		row, kind := fmt.Sprintf("n%d %s", s.Node, s.What), "duty"
		if s.What == "store" {
			row, kind = fmt.Sprintf("n%d leads", s.Node), "lead"
		}
		list = append(list, Span{row, kind, since(s.From), since(s.To)})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		words := strings.Fields(c.Fault.String())
		list = append(list, Span{strings.Join(words[1:2+kinds[c.Kind]], " "), "fault", since(c.from), since(c.to)})
	}
	slices.SortStableFunc(list, func(a, b Span) int {
		return cmp.Or(-cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Row, b.Row), cmp.Compare(a.From, b.From))
	})
	return list
}
