package fleetrig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"sloehitch/internal/control/lease"
)

// eventLog formats the processes' drain events and the faults, one per line, with times in milliseconds since the first.
func eventLog(all []processEvent, faults []injectedFault) string {
	type line struct {
		at   lease.Instant
		text string
	}
	var lines []line
	for _, c := range faults {
		lines = append(lines, line{c.from, "fault " + c.Fault.String()}, line{c.to, "end   " + c.Fault.String()})
	}
	for _, e := range all {
		switch e.What {
		case "holds", "gives", "leads", "follows", "applied":
			if e.Duty != "permits" || e.What == "holds" {
				continue
			}
		}
		lines = append(lines, line{e.At, fmt.Sprintf("n%d %s %s %s", e.Node, e.What, e.Duty, e.ID)})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	var text strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&text, "%8.1f %s\n", float64(l.at-lines[0].at)/1e6, l.text)
	}
	return text.String()
}
