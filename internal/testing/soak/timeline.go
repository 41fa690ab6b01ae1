package soak

import (
	"fmt"
	"io"
	"strings"
)

// WriteTimelines writes up to most violations, each with the events and log lines of the requests concerned.
func (r *Report) WriteTimelines(w io.Writer, most int) {
	for _, b := range r.Violations[:min(most, len(r.Violations))] {
		fmt.Fprintf(w, "seed %d: %s: %s\n", r.Plan.Seed, b.Rule, b.What)
		r.Record.Timeline(w, b.Names...)
		for _, text := range r.Logs {
			for line := range strings.SplitSeq(text, "\n") {
				for _, name := range b.Names {
					if name != "" && strings.Contains(line+" ", name) {
						fmt.Fprintln(w, "  ", line)
						break
					}
				}
			}
		}
	}
}
