package fleetrig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/lease"
)

// Span is a period of a run, as drawn in a chart.
type Span struct {
	Row      string        `json:"row"`  // such as "n1 sweep" or "cut n0 n2"
	Kind     string        `json:"kind"` // "duty", "lead", "fault", "out" (of service by a drain permit), "back" (in service, warming up) or "release"
	From, To time.Duration // since the first event
}

// chart returns the periods in which nodes held leases, led the store or were out of service, and those of faults, sorted by kind, row and
// start.
func (f *testFleet) chart(all []processEvent) (list []Span) {
	firstEventAt := lease.Instant(0)
	if len(all) > 0 {
		firstEventAt = all[0].At
	}
	since := func(i lease.Instant) time.Duration { return max(0, time.Duration(i-firstEventAt)) }
	for _, s := range spans(all) {
		row, kind := fmt.Sprintf("n%d %s", s.Node, s.What), "duty"
		if s.What == "store" {
			row, kind = fmt.Sprintf("n%d leads", s.Node), "lead"
		}
		list = append(list, Span{row, kind, since(s.From), since(s.To)})
	}
	for _, s := range outOfService(all) {
		list = append(list, Span{s.Row, s.Kind, since(lease.Instant(s.From)), since(lease.Instant(s.To))})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.injected {
		words := strings.Fields(c.Fault.String())
		list = append(list, Span{strings.Join(words[1:2+kinds[c.Kind]], " "), "fault", since(c.from), since(c.to)})
	}
	slices.SortStableFunc(list, func(a, b Span) int {
		return cmp.Or(-cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Row, b.Row), cmp.Compare(a.From, b.From))
	})
	return list
}

// outOfService returns the periods in which nodes were out of service under a drain permit or warming up afterwards, and those of each
// state and wave of each release. From and To are instants of the events' clock. A period without an end lasts until the last event.
func outOfService(all []processEvent) (list []Span) {
	open := map[string]int{}
	end := func(row string, at lease.Instant) {
		if i, isOpen := open[row]; isOpen {
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
