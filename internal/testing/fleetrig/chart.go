package fleetrig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/lease"
)

// Span is a stretch of a run, for people and charts.
type Span struct {
	Row      string        `json:"row"`  // a node and what it holds, or a fault
	Kind     string        `json:"kind"` // "duty", "lead", "fault", "out" (of service by a permit), "back" (in again and not yet warm) or "release"
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
	for _, s := range outs(all) {
		list = append(list, Span{s.Row, s.Kind, since(lease.Instant(s.From)), since(lease.Instant(s.To))})
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

// outs are the stretches in which nodes were out by permits or on their way back, and each state and wave of each release. Their instants are
// those of the events; what has no end reaches to the last one.
func outs(all []told) (list []Span) {
	open := map[string]int{}
	end := func(row string, at lease.Instant) {
		if i, is := open[row]; is {
			list[i].To = time.Duration(at)
			delete(open, row)
		}
	}
	begin := func(row, kind string, at lease.Instant) {
		end(row, at)
		open[row] = len(list)
		list = append(list, Span{row, kind, time.Duration(at), 0})
	}
	for _, e := range all {
		node := fmt.Sprintf("n%d out", e.Node)
		switch e.What {
		case "begins out", "goes on out":
			begin(node, "out", e.At)
		case "enters":
			begin(node, "back", e.At)
		case "warm", "late":
			end(node, e.At)
		case "release":
			if row := "release " + e.Duty; e.ID == "over" || e.ID == "undone" {
				end(row, e.At)
			} else {
				begin(row, "release", e.At)
			}
		case "halts":
			end("release "+e.Duty, e.At)
		}
	}
	if len(all) > 0 {
		for row := range open {
			list[open[row]].To = time.Duration(all[len(all)-1].At)
		}
	}
	return list
}
